/** Histograms of one service, workspace and class. */

import {
  createOutcomeCounts,
  type SeriesSnapshot,
} from "./metrics_snapshot.ts";
import type { LogHistogram } from "./log_histogram.ts";
import {
  createHistogram,
  HISTOGRAM_NAMES,
  type HistogramName,
} from "./histogram_names.ts";
import {
  OUTCOME_KINDS,
  type OutcomeKind,
  type RequestRecorder,
} from "./metrics.ts";
import type { SampleSink, SeriesLabels } from "./sample_sink.ts";

/** One token gap out of this many goes to the sink. */
export const TOKEN_GAP_SAMPLE_PERIOD = 100;

interface SeriesData {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
  /** Made at the first record, so that unused ones take no memory. */
  readonly histograms: Partial<Record<HistogramName, LogHistogram>>;
}

/** Records all requests of one series; requests share the object. */
export class RequestSeries implements RequestRecorder {
  readonly #sink: SampleSink;
  #labels: SeriesLabels;
  #data: SeriesData = {
    outcomes: createOutcomeCounts(),
    preemptions: 0,
    histograms: {},
  };
  #gapsUntilNextSample = TOKEN_GAP_SAMPLE_PERIOD;

  /**
   * @param labels - Whose requests they are.
   * @param sink - Receives samples.
   */
  constructor(labels: SeriesLabels, sink: SampleSink) {
    this.#labels = labels;
    this.#sink = sink;
  }

  /** {@inheritDoc RequestRecorder.recordQueueWait} */
  recordQueueWait(waitMs: number): void {
    this.#recordAndSample("queueWaitMs", waitMs);
  }

  /** {@inheritDoc RequestRecorder.recordFirstToken} */
  recordFirstToken(delayMs: number): void {
    this.#recordAndSample("firstTokenMs", delayMs);
  }

  /** {@inheritDoc RequestRecorder.recordTokenGap} */
  recordTokenGap(gapMs: number): void {
    this.#getOrCreateHistogram("tokenGapMs").record(gapMs);
    if (--this.#gapsUntilNextSample > 0) return;
    this.#gapsUntilNextSample = TOKEN_GAP_SAMPLE_PERIOD;
    this.#sink.sample("tokenGapMs", gapMs, this.#labels);
  }

  /** {@inheritDoc RequestRecorder.recordStall} */
  recordStall(stallMs: number): void {
    this.#recordAndSample("stallMs", stallMs);
  }

  /** @param count - How often an endpoint preempted a request. */
  recordPreemptions(count: number): void {
    this.#data.preemptions += count;
    this.#sink.countPreemptions(count, this.#labels);
  }

  /** {@inheritDoc RequestRecorder.recordEnd} */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void {
    this.#data.outcomes[outcome]++;
    this.#sink.countEnd(outcome, this.#labels);
    this.#recordAndSample("outputTokens", outputTokens);
  }

  /**
   * Moves what was recorded to another series; requests that still run record
   * there from now on.
   *
   * @param target - The series that takes over.
   */
  mergeInto(target: RequestSeries): void {
    const targetData = target.#data;
    targetData.preemptions += this.#data.preemptions;
    for (const kind of OUTCOME_KINDS) {
      targetData.outcomes[kind] += this.#data.outcomes[kind];
    }
    for (const name of HISTOGRAM_NAMES) {
      const histogram = this.#data.histograms[name];
      if (histogram) target.#getOrCreateHistogram(name).add(histogram);
    }
    this.#data = targetData;
    this.#labels = target.#labels;
  }

  /** @returns The figures so far. */
  toSnapshot(): SeriesSnapshot {
    const { outcomes, preemptions, histograms } = this.#data;
    const snapshots = HISTOGRAM_NAMES.flatMap((name) => {
      const histogram = histograms[name];
      return histogram ? [[name, histogram.toSnapshot()] as const] : [];
    });
    return {
      ...this.#labels,
      outcomes: { ...outcomes },
      preemptions,
      histograms: Object.fromEntries(snapshots),
    };
  }

  #recordAndSample(name: HistogramName, value: number): void {
    this.#getOrCreateHistogram(name).record(value);
    this.#sink.sample(name, value, this.#labels);
  }

  #getOrCreateHistogram(name: HistogramName): LogHistogram {
    return this.#data.histograms[name] ??= createHistogram(name);
  }
}
