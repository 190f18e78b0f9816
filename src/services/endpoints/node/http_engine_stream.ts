/** One HTTP connection that carries a generation's server-sent events. */

import { createParser, type EventSourceParser } from "eventsource-parser";
import type { Dispatcher as HttpDispatcher } from "undici";
import type { Address } from "../../../base/common/ids.ts";
import type {
  EngineFrame,
  EngineStream,
  EngineStreamListener,
  StreamClose,
} from "../common/engine_client.ts";
import { decodeEngineFrame } from "./engine_messages.ts";

const HEADERS_TIMEOUT_MS = 5_000;
/** A longer event closes the connection. */
const MAX_EVENT_CHARACTERS = 65_536;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_SERVICE_UNAVAILABLE = 503;
/** The engine states with this header that it did not run the request. */
const NOT_RUN_HEADER = "x-not-run";

/** Errors that arise before a byte of the request is sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** How the stream is asked for. */
export interface StreamRequest {
  readonly address: Address;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
}

/** Reads one response as frames and tells how it ended. */
export class HttpEngineStream implements EngineStream {
  readonly #listener: EngineStreamListener;
  readonly #decoder = new TextDecoder();
  readonly #parser: EventSourceParser;
  #frames: EngineFrame[] = [];
  #parseError: string | undefined;
  #controller: HttpDispatcher.DispatchController | undefined;
  #status = 0;
  #isNotRun = false;
  #isClosed = false;
  #hasReceivedEnd = false;

  /**
   * @param dispatcher - Gives the connection.
   * @param request - What is asked for.
   * @param listener - Receiver.
   */
  constructor(
    dispatcher: HttpDispatcher,
    request: StreamRequest,
    listener: EngineStreamListener,
  ) {
    this.#listener = listener;
    this.#parser = createParser({
      maxBufferSize: MAX_EVENT_CHARACTERS,
      onEvent: ({ data }) => this.#onEvent(data),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") {
          this.#parseError = "an event is too long";
        }
      },
    });
    this.#dispatch(dispatcher, request);
  }

  /** {@inheritDoc EngineStream.pause} */
  pause(): void {
    this.#controller?.pause();
  }

  /** {@inheritDoc EngineStream.resume} */
  resume(): void {
    this.#controller?.resume();
  }

  /**
   * Ends the stream without a further call of the listener. After the end
   * frame the connection is left to close in order, so that it can be used
   * again; before it, the connection is dropped.
   */
  dispose(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    if (!this.#hasReceivedEnd) this.#abortConnection();
  }

  #abortConnection(): void {
    this.#controller?.abort(new Error("the stream was dropped"));
  }

  #dispatch(dispatcher: HttpDispatcher, request: StreamRequest): void {
    dispatcher.dispatch({
      origin: `http://${request.address}`,
      method: request.method,
      path: request.path,
      headers: {
        accept: "text/event-stream",
        "content-type": "application/json",
      },
      body: request.body ?? null,
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: 0,
    }, {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#isClosed) {
          controller.abort(new Error("the stream was dropped"));
        }
      },
      onResponseStart: (_controller, status, headers) => {
        this.#status = status;
        this.#isNotRun = headers[NOT_RUN_HEADER] === "1";
        if (status === HTTP_OK && !this.#isClosed) this.#listener.onAccepted();
      },
      onResponseData: (_controller, chunk) => this.#onData(chunk),
      onResponseEnd: () => this.#onEnd(),
      onResponseError: (_controller, error) => this.#onError(error),
    });
  }

  #onEvent(data: string): void {
    decodeEngineFrame(data).caseOf({
      Left: (error) => {
        this.#parseError = error;
      },
      Right: (frame) => {
        this.#frames.push(frame);
        if (frame.kind === "end") this.#hasReceivedEnd = true;
      },
    });
  }

  #onData(chunk: Buffer): void {
    if (this.#isClosed || this.#status !== HTTP_OK) return;
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    const frames = this.#frames;
    this.#frames = [];
    if (frames.length > 0) this.#listener.onFrames(frames);
    if (this.#parseError === undefined || this.#isClosed) return;
    const detail = `malformed frame: ${this.#parseError}`;
    this.#controller?.abort(new Error(detail));
    this.#close({ kind: "lost", detail });
  }

  #onEnd(): void {
    const detail = `status ${this.#status}`;
    if (this.#status === HTTP_OK) {
      this.#close({ kind: "closed" });
    } else if (this.#status === HTTP_NOT_FOUND) {
      this.#close({ kind: "unknown-generation", detail });
    } else if (this.#isNotRun) {
      const reason = this.#status === HTTP_SERVICE_UNAVAILABLE
        ? "leaving"
        : "refused";
      this.#close({ kind: "not-run", reason, detail });
    } else this.#close({ kind: "lost", detail });
  }

  #onError(error: Error): void {
    const code = (error as { code?: string }).code ?? "";
    const detail = error.message || code;
    if (CONNECT_ERROR_CODES.has(code)) {
      const reason = code === "ECONNREFUSED" ? "down" : "unreachable";
      this.#close({ kind: "not-run", reason, detail });
    } else this.#close({ kind: "lost", detail });
  }

  #close(close: StreamClose): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#listener.onClosed(close);
  }
}
