/** Metrics sent to a StatsD address by hot-shots. */

import { StatsD } from "hot-shots";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type {
  CounterName,
  MetricLabels,
  Metrics,
  RequestRecorder,
} from "../common/metrics.ts";

const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_PERIOD_MS = 1_000;
/** Token gaps are frequent; a share of them describes the distribution. */
const TOKEN_GAP_SAMPLE_SHARE = 0.05;

/** Sends samples in batches over UDP. */
export class StatsdMetrics implements Metrics, Disposable {
  readonly #client: StatsD;

  /**
   * @param host - IP address of the StatsD agent.
   * @param port - Its UDP port.
   */
  constructor(host: string, port: number) {
    this.#client = new StatsD({
      host,
      port,
      prefix: "ragwort.",
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_PERIOD_MS,
      errorHandler: () => undefined,
    });
  }

  /** {@inheritDoc Metrics.forRequest} */
  forRequest(labels: MetricLabels): RequestRecorder {
    const client = this.#client;
    const tags = [
      `service:${labels.service}`,
      `workspace:${labels.workspace}`,
      `class:${labels.className}`,
    ];
    return {
      recordQueueWait: (waitMs) => client.timing("queue_wait_ms", waitMs, tags),
      recordFirstToken: (delayMs) =>
        client.timing("first_token_ms", delayMs, tags),
      recordTokenGap: (gapMs) =>
        client.timing("token_gap_ms", gapMs, TOKEN_GAP_SAMPLE_SHARE, tags),
      recordStall: (stallMs) => client.timing("stall_ms", stallMs, tags),
      recordEnd: (outcome, outputTokens) => {
        client.increment("requests", 1, [...tags, `outcome:${outcome}`]);
        client.histogram("output_tokens", outputTokens, tags);
      },
    };
  }

  /** {@inheritDoc Metrics.count} */
  count(name: CounterName, by = 1): void {
    this.#client.increment(name, by);
  }

  /** Sends what is buffered and closes the socket. */
  dispose(): void {
    this.#client.close();
  }
}
