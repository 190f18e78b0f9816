/** One call of an app service: what was sent, and what came back. */

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

/** Largest body of an answer. */
export const MAX_RESPONSE_BYTES = 16_777_216;

/**
 * The length of a 304 is that of the body which it leaves out, but the library
 * takes the missing body for a cut one.
 */
const HTTP_NOT_MODIFIED = 304;
const LENGTH_MISMATCH = "UND_ERR_RES_CONTENT_LENGTH_MISMATCH";

/**
 * Follows a call. The library reports the start just before it writes the
 * first byte, so a call that has not started was certainly not run.
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
   * @param peer - Address of the service.
   * @param call - The call; its time starts now.
   */
  constructor(peer: string, call: AppRequest) {
    this.#address = peer;
    this.#isIdempotent = call.isIdempotent;
    this.result = new Promise((resolve) => this.#resolve = resolve);
    this.#timeoutTimer = setTimeout(
      () => this.#fail("app.timeout", "no whole answer in time"),
      call.timeoutMs,
    );
  }

  /** Called before the first byte is written, again if the library repeats. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRetry = this.#controller !== undefined;
    if (this.#isSettled || (isRetry && !this.#isIdempotent)) {
      controller.abort(new Error("the call must not be sent any more"));
      return;
    }
    this.#controller = controller;
  }

  /** Called for the final answer and for provisional ones before it. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.#status = statusCode;
    this.#headers = toHeaderLines(
      controller.rawHeaders as readonly (string | Buffer)[],
    );
  }

  /** Called for each part of the body. */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#sizeBytes += chunk.byteLength;
    if (this.#sizeBytes <= MAX_RESPONSE_BYTES) this.#chunks.push(chunk);
    else {this.#fail(
        "app.read",
        `the answer exceeds ${MAX_RESPONSE_BYTES} bytes`,
      );}
  }

  /** Called when the answer is whole. */
  onResponseEnd(): void {
    this.#settle(Right({
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    }));
  }

  /** Called when there will be no answer. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { readonly code?: string },
  ): void {
    const isComplete = this.#status === HTTP_NOT_MODIFIED &&
      error.code === LENGTH_MISMATCH;
    if (isComplete) this.onResponseEnd();
    else this.#fail("app.send", toErrorMessage(error));
  }

  /** Gives up; the connection is destroyed, so that nothing comes late. */
  #fail(step: string, detail: string): void {
    const kind = this.#controller ? "unknown" : "not-sent";
    this.#settle(Left({ kind, step, peer: this.#address, detail }));
    this.#controller?.abort(new Error(detail));
  }

  #settle(result: Either<AppFailure, AppResponse>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timeoutTimer);
    this.#resolve(result);
  }
}

/** Pairs up the flat list of names and values, which are bytes on the wire. */
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
