import fc from "fast-check";
import { BUCKET_COUNT, LogHistogram } from "./log_histogram.ts";

function histogramOf(values: readonly number[]): LogHistogram {
  const histogram = new LogHistogram(64);
  for (const value of values) histogram.record(value);
  return histogram;
}

const values = fc.array(
  fc.double({ min: 0.5, max: 1_000_000, noNaN: true }),
  { minLength: 1, maxLength: 200 },
);

describe("a logarithmic histogram", () => {
  it("gives quantiles within an eighth of the exact ones", () => {
    fc.assert(
      fc.property(
        values,
        fc.constantFrom(0.01, 0.5, 0.99, 1),
        (list, share) => {
          const sorted = [...list].sort((left, right) => left - right);
          const exact =
            sorted[Math.max(1, Math.ceil(share * list.length)) - 1]!;
          const found = histogramOf(list).quantile(share);
          expect(found).toBeGreaterThanOrEqual(exact);
          expect(found).toBeLessThanOrEqual(exact * 1.125 + 1 / 64);
        },
      ),
      { seed: 7 },
    );
  });

  it("is the same merged from parts, directly or by figures, as whole", () => {
    fc.assert(
      fc.property(values, values, (left, right) => {
        const whole = histogramOf([...left, ...right]);
        const added = histogramOf(left);
        added.add(histogramOf(right));
        const received = histogramOf(left);
        received.addSnapshot(histogramOf(right).toSnapshot());
        for (const merged of [added, received]) {
          expect(merged.toSnapshot().buckets).toEqual(
            whole.toSnapshot().buckets,
          );
          expect(merged.count).toBe(whole.count);
          expect(merged.max).toBe(whole.max);
        }
      }),
      { seed: 8 },
    );
  });

  it("counts values of any size, also those that make no sense", () => {
    const histogram = histogramOf([-1, NaN, 0, 1e300, Infinity]);
    expect(histogram.count).toBe(5);
    expect(histogram.countOf(0)).toBe(3);
    expect(histogram.countOf(BUCKET_COUNT - 1)).toBe(2);
    expect(histogramOf([]).quantile(0.5)).toBe(0);
  });
});
