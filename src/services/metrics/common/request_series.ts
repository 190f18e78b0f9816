/** Histograms of one service, workspace and class. */

import { noOutcomes, type SeriesFigures } from "./figures.ts";
import type { LogHistogram } from "./log_histogram.ts";
import {
  createHistogram,
  MEASURE_NAMES,
  type MeasureName,
} from "./measures.ts";
import {
  OUTCOME_KINDS,
  type OutcomeKind,
  type RequestRecorder,
} from "./metrics.ts";
import type { SampleSink, SeriesLabels } from "./sample_sink.ts";

/** One token gap out of this many goes to the sink. */
export const TOKEN_GAP_SAMPLE_PERIOD = 100;

interface SeriesCells {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
  /** Made at the first record, so that unused ones take no memory. */
  readonly histograms: Partial<Record<MeasureName, LogHistogram>>;
}

/** Records all requests of one series; requests share the object. */
export class RequestSeries implements RequestRecorder {
  readonly #sink: SampleSink;
  #labels: SeriesLabels;
  #cells: SeriesCells = {
    outcomes: noOutcomes(),
    preemptions: 0,
    histograms: {},
  };
  #gapsToNextSample = TOKEN_GAP_SAMPLE_PERIOD;

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
    this.#histogram("tokenGapMs").record(gapMs);
    if (--this.#gapsToNextSample > 0) return;
    this.#gapsToNextSample = TOKEN_GAP_SAMPLE_PERIOD;
    this.#sink.sample("tokenGapMs", gapMs, this.#labels);
  }

  /** {@inheritDoc RequestRecorder.recordStall} */
  recordStall(stallMs: number): void {
    this.#recordAndSample("stallMs", stallMs);
  }

  /** @param count - How often an endpoint preempted a request. */
  recordPreemptions(count: number): void {
    this.#cells.preemptions += count;
    this.#sink.countPreemptions(count, this.#labels);
  }

  /** {@inheritDoc RequestRecorder.recordEnd} */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void {
    this.#cells.outcomes[outcome]++;
    this.#sink.countEnd(outcome, this.#labels);
    this.#recordAndSample("outputTokens", outputTokens);
  }

  /**
   * Moves what was recorded to another series; requests that still run record
   * there from now on.
   *
   * @param target - The series that takes over.
   */
  foldInto(target: RequestSeries): void {
    const cells = target.#cells;
    cells.preemptions += this.#cells.preemptions;
    for (const kind of OUTCOME_KINDS) {
      cells.outcomes[kind] += this.#cells.outcomes[kind];
    }
    for (const name of MEASURE_NAMES) {
      const histogram = this.#cells.histograms[name];
      if (histogram) target.#histogram(name).add(histogram);
    }
    this.#cells = cells;
    this.#labels = target.#labels;
  }

  /** @returns The figures so far. */
  toFigures(): SeriesFigures {
    const { outcomes, preemptions, histograms } = this.#cells;
    const figures = MEASURE_NAMES.flatMap((name) => {
      const histogram = histograms[name];
      return histogram ? [[name, histogram.toFigures()] as const] : [];
    });
    return {
      ...this.#labels,
      outcomes: { ...outcomes },
      preemptions,
      histograms: Object.fromEntries(figures),
    };
  }

  #recordAndSample(name: MeasureName, value: number): void {
    this.#histogram(name).record(value);
    this.#sink.sample(name, value, this.#labels);
  }

  #histogram(name: MeasureName): LogHistogram {
    return this.#cells.histograms[name] ??= createHistogram(name);
  }
}
