/** Contract of where single samples go besides the histograms. */

import type { HistogramName } from "./histogram_names.ts";
import type { CounterName, OutcomeKind } from "./metrics.ts";

/** Labels of a series, as they are sent. */
export interface SeriesLabels {
  readonly service: string;
  readonly workspace: string;
  readonly className: string;
}

/** Receives samples; it may drop some when there are too many. */
export interface SampleSink {
  /** One value out of those that were recorded. */
  sample(name: HistogramName, value: number, labels: SeriesLabels): void;
  /** The end of a request; every one is counted. */
  countEnd(outcome: OutcomeKind, labels: SeriesLabels): void;
  /** Preemptions of a series. */
  countPreemptions(count: number, labels: SeriesLabels): void;
  /** A counter that is not about one request. */
  count(name: CounterName, amount: number): void;
}

/** Drops every sample. */
export const NOOP_SAMPLE_SINK: SampleSink = {
  sample: () => undefined,
  countEnd: () => undefined,
  countPreemptions: () => undefined,
  count: () => undefined,
};
