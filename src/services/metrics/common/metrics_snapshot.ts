/** What was measured, in a form that daemons send and that can be merged. */

import type { HistogramSnapshot, LogHistogram } from "./log_histogram.ts";
import {
  createHistogram,
  HISTOGRAM_NAMES,
  type HistogramName,
} from "./histogram_names.ts";
import {
  type CounterName,
  OUTCOME_KINDS,
  type OutcomeKind,
} from "./metrics.ts";

/** Workspace name of all that are not kept apart. */
export const OTHER_WORKSPACES = "(other)";

/** Class name of what is known for a whole service only. */
export const ALL_CLASSES = "(any)";

/** Figures of one service, workspace and class. */
export interface SeriesSnapshot {
  readonly service: string;
  readonly workspace: string;
  readonly className: string;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
  readonly preemptions: number;
  readonly histograms: Readonly<
    Partial<Record<HistogramName, HistogramSnapshot>>
  >;
}

/** Figures of one daemon. */
export interface DaemonMetricsSnapshot {
  readonly host: string;
  readonly zone: string;
  readonly nowMs: number;
  readonly counters: Readonly<Partial<Record<CounterName, number>>>;
  readonly series: readonly SeriesSnapshot[];
}

/** Figures of many series together. */
export interface MergedMetrics {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
  readonly histograms: Readonly<Record<HistogramName, LogHistogram>>;
}

/** @returns Outcome counts of 0. */
export function createOutcomeCounts(): Record<OutcomeKind, number> {
  return { "completed": 0, "not-run": 0, "interrupted": 0, "unknown": 0 };
}

/**
 * @param series - Series of any daemons.
 * @returns Their sums.
 */
export function mergeSeries(series: Iterable<SeriesSnapshot>): MergedMetrics {
  const merged: MergedMetrics = {
    outcomes: createOutcomeCounts(),
    preemptions: 0,
    histograms: createHistograms(),
  };
  for (const entry of series) {
    merged.preemptions += entry.preemptions;
    for (const kind of OUTCOME_KINDS) {
      merged.outcomes[kind] += entry.outcomes[kind];
    }
    for (const name of HISTOGRAM_NAMES) {
      const snapshot = entry.histograms[name];
      if (snapshot) merged.histograms[name].addSnapshot(snapshot);
    }
  }
  return merged;
}

/**
 * @param series - Series of any daemons.
 * @param getKey - The group of a series.
 * @returns The sums of each group.
 */
export function mergeSeriesByKey<T extends SeriesSnapshot>(
  series: readonly T[],
  getKey: (series: T) => string,
): Map<string, MergedMetrics> {
  const groups = new Map<string, T[]>();
  for (const entry of series) {
    const key = getKey(entry);
    const members = groups.get(key);
    if (members) members.push(entry);
    else groups.set(key, [entry]);
  }
  return new Map(
    [...groups].map(([key, members]) => [key, mergeSeries(members)]),
  );
}

/** @returns Number of requests that have ended. */
export function countRequests(
  { outcomes }: { readonly outcomes: Readonly<Record<OutcomeKind, number>> },
): number {
  return OUTCOME_KINDS.reduce((sum, kind) => sum + outcomes[kind], 0);
}

function createHistograms(): Record<HistogramName, LogHistogram> {
  return {
    queueWaitMs: createHistogram("queueWaitMs"),
    firstTokenMs: createHistogram("firstTokenMs"),
    tokenGapMs: createHistogram("tokenGapMs"),
    stallMs: createHistogram("stallMs"),
    outputTokens: createHistogram("outputTokens"),
  };
}
