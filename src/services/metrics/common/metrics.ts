/** Interface for recording metrics about requests and the daemon. */

import type { ServiceId, WorkspaceId } from "../../../base/common/ids.ts";

/** All possible outcomes of a request. */
export const OUTCOME_KINDS = [
  "completed",
  "not-run",
  "interrupted",
  "unknown",
] as const;

/** Outcome of a request as seen by its caller. */
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

/** Labels of the metrics of a request. */
export interface MetricLabels {
  readonly service: ServiceId;
  readonly workspace: WorkspaceId;
  readonly className: string;
}

/**
 * Records the metrics of one request. It is looked up once per request so that
 * recording each token is cheap.
 */
export interface RequestRecorder {
  /** @param waitMs - Time for which the request waited for a grant, in ms. */
  recordQueueWait(waitMs: number): void;
  /** @param delayMs - Time from the request to its first token, in ms. */
  recordFirstToken(delayMs: number): void;
  /** @param gapMs - Time between two consecutive tokens, in ms. */
  recordTokenGap(gapMs: number): void;
  /** @param stallMs - Time without a token beyond the stall limit, in ms. */
  recordStall(stallMs: number): void;
  /**
   * @param outcome - Outcome of the request.
   * @param outputTokens - Number of tokens delivered to the caller.
   */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void;
}

/** Name of a daemon-wide counter. */
export type CounterName =
  | "frames_dropped"
  | "streams_resumed"
  | "config_applied"
  | "log_lines_dropped"
  | "peer_links_closed"
  | "peer_messages_refused"
  | "peer_messages_failed"
  | "peer_transfers_aborted"
  | "unexpected_errors";

/** Records all metrics of a daemon. */
export interface Metrics {
  /** @returns The recorder for a request with these labels. */
  forRequest(labels: MetricLabels): RequestRecorder;
  /**
   * Adds preemptions of a service. Engines report only a total, without
   * workspaces and classes.
   *
   * @param service - Service of the engine.
   * @param count - Number of preemptions since the last report.
   */
  countPreemptions(service: ServiceId, count: number): void;
  /** @param amount - Amount to add to the counter; 1 by default. */
  count(name: CounterName, amount?: number): void;
}

const NOOP_RECORDER: RequestRecorder = {
  recordQueueWait: () => undefined,
  recordFirstToken: () => undefined,
  recordTokenGap: () => undefined,
  recordStall: () => undefined,
  recordEnd: () => undefined,
};

/** Metrics that are discarded. */
export const NOOP_METRICS: Metrics = {
  forRequest: () => NOOP_RECORDER,
  countPreemptions: () => undefined,
  count: () => undefined,
};
