/** The values that are counted in histograms. */

import { LogHistogram } from "./log_histogram.ts";

/** Name of a measured value; it carries the unit. */
export const HISTOGRAM_NAMES = [
  "queueWaitMs",
  "firstTokenMs",
  "tokenGapMs",
  "stallMs",
  "outputTokens",
] as const;

/** A value that is counted in a histogram. */
export type HistogramName = (typeof HISTOGRAM_NAMES)[number];

const UNITS_PER_MS = 64;
const UNITS_PER_TOKEN = 1;

/**
 * @param name - What the histogram counts.
 * @returns An empty histogram.
 */
export function createHistogram(name: HistogramName): LogHistogram {
  return new LogHistogram(
    name === "outputTokens" ? UNITS_PER_TOKEN : UNITS_PER_MS,
  );
}
