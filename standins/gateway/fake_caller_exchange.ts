/** Fake exchange with a caller, without a socket, that records the response. */

import { Emitter } from "../../src/base/common/event.ts";
import type {
  BodyLimits,
  BodyResult,
  CallerExchange,
  ExchangeEnd,
} from "../../src/services/http/common/caller_exchange.ts";
import {
  type HeaderList,
  headerOf,
} from "../../src/services/http/common/header_list.ts";
import type { StreamedBody } from "../../src/services/http/common/request_body.ts";

/** A body that is streamed while it arrives, in two parts. */
export class FakeStreamedBody implements StreamedBody {
  readonly sizeBytes: number;
  readonly head: Uint8Array;
  readonly #remainder: Uint8Array;
  isConsumed = false;
  isTooLarge = false;

  /** @param bytes - The complete body, the first half of which is the head. */
  constructor(bytes: Uint8Array) {
    const middle = Math.ceil(bytes.byteLength / 2);
    this.head = bytes.subarray(0, middle);
    this.#remainder = bytes.subarray(middle);
    this.sizeBytes = bytes.byteLength;
  }

  async *chunks(): AsyncGenerator<Uint8Array> {
    await Promise.resolve();
    yield this.head;
    if (this.isConsumed) throw new Error("the body is read twice");
    this.isConsumed = true;
    yield this.#remainder;
  }
}

/** Contents of a fake request. */
export interface FakeRequest {
  readonly method?: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body?: Uint8Array;
  readonly receivedMs?: number;
}

/** Records the response to a request. */
export class FakeCallerExchange implements CallerExchange {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly receivedMs: number;
  readonly #ended = new Emitter<ExchangeEnd>();
  readonly #drained = new Emitter<void>();
  readonly #body: Uint8Array | undefined;
  #status = 0;
  #responseHeaders: HeaderList = [];
  #responseText = "";
  #end: ExchangeEnd | "broken-off" | undefined;
  readonly onDidEnd = this.#ended.event;
  readonly onDidDrain = this.#drained.event;

  /** @param request - The caller's request. */
  constructor(request: FakeRequest) {
    this.method = request.method ?? "POST";
    this.target = request.target;
    this.headers = request.headers;
    this.receivedMs = request.receivedMs ?? 0;
    this.#body = request.body;
  }

  /** Whether the caller was told that its request is being processed. */
  isAcknowledged = false;

  acknowledge(): void {
    this.isAcknowledged = true;
  }

  /** Status of the response, or 0 before it. */
  get status(): number {
    return this.#status;
  }

  /** Headers of the response. */
  get responseHeaders(): HeaderList {
    return this.#responseHeaders;
  }

  /** Body of the response so far. */
  get responseText(): string {
    return this.#responseText;
  }

  /** How the exchange ended, or `undefined` before its end. */
  get outcome(): ExchangeEnd | "broken-off" | undefined {
    return this.#end;
  }

  get hasEnded(): boolean {
    return this.#end !== undefined;
  }

  get hasSentHead(): boolean {
    return this.#status !== 0;
  }

  /** @returns The value of a response header. */
  responseHeader(name: string): string | undefined {
    return headerOf(this.#responseHeaders, name);
  }

  readBody(
    { maxBufferedBytes: bufferedBytes, budget }: BodyLimits,
  ): Promise<BodyResult> {
    const body = this.#body;
    const sizeBytes = body?.byteLength ?? 0;
    if (budget) {
      const reservation = budget.reserve();
      this.onDidEnd(() => reservation.dispose());
      if (!reservation.tryGrowTo(Math.min(sizeBytes, bufferedBytes))) {
        return Promise.resolve({ kind: "no-room" });
      }
    }
    return Promise.resolve(
      body && sizeBytes > bufferedBytes
        ? {
          kind: "streamed",
          body: new FakeStreamedBody(body),
        }
        : { kind: "whole", body },
    );
  }

  reply(status: number, headers: HeaderList, body: Uint8Array | string): void {
    this.sendHead(status, headers);
    this.#responseText += typeof body === "string"
      ? body
      : Buffer.from(body).toString();
    this.end();
  }

  sendHead(status: number, headers: HeaderList): void {
    if (this.hasSentHead) throw new Error("a response was already started");
    this.#status = status;
    this.#responseHeaders = headers;
  }

  write(chunk: Uint8Array): boolean {
    this.#responseText += Buffer.from(chunk).toString();
    return true;
  }

  end(): void {
    this.#settle("answered");
  }

  abort(): void {
    this.#settle("broken-off");
  }

  /** Simulates that the caller closes its connection. */
  disconnect(): void {
    this.#settle("left");
  }

  #settle(end: ExchangeEnd | "broken-off"): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#ended.fire(end === "broken-off" ? "left" : end);
  }
}
