/** Ends a request, and nothing else, after an unexpected error. */

import { toErrorMessage } from "../../../../base/common/errors.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../../../services/http/common/pass_through_client.ts";
import type { RequestContext } from "./request_context.ts";

/** Why a request ends after an unexpected error. */
export const CRASHED_REASON = "an internal error occurred";
/** Retry delay then. */
export const CRASHED_RETRY_AFTER_MS = 200;

/** Runs the parts of one request that nothing else awaits. */
export class RequestGuard {
  readonly #context: RequestContext;
  readonly #transfers = new Set<PassThroughExchange>();

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /** Runs a part of the request; an unexpected error in it ends the request. */
  attempt(work: () => void): void {
    try {
      work();
    } catch (thrown) {
      this.#crash(thrown);
    }
  }

  /**
   * @param listener - Listener of an event that others listen to as well.
   * @returns A listener whose unexpected errors end the request.
   */
  listener<T>(listener: (value: T) => void): (value: T) => void {
    return (value) => this.attempt(() => listener(value));
  }

  /** Follows a part of the request; an unexpected error in it ends the request. */
  follow(work: Promise<unknown>): void {
    work.catch((thrown: unknown) => this.#crash(thrown));
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param client - The client that sends it.
   * @param request - The request.
   * @param listener - Receives the response; an error in it ends the request.
   * @param onAbort - Called before the exchange is aborted.
   * @returns The exchange, which is aborted if the request ends by an error.
   */
  send(
    client: PassThroughClient,
    request: PassThroughRequest,
    listener: PassThroughListener,
    onAbort: () => void,
  ): PassThroughExchange {
    let transfer: PassThroughExchange | undefined = undefined;
    const exchange: PassThroughExchange = {
      abort: () => {
        this.#transfers.delete(exchange);
        onAbort();
        transfer?.abort();
      },
      resume: () => transfer?.resume(),
    };
    this.#transfers.add(exchange);
    const guarded = this.#guardListener(listener, () => {
      this.#transfers.delete(exchange);
    });
    transfer = client.send(request, guarded);
    return exchange;
  }

  /**
   * Ends what is in progress at endpoints before it answers with what is known of
   * the runs.
   */
  #crash(thrown: unknown): void {
    const { request, services } = this.#context;
    services.logger.log("error", "request-crashed", {
      request: request.id,
      detail: toErrorMessage(thrown),
    });
    try {
      for (const transfer of [...this.#transfers]) transfer.abort();
      this.#context.refuse(CRASHED_REASON, CRASHED_RETRY_AFTER_MS);
    } catch {
      // No response can be sent either; a closed connection promises nothing.
      request.exchange.abort();
      this.#context.finish("unknown", 0, CRASHED_REASON);
    }
  }

  /** @returns A listener that throws nothing. */
  #guardListener(
    listener: PassThroughListener,
    onOver: () => void,
  ): PassThroughListener {
    return {
      onSent: (carriedCount) =>
        this.attempt(() => listener.onSent?.(carriedCount)),
      onUnsent: () => this.attempt(() => listener.onUnsent?.()),
      onRelayed: (peer) => this.attempt(() => listener.onRelayed?.(peer)),
      onInterim: () => this.attempt(() => listener.onInterim?.()),
      onHead: (status, headers) =>
        this.attempt(() => listener.onHead(status, headers)),
      onData: (chunk) => {
        let mayContinue = true;
        this.attempt(() => {
          mayContinue = listener.onData(chunk);
        });
        return mayContinue;
      },
      onEnd: () => {
        onOver();
        this.attempt(() => listener.onEnd());
      },
      onFailure: (failure) => {
        onOver();
        this.attempt(() => listener.onFailure(failure));
      },
    };
  }
}
