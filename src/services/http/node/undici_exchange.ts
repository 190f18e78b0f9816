/** One pass-through request on one connection. */

import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { runReporting } from "../../../base/common/rounds.ts";
import {
  isCloseDelimited,
  mustBeEmpty,
  unusableReason,
} from "../common/header_list.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../common/pass_through_client.ts";
import { isStreamed, type StreamedBody } from "../common/request_body.ts";
import {
  discard,
  MAX_HEAD_BYTES,
  type PooledConnection,
} from "./pooled_connection.ts";

/**
 * Interim responses after which a final one is no longer waited for; a server
 * sends a few at most.
 */
const MAX_INTERIM_RESPONSES = 20;

/** One request on one connection. */
export class UndiciExchange implements PassThroughExchange {
  readonly #connection: PooledConnection;
  readonly #request: PassThroughRequest;
  readonly #listener: PassThroughListener;
  readonly #releaseConnection: () => void;
  #resume: (() => void) | undefined;
  /** Body that is read while it is sent. */
  #streamedBody: Readable | undefined;
  #isSent = false;
  #interimCount = 0;
  #isSettled = false;
  #mustBeEmpty = false;
  /**
   * Whether the end of the response is marked only by the closing of the
   * connection.
   */
  #isCloseDelimited = false;

  constructor(
    connection: PooledConnection,
    request: PassThroughRequest,
    listener: PassThroughListener,
    releaseConnection: () => void,
  ) {
    this.#connection = connection;
    this.#request = request;
    this.#listener = listener;
    this.#releaseConnection = releaseConnection;
  }

  start(): void {
    const { method, target, body } = this.#request;
    const headers = [...this.#request.headers];
    if (isStreamed(body) && body.sizeBytes !== undefined) {
      headers.push("content-length", String(body.sizeBytes));
    }
    const sentBody = isStreamed(body) ? toReadable(body) : body ?? null;
    if (sentBody instanceof Readable) this.#streamedBody = sentBody;
    const options: Dispatcher.DispatchOptions = {
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers,
      body: sentBody,
    };
    try {
      this.#connection.client.dispatch(options, {
        onConnect: () => this.#onSent(),
        onHeaders: (status, raw, resume) => this.#onHead(status, raw, resume),
        onData: (chunk) => this.#onData(chunk),
        onComplete: () => this.#onComplete(),
        onError: (error) => this.#fail(error),
      });
    } catch (thrown) {
      this.#fail(thrown);
    }
  }

  abort(): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#stopReadingBody();
    discard(this.#connection);
  }

  resume(): void {
    this.#resume?.();
  }

  #onSent(): void {
    this.#isSent = true;
    this.#limitReceivedBytes(MAX_HEAD_BYTES);
    this.#connection.continueFilter?.expectResponse();
    const { history, isUnnamed } = this.#connection;
    this.#listener.onSent?.(
      isUnnamed ? undefined : history.carriedCount - 1,
    );
  }

  /** Leaves what has not been read of the body for another request. */
  #stopReadingBody(): void {
    const body = this.#streamedBody;
    if (body && !body.readableEnded) body.destroy();
  }

  #onHead(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#isSettled) return true;
    // The parser reports the statuses below 100 as interim ones.
    if (status >= 100 && status < 200) {
      if (++this.#interimCount > MAX_INTERIM_RESPONSES) {
        this.#fail(new Error("interim responses do not end"));
      } else this.#listener.onInterim?.();
      return true;
    }
    const { method } = this.#request;
    const headers = raw.map((part) => part.toString("latin1"));
    const reason = unusableReason(method, status, headers);
    if (reason !== undefined) {
      this.#fail(new Error(reason));
      return true;
    }
    this.#resume = resume;
    // The body is bounded by its reader.
    this.#limitReceivedBytes(Infinity);
    this.#isCloseDelimited = isCloseDelimited(method, status, headers);
    this.#mustBeEmpty = mustBeEmpty(method, status);
    this.#listener.onHead(status, headers);
    return true;
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#isSettled) return true;
    if (!this.#mustBeEmpty) return this.#listener.onData(chunk);
    this.#fail(new Error("the response has a body that its status forbids"));
    return true;
  }

  #limitReceivedBytes(maxBytes: number): void {
    const { receiveLimit } = this.#connection;
    if (receiveLimit) receiveLimit.maxBytes = maxBytes;
  }

  #onComplete(): void {
    if (this.#isSettled) return;
    if (this.#isCloseDelimited && this.#connection.hasSocketError) {
      this.#fail(
        new Error(
          "the connection failed before the end of a close-delimited response",
        ),
      );
      return;
    }
    this.#isSettled = true;
    this.#stopReadingBody();
    // undici decides only after this callback whether the connection is
    // reusable.
    queueMicrotask(() => setImmediate(this.#releaseConnection));
    // undici would take an error for a failure of the exchange, which is over.
    runReporting(() => this.#listener.onEnd());
  }

  #fail(thrown: unknown): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#stopReadingBody();
    discard(this.#connection);
    runReporting(() =>
      this.#listener.onFailure({
        kind: this.#isSent ? "broken" : "not-sent",
        message: toErrorMessage(thrown),
        isTimedOut: isTimeout(thrown),
      })
    );
  }
}

/** @returns Whether a connection ended because its peer confirmed no data. */
function isTimeout(thrown: unknown): boolean {
  return thrown instanceof Error && "code" in thrown &&
    thrown.code === "ETIMEDOUT";
}

/**
 * @returns A stream that starts to read the body only when the stream is read.
 */
function toReadable(body: StreamedBody): Readable {
  return Readable.from(body.chunks(), { objectMode: false });
}
