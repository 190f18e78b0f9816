/** One run of a generation at one endpoint. */

import {
  type HeaderList,
  isCloseDelimited,
} from "../../../services/http/common/header_list.ts";
import type { PassThroughExchange } from "../../../services/http/common/pass_through_client.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { EndpointOutcome } from "./endpoint_health.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import { EventFrameSplitter } from "./event_frame_splitter.ts";
import type { Continuation } from "./gateway_codec.ts";
import type { RequestContext } from "./request_context.ts";
import type { UsageClaim } from "./load_table.ts";

/** Failed answers are short; more than this is cut off. */
const MAX_ERROR_BODY_BYTES = 65_536;

/** Hears what becomes of a leg. */
export interface UpstreamAttemptListener {
  onHead(headers: HeaderList): void;
  /** @returns Whether more data is wanted now. */
  onData(chunk: Uint8Array): boolean;
  /** @param pendingBytes - Bytes of an event that never became whole. */
  onEnd(pendingBytes: number): void;
  /** The endpoint proved that it has not run the request. */
  onRefused(reason: string): void;
  onErrorResponse(status: number, headers: HeaderList, body: Uint8Array): void;
  onLost(wasSent: boolean, reason: string): void;
}

/** What a leg is made from. */
export interface UpstreamAttemptOptions {
  readonly context: RequestContext;
  readonly endpoint: RegisteredEndpoint;
  readonly backupAddress: Address | undefined;
  readonly continuation: Continuation | undefined;
  readonly claim: UsageClaim;
  readonly listener: UpstreamAttemptListener;
}

/** Sends the request and sorts the answer. */
export class UpstreamAttempt {
  readonly #options: UpstreamAttemptOptions;
  /** Events of this run. */
  readonly eventSplitter = new EventFrameSplitter();
  #transfer: PassThroughExchange | undefined;
  #status = 0;
  #headers: HeaderList = [];
  #isRefusal = false;
  #errorBody: Uint8Array[] = [];
  #errorBodyBytes = 0;
  #firstEventMs: number | undefined;
  #wasSent = false;
  #isEnded = false;

  /** @param options - What the leg is made from. */
  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
  }

  /** Where the run is. */
  get endpoint(): RegisteredEndpoint {
    return this.#options.endpoint;
  }

  /** Whether the request was written to the endpoint, which may run it since. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Whether nothing more comes from it. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether an event of this run has come. */
  get hasEvents(): boolean {
    return this.#firstEventMs !== undefined;
  }

  /** @returns Time since the first event, 0 before it, in milliseconds. */
  streamingMs(nowMs: number): number {
    return this.#firstEventMs === undefined ? 0 : nowMs - this.#firstEventMs;
  }

  /** Whether only the end of the connection ends the stream. */
  get isEndedByClose(): boolean {
    const { exchange } = this.#options.context.request;
    return isCloseDelimited(exchange.method, this.#status, this.#headers);
  }

  /** Whether another run came before. */
  get isContinuation(): boolean {
    return this.#options.continuation !== undefined;
  }

  /** Whether it goes on from a copy of the memory. */
  get isFromCopy(): boolean {
    return this.#options.continuation?.copyRef !== undefined;
  }

  /** Sends the request. */
  send(): void {
    const { context, endpoint, continuation, backupAddress } = this.#options;
    const { priority } = context;
    this.#transfer = context.send(endpoint, {
      priority,
      backupAddress,
      continuation,
    }, {
      onSent: () => {
        this.#wasSent = true;
      },
      onHead: (status, received) => this.#onHead(status, received),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: ({ message }) => {
        this.#fail(this.#wasSent, message);
      },
    });
  }

  /** An event of this run has been delivered. */
  recordEvent(nowMs: number): void {
    this.#firstEventMs ??= nowMs;
    this.#options.claim.markPrefilled();
  }

  /** Takes note of the memory that the run needs by now. */
  resize(memoryTokens: number): void {
    this.#options.claim.resize(memoryTokens);
  }

  /** Reads on after the caller has taken what was written. */
  resume(): void {
    this.#transfer?.resume();
  }

  /** Takes note of how the endpoint did. */
  recordOutcome(outcome: EndpointOutcome): void {
    this.#options.context.recordOutcome(this.endpoint, outcome);
  }

  /** Closes the connection; the listener hears no more. */
  abort(): void {
    this.#isEnded = true;
    this.#transfer?.abort();
    this.#options.claim.dispose();
  }

  #onHead(status: number, headers: HeaderList): void {
    if (this.#isEnded) return;
    const { context, listener } = this.#options;
    const fields = context.services.codec.readResponseHeaders(status, headers);
    this.#status = status;
    this.#headers = headers;
    const { requestId } = fields;
    if (requestId !== undefined && requestId !== context.request.id) {
      this.#transfer?.abort();
      this.#fail(true, "an answer to another request");
      return;
    }
    this.#isRefusal = fields.isNotRun;
    if (status !== 200) return;
    if (!fields.isSigned) {
      this.#transfer?.abort();
      this.#fail(true, "a success without the endpoint's signature");
      return;
    }
    listener.onHead(headers);
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#isEnded) return true;
    if (this.#status === 200) return this.#options.listener.onData(chunk);
    if (this.#errorBodyBytes < MAX_ERROR_BODY_BYTES) {
      this.#errorBody.push(chunk);
      this.#errorBodyBytes += chunk.byteLength;
    }
    return true;
  }

  #onEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { listener, claim } = this.#options;
    claim.dispose();
    if (this.#status === 200) listener.onEnd(this.eventSplitter.pendingBytes);
    else if (this.#isRefusal) listener.onRefused(`status ${this.#status}`);
    else if (this.#status === 503 || this.#status === 429) {
      // Passing it on would promise that the request has not run.
      listener.onLost(true, `status ${this.#status} without proof`);
    } else {
      const body = Buffer.concat(this.#errorBody);
      listener.onErrorResponse(this.#status, this.#headers, body);
    }
  }

  #fail(wasSent: boolean, reason: string): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.claim.dispose();
    this.#options.listener.onLost(wasSent, reason);
  }
}
