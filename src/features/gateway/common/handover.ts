/**
 * Hands a living run over to its next endpoint. The run is ended only once the
 * next endpoint has accepted its continuation: one that refuses costs nothing.
 */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { EndpointOutcome } from "./endpoint_health.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { RequestContext } from "./request_context.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** Time to accept a continuation; two runs must not be at work for 400 ms. */
const ACCEPT_TIMEOUT_MS = 250;

/** Why a run has to go on elsewhere. */
export type ContinuationCause = "broken" | "dark" | "silent" | "leaving";

/** Hears how a handover ends. */
export interface HandoverListener {
  /** The run before has to end now. */
  onAccepted(next: UpstreamAttempt): void;
  /** The run before is all there is. */
  onRejected(cause: ContinuationCause): void;
}

/** At most one handover at a time. */
export class Handover implements Disposable {
  readonly #context: RequestContext;
  readonly #listener: HandoverListener;
  #next: UpstreamAttempt | undefined;
  #cause: ContinuationCause = "leaving";

  /**
   * @param context - The request.
   * @param listener - Hears how it ends.
   */
  constructor(context: RequestContext, listener: HandoverListener) {
    this.#context = context;
    this.#listener = listener;
  }

  /** Whether a continuation waits to be accepted. */
  get isPending(): boolean {
    return this.#next !== undefined;
  }

  /**
   * Sends a continuation.
   *
   * @param next - The leg that is to take over.
   * @param cause - Why.
   */
  begin(next: UpstreamAttempt, cause: ContinuationCause): void {
    this.#next = next;
    this.#cause = cause;
    this.#context.setTimer(ACCEPT_TIMEOUT_MS, () => {
      // What was sent may be at work by now.
      if (next.wasSent) this.accept(next);
      else this.reject(next, "unreachable", "no connection in time");
    });
    next.send();
  }

  /**
   * The run before may be at work where nobody reaches it.
   *
   * @returns Whether a continuation is pending.
   */
  onSourceUnreachable(): boolean {
    this.#cause = "dark";
    return this.isPending;
  }

  /** An endpoint is dark: it accepts nothing. */
  onTargetUnreachable(endpoint: RegisteredEndpoint): void {
    if (this.#next?.endpoint !== endpoint) return;
    this.reject(this.#next, "unreachable", "the endpoint is dark");
  }

  /**
   * The run before has ended: what is pending is all there is.
   *
   * @returns Whether a continuation was pending.
   */
  acceptPending(): boolean {
    if (!this.#next) return false;
    this.accept(this.#next);
    return true;
  }

  /** @param attempt - A leg whose endpoint has begun to answer. */
  accept(attempt: UpstreamAttempt): void {
    if (attempt !== this.#next) return;
    this.#next = undefined;
    this.#listener.onAccepted(attempt);
  }

  /**
   * @param attempt - A leg that came to nothing.
   * @param outcome - What that tells of its endpoint.
   * @param reason - Why, for the log.
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

  /** Drops what is pending. */
  dispose(): void {
    this.#next?.abort();
    this.#next = undefined;
  }
}
