import { ManualClock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import { ResponseTimes } from "./response_times.ts";

const SERVICE = "app" as ServiceId;
const KIND = "idempotent";

describe("ResponseTimes", () => {
  let clock: ManualClock;
  let times: ResponseTimes;

  beforeEach(async () => {
    clock = new ManualClock();
    times = new ResponseTimes(clock);
    await times.load();
  });

  function record(count: number, elapsedMs: number): void {
    for (let index = 0; index < count; index++) {
      times.recordComplete(SERVICE, KIND, elapsedMs);
    }
  }

  function delayMs(): number | undefined {
    clock.advance(1_000);
    return times.hedgeDelayMs(SERVICE, KIND);
  }

  it("give no delay from fewer than 50 responses", () => {
    record(49, 10);
    for (let count = 0; count < 50; count++) {
      times.recordCensored(SERVICE, KIND, 10);
    }
    expect(delayMs()).toBeUndefined();
    record(1, 10);
    expect(delayMs()).toBeCloseTo(10, 0);
    expect(times.hedgeDelayMs("other" as ServiceId, KIND)).toBeUndefined();
    expect(times.hedgeDelayMs(SERVICE, "non-idempotent")).toBeUndefined();
  });

  it("give the 95th percentile, to within 1 %", () => {
    for (let ms = 1; ms <= 1_000; ms++) record(1, ms);
    expect(Math.abs(delayMs()! - 950)).toBeLessThan(9.5);
  });

  it("do not take calls that were given up for fast ones", () => {
    record(90, 10);
    // Each would have taken 400 ms or more, and was given up after 20.
    for (let count = 0; count < 20; count++) {
      times.recordCensored(SERVICE, KIND, 20);
    }
    record(10, 400);
    expect(delayMs()).toBeGreaterThan(380);
  });

  it("stay at the largest known bound when the percentile lies beyond it", () => {
    record(60, 10);
    for (let count = 0; count < 40; count++) {
      times.recordCensored(SERVICE, KIND, 30);
    }
    expect(delayMs()).toBeCloseTo(30, 0);
  });

  it("forget old values, so that a service that has become faster is hedged sooner", () => {
    record(1_000, 200);
    clock.advance(300_000);
    record(1_000, 10);
    expect(delayMs()).toBeCloseTo(10, 0);
    clock.advance(3_600_000);
    expect(delayMs()).toBeUndefined();
  });

  it("count times beyond the range instead of failing", () => {
    record(60, 1e9);
    record(1, -1);
    expect(delayMs()).toBeGreaterThan(500_000);
  });
});
