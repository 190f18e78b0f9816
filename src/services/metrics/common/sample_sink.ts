/** Interface of a destination for single samples, in addition to histograms. */

import type { HistogramName } from "./histogram_names.ts";
import type { CounterName, OutcomeKind } from "./metrics.ts";

/** Labels of a series in the form that is sent. */
export interface SeriesLabels {
  readonly service: string;
  readonly workspace: string;
  readonly className: string;
}

/** Receives samples and counts. Samples may be dropped at high rates. */
export interface SampleSink {
  /** Sends a recorded value. */
  sample(name: HistogramName, value: number, labels: SeriesLabels): void;
  /** Counts a finished request. Counts are never dropped. */
  countEnd(outcome: OutcomeKind, labels: SeriesLabels): void;
  /** Adds preemptions of a series. */
  countPreemptions(count: number, labels: SeriesLabels): void;
  /** Adds to a daemon-wide counter. */
  count(name: CounterName, amount: number): void;
}

/** Sink that discards everything. */
export const NOOP_SAMPLE_SINK: SampleSink = {
  sample: () => undefined,
  countEnd: () => undefined,
  countPreemptions: () => undefined,
  count: () => undefined,
};
