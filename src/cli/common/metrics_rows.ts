/** Rows of `ragwort top` and `ragwort histogram`. */

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

/** What series are put together by. */
export const GROUPINGS = ["class", "workspace", "service", "zone"] as const;

/** What series are put together by. */
export type Grouping = (typeof GROUPINGS)[number];

/** A histogram in a few numbers. */
export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** One group of series over all daemons. */
export interface MetricsRow {
  readonly group: string;
  readonly requests: number;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
  readonly preemptions: number;
  readonly measures: Readonly<Record<HistogramName, HistogramSummary>>;
}

/** Values between two borders. */
export interface HistogramRange {
  readonly below: number;
  readonly count: number;
}

/**
 * @param daemons - Figures of the daemons.
 * @param grouping - What is put together.
 * @returns One row a group, the busiest first.
 */
export function toMetricsRows(
  daemons: readonly DaemonMetricsSnapshot[],
  grouping: Grouping,
): MetricsRow[] {
  const series = daemons.flatMap(({ zone, series }) =>
    series.map((one) => ({ ...one, zone }))
  );
  const groups = mergeSeriesByKey(series, (one) => getGroup(one, grouping));
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

/** @returns A histogram in a few numbers. */
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
 * @param histogram - A histogram.
 * @returns Its counts between doublings, from the first value to the last.
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
