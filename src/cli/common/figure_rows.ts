/** Rows of `ragwort top` and `ragwort histogram`. */

import {
  type DaemonFigures,
  mergeByKey,
  type MergedFigures,
  requestCountOf,
  type SeriesFigures,
} from "../../services/metrics/common/figures.ts";
import {
  BUCKET_COUNT,
  type LogHistogram,
} from "../../services/metrics/common/log_histogram.ts";
import {
  MEASURE_NAMES,
  type MeasureName,
} from "../../services/metrics/common/measures.ts";
import type { OutcomeKind } from "../../services/metrics/common/metrics.ts";

const BUCKETS_PER_ROW = 8;

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
export interface FigureRow {
  readonly group: string;
  readonly requests: number;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
  readonly preemptions: number;
  readonly measures: Readonly<Record<MeasureName, HistogramSummary>>;
}

/** Values between two borders. */
export interface HistogramStep {
  readonly below: number;
  readonly count: number;
}

/**
 * @param daemons - Figures of the daemons.
 * @param grouping - What is put together.
 * @returns One row a group, the busiest first.
 */
export function toFigureRows(
  daemons: readonly DaemonFigures[],
  grouping: Grouping,
): FigureRow[] {
  const series = daemons.flatMap(({ zone, series }) =>
    series.map((one) => ({ ...one, zone }))
  );
  const groups = mergeByKey(series, (one) => groupOf(one, grouping));
  return [...groups]
    .map(([group, merged]) => toRow(group, merged))
    .sort((left, right) => right.requests - left.requests);
}

function groupOf(
  series: SeriesFigures & { readonly zone: string },
  grouping: Grouping,
): string {
  const { className, workspace, service, zone } = series;
  return { class: className, workspace, service, zone }[grouping];
}

function toRow(group: string, merged: MergedFigures): FigureRow {
  const measures = MEASURE_NAMES.map((name) =>
    [name, summarise(merged.histograms[name])] as const
  );
  return {
    group,
    requests: requestCountOf(merged),
    outcomes: merged.outcomes,
    preemptions: merged.preemptions,
    measures: Object.fromEntries(measures) as FigureRow["measures"],
  };
}

/** @returns A histogram in a few numbers. */
export function summarise(histogram: LogHistogram): HistogramSummary {
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
export function toSteps(histogram: LogHistogram): HistogramStep[] {
  const steps: HistogramStep[] = [];
  for (let first = 0; first < BUCKET_COUNT; first += BUCKETS_PER_ROW) {
    let count = 0;
    for (let bucket = first; bucket < first + BUCKETS_PER_ROW; bucket++) {
      count += histogram.countOf(bucket);
    }
    const below = histogram.upperBound(first + BUCKETS_PER_ROW - 1);
    steps.push({ below, count });
  }
  const start = steps.findIndex(({ count }) => count > 0);
  const end = steps.findLastIndex(({ count }) => count > 0);
  return start < 0 ? [] : steps.slice(start, end + 1);
}
