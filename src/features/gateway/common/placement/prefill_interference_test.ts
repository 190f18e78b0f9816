import { interferenceCost } from "./prefill_interference.ts";

const LONG = { gapObjectiveMs: 180, outputTokens: 520 };
const SHORT = { gapObjectiveMs: 180, outputTokens: 12 };
/** Gap at a slow moment of an engine that is 1.2 times slower than usual. */
const SLOW_GAP_MS = 190;
/** The same of one that takes 0.55 of the usual time. */
const FAST_GAP_MS = 87;

describe("interferenceCost", () => {
  // Guards against other deployments being placed differently.
  it("is zero while the gaps stay within what callers accept", () => {
    for (const runs of [0, 8, 24]) {
      expect(interferenceCost({ ...LONG, expectedGapMs: FAST_GAP_MS, runs }))
        .toBe(0);
    }
  });

  it("is zero while the speed of the engine or the objective is unknown", () => {
    expect(interferenceCost({ ...LONG, expectedGapMs: undefined, runs: 4 }))
      .toBe(0);
    const anyGap = { gapObjectiveMs: 0, outputTokens: 520, runs: 4 };
    expect(interferenceCost({ ...anyGap, expectedGapMs: SLOW_GAP_MS })).toBe(0);
  });

  // Guards against drafts on slow engines while a fast one has memory left.
  it("exceeds the cost of a nearly full engine for a long draft", () => {
    expect(interferenceCost({ ...LONG, expectedGapMs: SLOW_GAP_MS, runs: 1 }))
      .toBeGreaterThan(0.9);
  });

  // Guards against an estimate a little too low, which fills slow engines.
  it("counts gaps that leave less than a tenth of the objective", () => {
    const cost = (expectedGapMs: number) =>
      interferenceCost({ ...LONG, expectedGapMs, runs: 1 });
    expect(cost(170)).toBeGreaterThan(0);
    expect(cost(160)).toBe(0);
  });

  // Guards against short checks that take the memory of the fast engines.
  it("is small for a short check on a slow engine without streams", () => {
    expect(interferenceCost({ ...SHORT, expectedGapMs: SLOW_GAP_MS, runs: 0 }))
      .toBeLessThan(0.1);
  });

  it("grows with the streams that the prompt delays", () => {
    const cost = (runs: number) =>
      interferenceCost({ ...SHORT, expectedGapMs: SLOW_GAP_MS, runs });
    expect(cost(3)).toBeGreaterThan(cost(1));
  });
});
