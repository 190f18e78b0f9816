/**
 * Takes the right to continue a generation on another endpoint: the endpoint
 * must have the software version of the stream, the rules of the operator must
 * allow it, and a right is needed where it names a limit.
 */

import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "../requests/request_context.ts";

/** Longest wait of a continuation for the right to send to its endpoint. */
const MAX_CONTINUATION_WAIT_MS = 2_000;

/** Right of one generation; at most one is waited for at a time. */
export class ContinuationRight {
  readonly #context: RequestContext;
  #isPending = false;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /** Whether a continuation waits for its right. */
  get isPending(): boolean {
    return this.#isPending;
  }

  /**
   * Takes the right, without waiting if none is needed.
   *
   * @param endpoint - Endpoint to continue on.
   * @param isStale - Returns whether another continuation has taken over.
   * @param onSettled - Called with whether the continuation may be sent.
   */
  take(
    endpoint: RegisteredEndpoint,
    isStale: () => boolean,
    onSettled: (isGranted: boolean) => void,
  ): void {
    const { eligibility, rights } = this.#context;
    if (!this.#context.accepts(endpoint) || !eligibility.isAllowed(endpoint)) {
      onSettled(false);
      return;
    }
    if (!rights.isNeeded(endpoint)) {
      onSettled(true);
      return;
    }
    this.#isPending = true;
    const taken = rights.take(endpoint, MAX_CONTINUATION_WAIT_MS);
    this.#context.guard.follow(taken.then((isGranted) => {
      this.#isPending = false;
      if (this.#context.hasEnded || isStale()) return;
      onSettled(isGranted && eligibility.mayStillUse(endpoint));
    }));
  }
}
