/** What was measured, in a form that daemons send and that can be merged. */

import type { HistogramFigures, LogHistogram } from "./log_histogram.ts";
import {
  createHistogram,
  MEASURE_NAMES,
  type MeasureName,
} from "./measures.ts";
import {
  type CounterName,
  OUTCOME_KINDS,
  type OutcomeKind,
} from "./metrics.ts";

/** Workspace name of all that are not kept apart. */
export const OTHER_WORKSPACES = "(other)";

/** Class name of what is known for a whole service only. */
export const ANY_CLASS = "(any)";

/** Figures of one service, workspace and class. */
export interface SeriesFigures {
  readonly service: string;
  readonly workspace: string;
  readonly className: string;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
  readonly preemptions: number;
  readonly histograms: Readonly<Partial<Record<MeasureName, HistogramFigures>>>;
}

/** Figures of one daemon. */
export interface DaemonFigures {
  readonly host: string;
  readonly zone: string;
  readonly nowMs: number;
  readonly counters: Readonly<Partial<Record<CounterName, number>>>;
  readonly series: readonly SeriesFigures[];
}

/** Figures of many series together. */
export interface MergedFigures {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
  readonly histograms: Readonly<Record<MeasureName, LogHistogram>>;
}

/** @returns Outcome counts of 0. */
export function noOutcomes(): Record<OutcomeKind, number> {
  return { "completed": 0, "not-run": 0, "interrupted": 0, "unknown": 0 };
}

/**
 * @param series - Series of any daemons.
 * @returns Their sums.
 */
export function mergeSeries(series: Iterable<SeriesFigures>): MergedFigures {
  const merged: MergedFigures = {
    outcomes: noOutcomes(),
    preemptions: 0,
    histograms: createHistograms(),
  };
  for (const one of series) {
    merged.preemptions += one.preemptions;
    for (const kind of OUTCOME_KINDS) {
      merged.outcomes[kind] += one.outcomes[kind];
    }
    for (const name of MEASURE_NAMES) {
      const figures = one.histograms[name];
      if (figures) merged.histograms[name].addFigures(figures);
    }
  }
  return merged;
}

/**
 * @param series - Series of any daemons.
 * @param keyOf - The group of a series.
 * @returns The sums of each group.
 */
export function mergeByKey<T extends SeriesFigures>(
  series: readonly T[],
  keyOf: (series: T) => string,
): Map<string, MergedFigures> {
  const groups = new Map<string, T[]>();
  for (const one of series) {
    const key = keyOf(one);
    const members = groups.get(key);
    if (members) members.push(one);
    else groups.set(key, [one]);
  }
  return new Map(
    [...groups].map(([key, members]) => [key, mergeSeries(members)]),
  );
}

/** @returns Number of requests that have ended. */
export function requestCountOf(
  { outcomes }: { readonly outcomes: Readonly<Record<OutcomeKind, number>> },
): number {
  return OUTCOME_KINDS.reduce((sum, kind) => sum + outcomes[kind], 0);
}

function createHistograms(): Record<MeasureName, LogHistogram> {
  return {
    queueWaitMs: createHistogram("queueWaitMs"),
    firstTokenMs: createHistogram("firstTokenMs"),
    tokenGapMs: createHistogram("tokenGapMs"),
    stallMs: createHistogram("stallMs"),
    outputTokens: createHistogram("outputTokens"),
  };
}
