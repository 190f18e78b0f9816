/**
 * One attempt to run a generation on one endpoint: sends the request, checks
 * the response head and reports the result to a listener.
 */

import {
  type HeaderList,
  isCloseDelimited,
} from "../../../../services/http/common/header_list.ts";
import type { PassThroughExchange } from "../../../../services/http/common/pass_through_client.ts";
import type { Address } from "../../../../base/common/ids.ts";
import type { EndpointOutcome } from "../endpoints/endpoint_health.ts";
import type { AnswerVerdict } from "../protocol/answer_verdict.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import { StreamPaceSampler } from "./stream_pace_sampler.ts";
import { EventFrameSplitter } from "./event_frame_splitter.ts";
import type { Continuation } from "../protocol/gateway_codec.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { UsageClaim } from "../load/load_table.ts";

/** Maximum size of the body of an error response in bytes. */
const MAX_ERROR_BODY_BYTES = 65_536;
/** Maximum size of one event in bytes. */
const MAX_EVENT_BYTES = 262_144;
/**
 * Time without data after which a connection may be one that does not carry its
 * close to the endpoint either. Events are tens of milliseconds apart.
 */
const QUIET_CONNECTION_MS = 250;

/** Receives the progress and the result of an attempt. */
export interface UpstreamAttemptListener {
  onHead(headers: HeaderList): void;
  /** @returns Whether more data can be accepted now. */
  onData(chunk: Uint8Array): boolean;
  onEnd(): void;
  /** The endpoint proved that it has not run the request. */
  onRefused(reason: string): void;
  onErrorResponse(status: number, headers: HeaderList, body: Uint8Array): void;
  onLost(wasSent: boolean, reason: string): void;
}

/** Parameters of an attempt. */
export interface UpstreamAttemptOptions {
  readonly context: RequestContext;
  readonly endpoint: RegisteredEndpoint;
  readonly backupAddress: Address | undefined;
  readonly continuation: Continuation | undefined;
  readonly claim: UsageClaim;
  readonly listener: UpstreamAttemptListener;
}

/** Sends the request and classifies the response. */
export class UpstreamAttempt {
  readonly #options: UpstreamAttemptOptions;
  /** Splits the response into events. */
  readonly eventSplitter = new EventFrameSplitter();
  /** Whether its latest event precedes the last one that the caller has. */
  isBehind = false;
  readonly #paceSampler: StreamPaceSampler;
  #transfer: PassThroughExchange | undefined;
  #status = 0;
  #headers: HeaderList = [];
  #verdict: AnswerVerdict | undefined;
  #errorBody: Uint8Array[] = [];
  #errorBodyBytes = 0;
  #firstEventMs: number | undefined;
  #hasNumberedEvents = false;
  #hasOneEvent = false;
  #wasSent = false;
  #isRelayed = false;
  #isEnded = false;
  /** Whether data is not read until the caller has accepted more. */
  #isPaused = false;
  /** Monotonic time at which the connection was last known to carry data. */
  #heardMs = 0;
  /** Whether the endpoint cannot be asked to stop the run, or has stopped it. */
  #isOutOfReach = false;

  /** @param options - Parameters of the attempt. */
  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
    const { context, endpoint } = options;
    this.#paceSampler = new StreamPaceSampler(context.services, endpoint);
  }

  /** Endpoint of the attempt. */
  get endpoint(): RegisteredEndpoint {
    return this.#options.endpoint;
  }

  /**
   * Whether the request was written to the endpoint, which may have run it
   * since.
   */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Whether a peer passes the request on. */
  get isRelayed(): boolean {
    return this.#isRelayed;
  }

  /** Whether the attempt has ended. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether an event of this attempt was delivered. */
  get hasEvents(): boolean {
    return this.#firstEventMs !== undefined;
  }

  /** Whether exactly one event of this attempt was delivered. */
  get hasOneEvent(): boolean {
    return this.#hasOneEvent;
  }

  /** Whether an event with an id was delivered. */
  get hasNumberedEvents(): boolean {
    return this.#hasNumberedEvents;
  }

  /** @returns Time since the first event in milliseconds, or 0 before it. */
  streamingMs(nowMs: number): number {
    return this.#firstEventMs === undefined ? 0 : nowMs - this.#firstEventMs;
  }

  /** Whether the stream has no framing other than the end of the connection. */
  get isEndedByClose(): boolean {
    const { exchange } = this.#options.context.request;
    return isCloseDelimited(exchange.method, this.#status, this.#headers);
  }

  /** Whether the attempt continues an earlier run. */
  get isContinuation(): boolean {
    return this.#options.continuation !== undefined;
  }

  /** Whether the attempt continues from a copy of the KV state. */
  get isFromCopy(): boolean {
    return this.#options.continuation?.copyRef !== undefined;
  }

  /** Sends the request to the endpoint. */
  send(): void {
    const { context, endpoint, continuation, backupAddress } = this.#options;
    const { priority } = context;
    this.#transfer = context.send(endpoint, {
      priority,
      backupAddress,
      continuation,
    }, {
      onRelayed: () => {
        this.#isRelayed = true;
      },
      onSent: () => {
        this.#wasSent = true;
        this.#heardMs = this.#nowMs();
        this.#recordPromptSent();
      },
      onUnsent: () => {
        this.#wasSent = false;
      },
      onHead: (status, received, verdict) =>
        this.#onHead(status, received, verdict),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: ({ isTimedOut, message }) => {
        // A head that proves a refusal needs no body.
        if (this.#verdict === "refused") {
          this.#onEnd();
          return;
        }
        if (isTimedOut && this.#wasSent && !this.#isEnded) this.#stopRun();
        this.#fail(this.#wasSent, message);
      },
    });
  }

  /**
   * Records that an event of this attempt was delivered.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param isNumbered - Whether it has an id.
   */
  recordEvent(nowMs: number, isNumbered: boolean): void {
    this.#hasOneEvent = this.#firstEventMs === undefined;
    this.#firstEventMs ??= nowMs;
    this.#hasNumberedEvents ||= isNumbered;
    this.#options.claim.markPrefilled();
    this.#paceSampler.recordEvent(nowMs);
  }

  /** Updates the memory that the run requires, in tokens. */
  resize(memoryTokens: number): void {
    this.#options.claim.resize(memoryTokens);
  }

  /** Resumes reading after the caller has accepted the data written so far. */
  resume(): void {
    this.#isPaused = false;
    this.#transfer?.resume();
  }

  /**
   * Records that the endpoint cannot be asked to stop the run, or has stopped
   * it. Data that arrives afterwards refutes that.
   */
  markOutOfReach(): void {
    this.#isOutOfReach = true;
  }

  /** Records an outcome in the endpoint's health. */
  recordOutcome(outcome: EndpointOutcome): void {
    this.#options.context.recordOutcome(this.endpoint, outcome);
  }

  /** Records that the endpoint proved that it has not run the request. */
  recordRefusal(reason: string): void {
    this.recordOutcome("refused");
    this.#options.context.log("info", "stream-refused", {
      endpoint: this.endpoint.id,
      reason,
      isContinuation: this.isContinuation,
    });
  }

  /** Closes the connection; the listener receives no further calls. */
  abort(): void {
    const isRunning = this.#wasSent && !this.#isEnded;
    this.#isEnded = true;
    this.#transfer?.abort();
    this.#options.claim.dispose();
    if (isRunning && this.#isQuiet()) this.#stopRun();
  }

  #nowMs(): number {
    return this.#options.context.services.clock.monotonicMs();
  }

  /** @returns Whether the connection may not carry its close. */
  #isQuiet(): boolean {
    return this.hasEvents && !this.#isPaused &&
      this.#nowMs() - this.#heardMs >= QUIET_CONNECTION_MS;
  }

  /** Stops the run at the endpoint, which may not learn of the close. */
  #stopRun(): void {
    const { context, endpoint } = this.#options;
    const { guard, request, services } = context;
    if (this.#isOutOfReach || !request.service.engine?.canMigrate) return;
    // A later run of the request there would be the one that is stopped.
    context.excludedEndpoints.add(endpoint.id);
    guard.follow(services.runStopper.stop({
      requestId: request.id,
      source: endpoint,
      quietMs: this.#nowMs() - this.#heardMs,
      findTarget: () =>
        services.registry.reachable(request.service.id)
          .find((other) => other !== endpoint),
    }));
  }

  #recordPromptSent(): void {
    const { request } = this.#options.context;
    const { promptParts } = request.fields;
    // Shared parts may be cached there, a copy is not prefilled, and a peer
    // adds time of its own.
    if (promptParts.length > 0 || this.isFromCopy || this.#isRelayed) return;
    this.#paceSampler.recordPromptSent(this.#nowMs());
  }

  #onHead(status: number, headers: HeaderList, verdict: AnswerVerdict): void {
    if (this.#isEnded) return;
    this.#status = status;
    this.#headers = headers;
    this.#verdict = verdict;
    if (verdict === "foreign") {
      this.#transfer?.abort();
      this.#fail(true, "the response belongs to another request");
      return;
    }
    if (status !== 200) return;
    if (verdict === "unproven") {
      this.#transfer?.abort();
      this.#fail(true, "status 200 without the endpoint's signature");
      return;
    }
    this.#options.listener.onHead(headers);
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#isEnded) return true;
    this.#heardMs = this.#nowMs();
    this.#isOutOfReach = false;
    if (this.#status === 200) {
      const canContinue = this.#options.listener.onData(chunk);
      if (!canContinue) {
        this.#isPaused = true;
        this.#paceSampler.interrupt();
      }
      if (this.eventSplitter.pendingBytes > MAX_EVENT_BYTES) {
        this.#transfer?.abort();
        this.#fail(true, `an event is larger than ${MAX_EVENT_BYTES} bytes`);
      }
      return canContinue;
    }
    this.#errorBody.push(chunk);
    this.#errorBodyBytes += chunk.byteLength;
    if (this.#errorBodyBytes > MAX_ERROR_BODY_BYTES) this.#abandonErrorBody();
    return true;
  }

  /** Gives up the body of an error response that may never end. */
  #abandonErrorBody(): void {
    this.#transfer?.abort();
    this.#errorBody = [];
    const reason = `status ${this.#status} with a body that does not end`;
    if (this.#verdict !== "refused") {
      this.#fail(true, reason);
      return;
    }
    this.#isEnded = true;
    this.#options.claim.dispose();
    this.#options.listener.onRefused(reason);
  }

  #onEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { listener, claim } = this.#options;
    claim.dispose();
    switch (this.#verdict) {
      case "refused":
        listener.onRefused(`status ${this.#status}`);
        return;
      case "invalid":
      case "answered":
        if (this.#status === 200) listener.onEnd();
        else {
          const body = Buffer.concat(this.#errorBody);
          listener.onErrorResponse(this.#status, this.#headers, body);
        }
        return;
      case "foreign":
      case "unproven":
      case undefined:
        listener.onLost(true, `status ${this.#status} without proof`);
    }
  }

  #fail(wasSent: boolean, reason: string): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.claim.dispose();
    this.#options.listener.onLost(wasSent, reason);
  }
}
