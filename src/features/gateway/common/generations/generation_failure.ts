/**
 * Ends one generation without a complete stream, with the outcome that follows
 * from what its caller has received and what endpoints may have run.
 */

import {
  type HeaderList,
  withoutHeader,
} from "../../../../services/http/common/header_list.ts";
import type { CallerStream } from "./caller_stream.ts";
import type { RequestContext } from "../requests/request_context.ts";

/** Failure of one generation. */
export class GenerationFailure {
  readonly #context: RequestContext;
  readonly #stream: CallerStream;

  /**
   * @param context - State of the request.
   * @param stream - What the caller has received.
   */
  constructor(context: RequestContext, stream: CallerStream) {
    this.#context = context;
    this.#stream = stream;
  }

  /**
   * Ends the generation.
   *
   * @param reason - Reason for the log and the response body.
   * @param retryAfterMs - Time after which the caller may return, in
   * milliseconds, if the placer has said so.
   */
  fail(reason: string, retryAfterMs?: number): void {
    this.#context.refuse(
      reason,
      this.#context.placementRetryAfterMs(retryAfterMs),
    );
  }

  /** Ends the generation with the endpoint's own error response. */
  passOn(status: number, received: HeaderList, body: Uint8Array): void {
    const { request, services } = this.#context;
    const headers = services.codec.callerResponseHeaders(received);
    request.exchange.reply(
      status,
      withoutHeader(headers, "content-length"),
      body,
    );
    this.#context.finish("failed-by-endpoint", status, "");
  }

  /** Ends the generation at its deadline. */
  failAtDeadline(): void {
    const reason = "no complete response before the deadline";
    const outcome = this.#stream.hasStarted ? "interrupted" : "unknown";
    this.#context.fail(504, outcome, reason);
  }
}
