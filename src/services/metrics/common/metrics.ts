/** Contract for what is measured about requests. */

import type { ServiceId, WorkspaceId } from "../../../base/common/ids.ts";

/** All ends of a request. */
export const OUTCOME_KINDS = [
  "completed",
  "not-run",
  "interrupted",
  "unknown",
] as const;

/** How a request ended for its caller. */
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

/** Whose request is measured. */
export interface MetricLabels {
  readonly service: ServiceId;
  readonly workspace: WorkspaceId;
  readonly className: string;
}

/** Measures one request; resolved once, cheap for each token. */
export interface RequestRecorder {
  /** @param waitMs - Time spent waiting for a grant. */
  recordQueueWait(waitMs: number): void;
  /** @param delayMs - Time from the request to its first token. */
  recordFirstToken(delayMs: number): void;
  /** @param gapMs - Time between two tokens. */
  recordTokenGap(gapMs: number): void;
  /** @param stallMs - Time without a token beyond the stall limit. */
  recordStall(stallMs: number): void;
  /**
   * @param outcome - How the request ended.
   * @param outputTokens - Tokens delivered to the caller.
   */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void;
}

/** Counters that are not about one request. */
export type CounterName =
  | "frames_dropped"
  | "streams_resumed"
  | "config_applied"
  | "peer_links_closed";

/** Recorder of all measurements of a daemon. */
export interface Metrics {
  /** @returns The recorder for one request. */
  forRequest(labels: MetricLabels): RequestRecorder;
  /**
   * Engines report preemptions as a sum, without workspace and class.
   *
   * @param service - Service of the engine.
   * @param count - Preemptions since the last report.
   */
  countPreemptions(service: ServiceId, count: number): void;
  /** @param amount - How much to add. */
  count(name: CounterName, amount?: number): void;
}

const NOOP_RECORDER: RequestRecorder = {
  recordQueueWait: () => undefined,
  recordFirstToken: () => undefined,
  recordTokenGap: () => undefined,
  recordStall: () => undefined,
  recordEnd: () => undefined,
};

/** Measures nothing. */
export const NOOP_METRICS: Metrics = {
  forRequest: () => NOOP_RECORDER,
  countPreemptions: () => undefined,
  count: () => undefined,
};
