/**
 * Limits how long a generation waits for its endpoint to return, which may only
 * be partitioned from this daemon and still run the generation.
 */

import type { Disposable } from "../../../../base/common/lifecycle.ts";
import type { RequestContext } from "../requests/request_context.ts";

/** Time to wait for an endpoint, as after a network partition. */
const OUTAGE_TIMEOUT_MS = 8_000;

/** Outage of the endpoint of one generation. */
export class EndpointOutage {
  readonly #context: RequestContext;
  readonly #onTimeout: () => void;
  #timer: Disposable | undefined;

  /**
   * @param context - State of the request.
   * @param onTimeout - Called when the endpoint has not returned in time.
   */
  constructor(context: RequestContext, onTimeout: () => void) {
    this.#context = context;
    this.#onTimeout = onTimeout;
  }

  /** Whether the generation waits for its endpoint. */
  get isActive(): boolean {
    return this.#timer !== undefined;
  }

  /** Starts to wait, unless the generation waits already. */
  begin(): void {
    this.#timer ??= this.#context.setTimer(OUTAGE_TIMEOUT_MS, this.#onTimeout);
  }

  /** The generation has made progress. */
  end(): void {
    this.#timer?.dispose();
    this.#timer = undefined;
  }
}
