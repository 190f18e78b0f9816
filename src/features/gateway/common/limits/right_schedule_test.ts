import fc from "fast-check";
import { RightSchedule } from "./right_schedule.ts";

const WINDOW_MS = 4_000;

/** Most grants in any window. */
function mostInWindow(timesMs: readonly number[]): number {
  const sorted = [...timesMs].sort((left, right) => left - right);
  return Math.max(
    0,
    ...sorted.map((startMs) =>
      sorted.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
        .length
    ),
  );
}

describe("RightSchedule", () => {
  it("grants no more than the limit and three in any window", () => {
    fc.assert(fc.property(
      fc.double({ min: 0.25, max: 50, noNaN: true }),
      fc.array(
        fc.record({
          pauseMs: fc.integer({ min: 0, max: 900 }),
          maxWaitMs: fc.integer({ min: 0, max: 2_000 }),
        }),
        { maxLength: 300 },
      ),
      (ratePerS, asks) => {
        let nowMs = 0;
        const schedule = new RightSchedule(nowMs);
        const grantedMs: number[] = [];
        for (const { pauseMs, maxWaitMs } of asks) {
          nowMs += pauseMs;
          const offer = schedule.take(nowMs, ratePerS, maxWaitMs);
          if (offer.kind === "granted") grantedMs.push(nowMs + offer.waitMs);
        }
        const allowed = ratePerS * WINDOW_MS / 1_000 + 3;
        expect(mostInWindow(grantedMs)).toBeLessThanOrEqual(allowed + 1e-6);
      },
    ));
  });

  it("grants what it promised when a caller returns then", () => {
    fc.assert(fc.property(
      fc.double({ min: 0.5, max: 50, noNaN: true }),
      fc.integer({ min: 1, max: 20 }),
      (ratePerS, busy) => {
        const schedule = new RightSchedule(0);
        for (let count = 0; count < busy; count++) {
          schedule.take(0, ratePerS, 10_000);
        }
        const refused = schedule.take(0, ratePerS, 0);
        if (refused.kind === "granted") return;
        const again = schedule.take(refused.freeInMs, ratePerS, 0.001);
        expect(again.kind).toBe("granted");
      },
    ));
  });

  it("tells callers that are refused at once different times", () => {
    const schedule = new RightSchedule(0);
    for (let count = 0; count < 3; count++) schedule.take(0, 2, 10_000);
    const hintsMs = [1, 2, 3].map(() => {
      const offer = schedule.take(0, 2, 0);
      return offer.kind === "denied" ? offer.retryAfterMs : 0;
    });
    expect(hintsMs).toEqual([1_500, 2_000, 2_500]);
  });

  it("starts without unused rights", () => {
    const schedule = new RightSchedule(10_000);
    const kinds = [1, 2].map(() => schedule.take(10_000, 1, 0).kind);
    expect(kinds).toEqual(["granted", "denied"]);
  });
});
