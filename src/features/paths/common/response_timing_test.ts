import { type Clock, ManualClock } from "../../../base/common/clock.ts";
import { ResponseTiming } from "./response_timing.ts";

/** Time between events, during which the process lives. */
const EVENT_MS = 30;
const PAUSE_MS = 3_000;

describe("ResponseTiming", () => {
  let clock: ManualClock;
  let timing: ResponseTiming;

  beforeEach(async () => {
    clock = new ManualClock();
    timing = new ResponseTiming(clock);
    for (let count = 0; count < 10; count++) await arriveAfter(EVENT_MS);
  });

  async function arriveAfter(delayMs: number): Promise<void> {
    await clock.advanceAsync(delayMs);
    timing.recordArrival();
  }

  const earliestAgeMs = () => {
    const { monotonicMs } = timing.earliestEnd();
    return clock.monotonicMs() - monotonicMs;
  };

  it("dates an end that follows its data from the latest data", async () => {
    await clock.advanceAsync(EVENT_MS);
    expect(earliestAgeMs()).toBe(EVENT_MS);
  });

  it("dates an end after a pause from before it", async () => {
    await clock.advanceAsync(PAUSE_MS);
    expect(earliestAgeMs()).toBe(PAUSE_MS);
  });

  // Guards against an end that is as old as the data that is read with it.
  it("dates an end that comes with data that piled up in a pause from before it", async () => {
    await arriveAfter(PAUSE_MS);
    await arriveAfter(1);
    await clock.advanceAsync(1);
    expect(earliestAgeMs()).toBe(PAUSE_MS + 2);
  });

  it("dates an end from before the first of pauses in series", async () => {
    await arriveAfter(PAUSE_MS);
    await arriveAfter(1);
    await arriveAfter(PAUSE_MS);
    await clock.advanceAsync(1);
    expect(earliestAgeMs()).toBe(2 * PAUSE_MS + 2);
  });

  it("dates an end from the latest data once data has come for a while after a pause", async () => {
    await arriveAfter(PAUSE_MS);
    for (let count = 0; count < 40; count++) await arriveAfter(EVENT_MS);
    await clock.advanceAsync(EVENT_MS);
    expect(earliestAgeMs()).toBe(EVENT_MS);
  });

  it("dates an end without any data from the request", async () => {
    timing = new ResponseTiming(clock);
    await clock.advanceAsync(PAUSE_MS);
    expect(earliestAgeMs()).toBe(PAUSE_MS);
  });

  it("counts the time for which the machine was suspended", () => {
    let suspendedMs = 0;
    const wallClock: Clock = {
      nowMs: () => clock.nowMs() + suspendedMs,
      monotonicMs: () => clock.monotonicMs(),
      setTimer: (...args) => clock.setTimer(...args),
    };
    timing = new ResponseTiming(wallClock);
    suspendedMs = PAUSE_MS;
    timing.recordArrival();
    const { wallMs } = timing.earliestEnd();
    expect(wallClock.nowMs() - wallMs).toBe(PAUSE_MS);
  });
});
