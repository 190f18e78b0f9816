/** Samples sent to a StatsD address by hot-shots. */

import { StatsD } from "hot-shots";
import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { AddressParts } from "../../settings/common/shared_schemas.ts";
import type { DaemonLabels } from "../common/histogram_metrics.ts";
import type { HistogramName } from "../common/histogram_names.ts";
import { createOutcomeCounts } from "../common/metrics_snapshot.ts";
import {
  type CounterName,
  OUTCOME_KINDS,
  type OutcomeKind,
} from "../common/metrics.ts";
import type { SampleSink, SeriesLabels } from "../common/sample_sink.ts";

const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_PERIOD_MS = 1_000;
/** Samples above this rate are dropped; counters are never dropped. */
const MAX_SAMPLES_PER_FLUSH = 500;
const COUNTER_FLUSH_PERIOD_MS = 10_000;

const STATSD_NAMES: Readonly<Record<HistogramName, string>> = {
  queueWaitMs: "queue_wait_ms",
  firstTokenMs: "first_token_ms",
  tokenGapMs: "token_gap_ms",
  stallMs: "stall_ms",
  outputTokens: "output_tokens",
};

/** What has been counted since the last flush of counters. */
interface PendingCounts {
  readonly outcomes: Record<OutcomeKind, number>;
  preemptions: number;
}

/** Sends batches over UDP, a bounded number of samples a second. */
export class StatsdSink implements SampleSink, Disposable {
  readonly #client: StatsD;
  readonly #timers = new DisposableStore();
  readonly #tags = new WeakMap<SeriesLabels, string[]>();
  #pendingCounts = new Map<SeriesLabels, PendingCounts>();
  #remainingSamples = MAX_SAMPLES_PER_FLUSH;
  #droppedSamples = 0;

  /**
   * @param clock - Time of the limit on samples.
   * @param address - Address of the StatsD agent.
   * @param daemonLabels - Tags of everything that is sent.
   */
  constructor(clock: Clock, address: AddressParts, daemonLabels: DaemonLabels) {
    this.#client = new StatsD({
      host: address.ip,
      port: address.port,
      prefix: "ragwort.",
      globalTags: [`host:${daemonLabels.host}`, `zone:${daemonLabels.zone}`],
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_PERIOD_MS,
      errorHandler: () => undefined,
    });
    this.#timers.add(
      runPeriodically(clock, FLUSH_PERIOD_MS, () => this.#resetSampleLimit()),
    );
    this.#timers.add(
      runPeriodically(
        clock,
        COUNTER_FLUSH_PERIOD_MS,
        () => this.#flushCounts(),
      ),
    );
  }

  /** {@inheritDoc SampleSink.sample} */
  sample(name: HistogramName, value: number, labels: SeriesLabels): void {
    if (this.#remainingSamples === 0) {
      this.#droppedSamples++;
      return;
    }
    this.#remainingSamples--;
    this.#client.histogram(
      STATSD_NAMES[name],
      value,
      this.#getOrCreateTags(labels),
    );
  }

  /** {@inheritDoc SampleSink.countEnd} */
  countEnd(outcome: OutcomeKind, labels: SeriesLabels): void {
    this.#getOrCreatePendingCounts(labels).outcomes[outcome]++;
  }

  /** {@inheritDoc SampleSink.countPreemptions} */
  countPreemptions(count: number, labels: SeriesLabels): void {
    this.#getOrCreatePendingCounts(labels).preemptions += count;
  }

  /** {@inheritDoc SampleSink.count} */
  count(name: CounterName, amount: number): void {
    this.#client.increment(name, amount);
  }

  /** Sends what is buffered and closes the socket. */
  dispose(): void {
    this.#timers.dispose();
    this.#flushCounts();
    this.#client.close();
  }

  #getOrCreatePendingCounts(labels: SeriesLabels): PendingCounts {
    let pending = this.#pendingCounts.get(labels);
    if (!pending) {
      pending = { outcomes: createOutcomeCounts(), preemptions: 0 };
      this.#pendingCounts.set(labels, pending);
    }
    return pending;
  }

  #flushCounts(): void {
    const pendingCounts = this.#pendingCounts;
    this.#pendingCounts = new Map();
    for (const [labels, { outcomes, preemptions }] of pendingCounts) {
      const tags = this.#getOrCreateTags(labels);
      for (const kind of OUTCOME_KINDS) {
        if (outcomes[kind] === 0) continue;
        const outcomeTags = [...tags, `outcome:${kind}`];
        this.#client.increment("requests", outcomes[kind], outcomeTags);
      }
      if (preemptions > 0) {
        this.#client.increment("preemptions", preemptions, tags);
      }
    }
  }

  #resetSampleLimit(): void {
    this.#remainingSamples = MAX_SAMPLES_PER_FLUSH;
    if (this.#droppedSamples === 0) return;
    this.#client.increment("samples_dropped", this.#droppedSamples);
    this.#droppedSamples = 0;
  }

  #getOrCreateTags(labels: SeriesLabels): string[] {
    let tags = this.#tags.get(labels);
    if (!tags) {
      tags = [
        `service:${labels.service}`,
        `workspace:${labels.workspace}`,
        `class:${labels.className}`,
      ];
      this.#tags.set(labels, tags);
    }
    return tags;
  }
}
