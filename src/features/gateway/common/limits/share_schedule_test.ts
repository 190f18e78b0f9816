import { SeededRandom } from "../../../../base/common/random.ts";
import { ShareSchedule } from "./share_schedule.ts";

const HOST_COUNT = 90;
const RATE_PER_S = 5;

describe("ShareSchedule", () => {
  // Rights that hosts have not used must not add up to a burst.
  it.each([0, 400, 5_000])(
    "keeps 90 hosts that all ask at once after a pause at their rate, with waits of %d ms",
    (maxWaitMs) => {
      const random = new SeededRandom(7);
      const schedules = Array.from(
        { length: HOST_COUNT },
        () => new ShareSchedule(),
      );
      const usedMs: number[] = [];
      const startMs = 1_772_000_000_123;
      for (let atMs = 0; atMs < 30_000; atMs += 10) {
        // Pauses of 10 s, in which unused rights would gather.
        if (atMs % 15_000 > 5_000) continue;
        for (const [fleetIndex, schedule] of schedules.entries()) {
          if (random.float() < 0.2) continue;
          const share = { fleetIndex, fleetSize: HOST_COUNT };
          const nowMs = startMs + atMs;
          const offer = schedule.take(nowMs, RATE_PER_S, share, maxWaitMs);
          if (offer.kind === "granted") usedMs.push(atMs + offer.waitMs);
        }
      }
      for (const fromMs of usedMs) {
        const count = usedMs.filter((atMs) =>
          atMs >= fromMs && atMs < fromMs + 1_000
        ).length;
        expect(count).toBeLessThanOrEqual(RATE_PER_S + 2);
      }
      expect(usedMs.length).toBeGreaterThanOrEqual(0.8 * RATE_PER_S * 10);
    },
  );

  it("states when to try again, but not later than a granter may be back", () => {
    const schedule = new ShareSchedule();
    const share = { fleetIndex: 45, fleetSize: HOST_COUNT };
    expect(schedule.take(0, RATE_PER_S, share, 0)).toEqual({
      kind: "denied",
      freeInMs: 1_000,
      retryAfterMs: 1_000,
    });
  });
});
