/**
 * Fake endpoints without sockets: tests inspect each request and script its
 * response.
 */

import type { Address } from "../../src/base/common/ids.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../src/services/http/common/pass_through_client.ts";
import {
  isStreamed,
  type StreamedBody,
} from "../../src/services/http/common/request_body.ts";
import { headerOf } from "../../src/services/http/common/header_list.ts";

/** A request sent to an endpoint. */
export class FakeTransfer implements PassThroughExchange {
  readonly request: PassThroughRequest;
  readonly #sink: PassThroughListener;
  isAborted = false;

  constructor(request: PassThroughRequest, sink: PassThroughListener) {
    this.request = request;
    this.#sink = sink;
  }

  /** @returns The value of a request header. */
  header(name: string): string | undefined {
    return headerOf(this.request.headers, name);
  }

  /** Signals that the request is written to its connection. */
  markSent(): this {
    this.#sink.onSent?.();
    return this;
  }

  /**
   * Sends a response head, with the signature unless other headers are given,
   * and with the id of the request unless they hold one.
   */
  head(status: number, headers: readonly string[] = SIGNED_HEADERS): this {
    const id = this.header("id");
    const named = id === undefined || headers.includes("id")
      ? headers
      : [...headers, "id", id];
    return this.headAsGiven(status, named);
  }

  /** Sends a response head with no other headers. */
  headAsGiven(status: number, headers: readonly string[]): this {
    if (!this.isAborted) this.#sink.onHead(status, headers);
    return this;
  }

  data(text: string): this {
    if (!this.isAborted) this.#sink.onData(Buffer.from(text));
    return this;
  }

  /** Sends one event of a stream. */
  event(id: number): this {
    return this.data(`id: ${id}\ndata: e${id}\n\n`);
  }

  finish(): void {
    if (!this.isAborted) this.#sink.onEnd();
  }

  /** Sends a complete response. */
  respond(status: number, text: string, headers?: readonly string[]): void {
    this.head(status, headers).data(text).finish();
  }

  breakConnection(message = "reset"): void {
    if (!this.isAborted) this.#sink.onFailure({ kind: "broken", message });
  }

  /** Ends a connection that has carried nothing until its own time-out. */
  timeOut(): void {
    if (this.isAborted) return;
    const message = "ETIMEDOUT";
    this.#sink.onFailure({ kind: "broken", message, isTimedOut: true });
  }

  refuseConnection(): void {
    this.#sink.onFailure({ kind: "not-sent", message: "refused" });
  }

  abort(): void {
    this.isAborted = true;
  }

  resume(): void {
    // Data is never paused here.
  }
}

/** Headers with the signature that endpoints add to their responses. */
export const SIGNED_HEADERS = ["X-Response-Stamp", "stamp"];
/** Headers that prove that a request was not run. */
export const NOT_RUN_HEADERS = ["X-Not-Executed", "1"];

/** Records all requests in order. */
export class FakeEndpoints implements PassThroughClient {
  readonly transfers: FakeTransfer[] = [];
  /** Addresses that refuse connections. */
  readonly unreachable = new Set<Address>();

  send(
    request: PassThroughRequest,
    sink: PassThroughListener,
  ): PassThroughExchange {
    const transfer = new FakeTransfer(request, sink);
    this.transfers.push(transfer);
    queueMicrotask(() => {
      if (transfer.isAborted || this.unresponsive.has(request.address)) return;
      if (this.unreachable.has(request.address)) transfer.refuseConnection();
      else {
        transfer.markSent();
        const { body } = request;
        if (isStreamed(body)) void readWhole(body);
      }
    });
    return transfer;
  }

  /** Addresses whose idle connections were closed. */
  readonly forgotten: Address[] = [];
  /** Addresses at which connections neither open nor fail. */
  readonly unresponsive = new Set<Address>();

  closeIdleConnections(address: Address): void {
    this.forgotten.push(address);
  }

  /** The latest request. */
  get last(): FakeTransfer {
    return this.transfers[this.transfers.length - 1]!;
  }
}

/** Reads a body to its end, as a connection does that sends it. */
export async function readWhole(body: StreamedBody): Promise<void> {
  const chunks = body.chunks()[Symbol.asyncIterator]();
  while (!(await chunks.next()).done);
}
