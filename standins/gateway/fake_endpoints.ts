/** Endpoints without sockets: tests see each request and script its answer. */

import type { Address } from "../../src/base/common/ids.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../src/services/http/common/pass_through_client.ts";
import { isStreamed } from "../../src/services/http/common/request_body.ts";
import { headerOf } from "../../src/services/http/common/header_list.ts";

/** A request that reached an endpoint. */
export class FakeTransfer implements PassThroughExchange {
  readonly request: PassThroughRequest;
  readonly #sink: PassThroughListener;
  isAborted = false;

  constructor(request: PassThroughRequest, sink: PassThroughListener) {
    this.request = request;
    this.#sink = sink;
  }

  /** @returns A header of the request. */
  header(name: string): string | undefined {
    return headerOf(this.request.headers, name);
  }

  /** The request is written to its connection. */
  markSent(): this {
    this.#sink.onSent?.();
    return this;
  }

  /** Sends the head of an answer, signed unless told otherwise. */
  head(status: number, headers: readonly string[] = SIGNED_HEADERS): this {
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

  /** Sends a whole answer. */
  respond(status: number, text: string, headers?: readonly string[]): void {
    this.head(status, headers).data(text).finish();
  }

  breakConnection(message = "reset"): void {
    if (!this.isAborted) this.#sink.onFailure({ kind: "broken", message });
  }

  refuseConnection(): void {
    this.#sink.onFailure({ kind: "not-sent", message: "refused" });
  }

  abort(): void {
    this.isAborted = true;
  }

  resume(): void {
    // Data is never held back here.
  }
}

/** Signature that endpoints put on their answers. */
export const SIGNED_HEADERS = ["X-Response-Stamp", "stamp"];
/** Proof that a request was not run. */
export const NOT_RUN_HEADERS = ["X-Not-Executed", "1"];

/** Collects requests in order. */
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
        if (isStreamed(body)) void body.chunks()[Symbol.asyncIterator]().next();
      }
    });
    return transfer;
  }

  /** Addresses whose idle connections were closed. */
  readonly forgotten: Address[] = [];
  /** Addresses that take no connection and refuse none. */
  readonly unresponsive = new Set<Address>();

  closeIdleConnections(address: Address): void {
    this.forgotten.push(address);
  }

  /** The newest request. */
  get last(): FakeTransfer {
    return this.transfers[this.transfers.length - 1]!;
  }
}
