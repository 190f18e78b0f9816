/**
 * Converts metrics snapshots to the rows that `ragwort top` and
 * `ragwort histogram` print.
 */

import {
  countRequests,
  type DaemonMetricsSnapshot,
  type MergedMetrics,
  mergeSeriesByKey,
  type SeriesSnapshot,
} from "../../services/metrics/common/metrics_snapshot.ts";
import {
  BUCKET_COUNT,
  type LogHistogram,
} from "../../services/metrics/common/log_histogram.ts";
import {
  HISTOGRAM_NAMES,
  type HistogramName,
} from "../../services/metrics/common/histogram_names.ts";
import type { OutcomeKind } from "../../services/metrics/common/metrics.ts";

const BUCKETS_PER_RANGE = 8;

/** Supported groupings of series. */
export const GROUPINGS = ["class", "workspace", "service", "zone"] as const;

/** Label by which series are grouped. */
export type Grouping = (typeof GROUPINGS)[number];

/** Summary statistics of a histogram. */
export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Metrics of one group of series of all daemons. */
export interface MetricsRow {
  readonly group: string;
  readonly requests: number;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
  readonly preemptions: number;
  readonly measures: Readonly<Record<HistogramName, HistogramSummary>>;
}

/** Number of values in a range, which starts at the bound of the previous one. */
export interface HistogramRange {
  /** Exclusive upper bound of the values. */
  readonly below: number;
  readonly count: number;
}

/**
 * Groups the series of all daemons.
 *
 * @param daemons - Snapshots of the daemons.
 * @param grouping - Label by which to group.
 * @returns One row per group, in descending order of the number of requests.
 */
export function toMetricsRows(
  daemons: readonly DaemonMetricsSnapshot[],
  grouping: Grouping,
): MetricsRow[] {
  const series = daemons.flatMap(({ zone, series }) =>
    series.map((entry) => ({ ...entry, zone }))
  );
  const groups = mergeSeriesByKey(series, (entry) => getGroup(entry, grouping));
  return [...groups]
    .map(([group, merged]) => toRow(group, merged))
    .sort((left, right) => right.requests - left.requests);
}

function getGroup(
  series: SeriesSnapshot & { readonly zone: string },
  grouping: Grouping,
): string {
  const { className, workspace, service, zone } = series;
  return { class: className, workspace, service, zone }[grouping];
}

function toRow(group: string, merged: MergedMetrics): MetricsRow {
  const measures = HISTOGRAM_NAMES.map((name) =>
    [name, summarizeHistogram(merged.histograms[name])] as const
  );
  return {
    group,
    requests: countRequests(merged),
    outcomes: merged.outcomes,
    preemptions: merged.preemptions,
    measures: Object.fromEntries(measures) as MetricsRow["measures"],
  };
}

/** @returns Summary statistics of the histogram. */
export function summarizeHistogram(histogram: LogHistogram): HistogramSummary {
  return {
    count: histogram.count,
    p50: histogram.quantile(0.5),
    p90: histogram.quantile(0.9),
    p99: histogram.quantile(0.99),
    max: histogram.max,
  };
}

/**
 * Counts the values of a histogram in ranges that each span a doubling.
 *
 * @param histogram - Histogram to convert.
 * @returns The ranges from the first to the last non-empty one.
 */
export function toRanges(histogram: LogHistogram): HistogramRange[] {
  const ranges: HistogramRange[] = [];
  for (let first = 0; first < BUCKET_COUNT; first += BUCKETS_PER_RANGE) {
    let count = 0;
    for (let bucket = first; bucket < first + BUCKETS_PER_RANGE; bucket++) {
      count += histogram.countOf(bucket);
    }
    const below = histogram.upperBound(first + BUCKETS_PER_RANGE - 1);
    ranges.push({ below, count });
  }
  const start = ranges.findIndex(({ count }) => count > 0);
  const end = ranges.findLastIndex(({ count }) => count > 0);
  return start < 0 ? [] : ranges.slice(start, end + 1);
}
