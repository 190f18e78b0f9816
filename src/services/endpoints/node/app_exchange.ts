/**
 * One HTTP exchange with an app service, from the request to the complete
 * response.
 */

import type { Dispatcher } from "undici";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import type {
  AppFailure,
  AppRequest,
  AppResponse,
  HeaderLine,
} from "../common/app_client.ts";

/** Largest response body that is accepted, in bytes. */
export const MAX_RESPONSE_BYTES = 16_777_216;

/**
 * The content length of a 304 response is that of the omitted body. The HTTP
 * library reports such a response as truncated, although it is complete.
 */
const HTTP_NOT_MODIFIED = 304;
const LENGTH_MISMATCH = "UND_ERR_RES_CONTENT_LENGTH_MISMATCH";

/**
 * Collects the response to one request and applies the timeout. The library
 * reports the start of a request just before it writes the first byte, so a
 * request that has not been started was certainly not executed.
 */
export class AppExchange implements Dispatcher.DispatchHandler {
  readonly result: AsyncEither<AppFailure, AppResponse>;
  readonly #address: string;
  readonly #isIdempotent: boolean;
  readonly #timeoutTimer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #resolve: (result: Either<AppFailure, AppResponse>) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #isSettled = false;
  #status = 0;
  #headers: readonly HeaderLine[] = [];
  #sizeBytes = 0;

  /**
   * @param address - The address of the app service.
   * @param request - The request; its timeout starts now.
   */
  constructor(address: string, request: AppRequest) {
    this.#address = address;
    this.#isIdempotent = request.isIdempotent;
    this.result = new Promise((resolve) => this.#resolve = resolve);
    this.#timeoutTimer = setTimeout(
      () =>
        this.#fail(
          "app.timeout",
          "the response was not complete before the timeout",
        ),
      request.timeoutMs,
    );
  }

  /**
   * Called before the first byte of the request is written, and again if the
   * library retries the request.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRetry = this.#controller !== undefined;
    if (this.#isSettled || (isRetry && !this.#isIdempotent)) {
      controller.abort(new Error("the request must not be sent again"));
      return;
    }
    this.#controller = controller;
  }

  /**
   * Called for the final response and for each informational response before
   * it.
   */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.#status = statusCode;
    this.#headers = toHeaderLines(
      controller.rawHeaders as readonly (string | Buffer)[],
    );
  }

  /** Called for each part of the response body. */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#sizeBytes += chunk.byteLength;
    if (this.#sizeBytes <= MAX_RESPONSE_BYTES) this.#chunks.push(chunk);
    else this.#fail("app.read", `response exceeds ${MAX_RESPONSE_BYTES} bytes`);
  }

  /** Called when the response is complete. */
  onResponseEnd(): void {
    this.#settle(Right({
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    }));
  }

  /** Called when the request failed. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { readonly code?: string },
  ): void {
    const isComplete = this.#status === HTTP_NOT_MODIFIED &&
      error.code === LENGTH_MISMATCH;
    if (isComplete) this.onResponseEnd();
    else this.#fail("app.send", toErrorMessage(error), true);
  }

  /**
   * Fails the exchange and closes the connection, so that no delayed response
   * can arrive on it.
   */
  #fail(step: string, detail: string, isConnectionLost = false): void {
    const kind = this.#controller ? "unknown" : "not-sent";
    const peer = this.#address;
    this.#settle(Left({ kind, isConnectionLost, step, peer, detail }));
    this.#controller?.abort(new Error(detail));
  }

  #settle(result: Either<AppFailure, AppResponse>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timeoutTimer);
    this.#resolve(result);
  }
}

/**
 * Converts the flat list of alternating names and values to header lines. The
 * list consists of bytes as received.
 */
function toHeaderLines(raw: readonly (string | Buffer)[]): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push({
      name: toText(raw[index]!),
      value: toText(raw[index + 1]!),
    });
  }
  return lines;
}

function toText(part: string | Buffer): string {
  return typeof part === "string" ? part : part.toString("latin1");
}
