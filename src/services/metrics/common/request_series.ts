/** Metrics of one service, workspace and class. */

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

/** One of this many token gaps is sent to the sink. */
export const TOKEN_GAP_SAMPLE_PERIOD = 100;

interface SeriesData {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
  /** Created when first used, because unused histograms would waste memory. */
  readonly histograms: Partial<Record<HistogramName, LogHistogram>>;
}

/** Records the metrics of all requests of one series. */
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
   * @param labels - Labels of the series.
   * @param sink - Sink that receives samples.
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

  /** @param count - Number of preemptions to add. */
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
   * Adds the recorded metrics to another series. Requests that are still running
   * then record to that series.
   *
   * @param target - Series to merge into.
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

  /** @returns The metrics recorded so far. */
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
