/** Names and resolutions of the recorded histograms. */

import { LogHistogram } from "./log_histogram.ts";

/** Names of the histograms, which end with the unit of their values. */
export const HISTOGRAM_NAMES = [
  "queueWaitMs",
  "firstTokenMs",
  "tokenGapMs",
  "stallMs",
  "outputTokens",
] as const;

/** Name of a histogram. */
export type HistogramName = (typeof HISTOGRAM_NAMES)[number];

const UNITS_PER_MS = 64;
const UNITS_PER_TOKEN = 1;

/**
 * @param name - Name of the histogram.
 * @returns An empty histogram with the resolution for this name.
 */
export function createHistogram(name: HistogramName): LogHistogram {
  return new LogHistogram(
    name === "outputTokens" ? UNITS_PER_TOKEN : UNITS_PER_MS,
  );
}
