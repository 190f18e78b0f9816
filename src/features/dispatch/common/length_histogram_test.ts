import fc from "fast-check";
import { LengthHistogram } from "./length_histogram.ts";

const tokens = fc.integer({ min: 0, max: 200_000 });

describe("LengthHistogram", () => {
  it("never counts more answers above a greater length", () => {
    fc.assert(
      fc.property(
        fc.array(tokens, { maxLength: 300 }),
        fc.array(tokens, { maxLength: 20 }),
        (lengths, probes) => {
          const histogram = new LengthHistogram();
          for (const length of lengths) histogram.recordCompletion(length);
          let last = histogram.sampleCount;
          for (const probe of [...probes].sort((a, b) => a - b)) {
            const above = histogram.countAbove(probe);
            expect(above).toBeGreaterThanOrEqual(0);
            expect(above).toBeLessThanOrEqual(last + 1e-9);
            last = above;
          }
        },
      ),
      { seed: 5, numRuns: 100 },
    );
  });

  it("counts running answers that outlive all that has been seen", () => {
    const histogram = new LengthHistogram();
    for (let count = 0; count < 200; count++) histogram.recordCompletion(1_000);
    const before = histogram.countAbove(2_000);
    for (let count = 0; count < 50; count++) histogram.recordProgress(0, 3_000);
    expect(histogram.countAbove(2_000)).toBeGreaterThan(before + 20);
  });
});
