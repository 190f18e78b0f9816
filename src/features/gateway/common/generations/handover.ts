/**
 * Hands a running generation over to another endpoint. The current run is ended
 * only after the other endpoint has accepted the continuation, so that a
 * refusal does not interrupt the stream.
 */

import type { Disposable } from "../../../../base/common/lifecycle.ts";
import type { EndpointOutcome } from "../endpoints/endpoint_health.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/**
 * Timeout for the acceptance of a continuation. Two runs of one generation must
 * not overlap for 400 ms.
 */
const ACCEPT_TIMEOUT_MS = 250;

/**
 * Reason why a generation continues on another endpoint: its connection broke,
 * its endpoint is unreachable (`dark`), this host has lost its path to it
 * (`cut`), its connection stalled (`silent`) or its endpoint is draining
 * (`leaving`). The values appear in the log and in metrics.
 */
export type ContinuationCause =
  | "broken"
  | "dark"
  | "cut"
  | "silent"
  | "leaving";

/**
 * @param cause - Why a generation was to continue elsewhere.
 * @returns Whether its endpoint may return and still run it.
 */
export function isOutage(cause: ContinuationCause): boolean {
  return cause === "dark" || cause === "cut";
}

/** Receives the result of a handover. */
export interface HandoverListener {
  /** The continuation was accepted; the previous run has to end now. */
  onAccepted(next: UpstreamAttempt): void;
  /** The continuation was not accepted; only the previous run remains. */
  onRejected(cause: ContinuationCause): void;
}

/** Runs at most one handover at a time. */
export class Handover implements Disposable {
  readonly #context: RequestContext;
  readonly #listener: HandoverListener;
  #next: UpstreamAttempt | undefined;
  #cause: ContinuationCause = "leaving";

  /**
   * @param context - State of the request.
   * @param listener - Receives the result of each handover.
   */
  constructor(context: RequestContext, listener: HandoverListener) {
    this.#context = context;
    this.#listener = listener;
  }

  /** Whether a continuation is waiting to be accepted. */
  get isPending(): boolean {
    return this.#next !== undefined;
  }

  /**
   * Sends a continuation.
   *
   * @param next - The attempt that is to take over.
   * @param cause - The reason for the handover.
   */
  begin(next: UpstreamAttempt, cause: ContinuationCause): void {
    this.#next = next;
    this.#cause = cause;
    this.#context.setTimer(ACCEPT_TIMEOUT_MS, () => {
      // A request that was sent may already be running.
      if (next.wasSent) this.accept(next);
      else this.reject(next, "unreachable", "connection not opened in time");
    });
    next.send();
  }

  /**
   * Records that the endpoint of the previous run became unreachable; the run
   * may still be active there.
   *
   * @returns Whether a continuation is pending.
   */
  onSourceUnreachable(): boolean {
    this.#cause = "dark";
    return this.isPending;
  }

  /** Rejects the pending continuation if its endpoint became unreachable. */
  onTargetUnreachable(endpoint: RegisteredEndpoint): void {
    if (this.#next?.endpoint !== endpoint) return;
    this.reject(this.#next, "unreachable", "the endpoint is unreachable");
  }

  /**
   * Accepts the pending continuation without waiting, because the previous run
   * has ended.
   *
   * @returns Whether a continuation was pending.
   */
  acceptPending(): boolean {
    if (!this.#next) return false;
    this.accept(this.#next);
    return true;
  }

  /**
   * Accepts an attempt if it is the pending continuation.
   *
   * @param attempt - An attempt whose endpoint has started to respond.
   */
  accept(attempt: UpstreamAttempt): void {
    if (attempt !== this.#next) return;
    this.#next = undefined;
    this.#listener.onAccepted(attempt);
  }

  /**
   * Rejects an attempt if it is the pending continuation.
   *
   * @param attempt - The attempt that failed.
   * @param outcome - The outcome for the health of its endpoint.
   * @param reason - The reason, for the log.
   */
  reject(
    attempt: UpstreamAttempt,
    outcome: EndpointOutcome,
    reason: string,
  ): void {
    if (attempt !== this.#next) return;
    this.#next = undefined;
    attempt.abort();
    attempt.recordOutcome(outcome);
    this.#context.log("warn", "stream-not-handed-over", {
      endpoint: attempt.endpoint.id,
      cause: this.#cause,
      reason,
      wasSent: attempt.wasSent,
    });
    this.#listener.onRejected(this.#cause);
  }

  /** Aborts the pending continuation. */
  dispose(): void {
    this.#next?.abort();
    this.#next = undefined;
  }
}
