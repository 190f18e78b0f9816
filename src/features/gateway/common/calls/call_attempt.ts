/** One attempt of a call on one endpoint, with the response that it buffers. */

import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../../base/common/lifecycle.ts";
import type { HeaderList } from "../../../../services/http/common/header_list.ts";
import type {
  PassThroughExchange,
  PassThroughFailure,
} from "../../../../services/http/common/pass_through_client.ts";
import type { GatewayRoute } from "../configuration/gateway_configuration.ts";
import type { EndpointOutcome } from "../endpoints/endpoint_health.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { AnswerVerdict } from "../protocol/answer_verdict.ts";
import type { RequestContext } from "../requests/request_context.ts";

/**
 * Responses up to this size, in bytes, are buffered; larger ones are streamed.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
/**
 * Multiple of the route's objective after which an idempotent call without a
 * response is retried on another endpoint.
 */
const RESPONSE_TIMEOUT_OBJECTIVES = 3;
const MIN_RESPONSE_TIMEOUT_MS = 250;

/**
 * @param route - Route of the call.
 * @returns The time after which an endpoint without a response counts as
 * silent, in milliseconds.
 */
export function responseTimeoutMs({ objectiveMs }: GatewayRoute): number {
  return Math.max(
    MIN_RESPONSE_TIMEOUT_MS,
    RESPONSE_TIMEOUT_OBJECTIVES * objectiveMs,
  );
}

/** Result of one attempt. */
export type AttemptResult =
  | {
    readonly kind: "answered";
    readonly response: BufferedResponse;
    /** Endpoint that answered. */
    readonly endpoint: RegisteredEndpoint;
    /** Whether the answer proves that the call was not run. */
    readonly isNotRun: boolean;
  }
  /** Part of the response was already sent to the caller. */
  | { readonly kind: "streamed"; readonly isComplete: boolean }
  | { readonly kind: "not-run"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string }
  | { readonly kind: "timed-out" }
  | { readonly kind: "caller-left" };

/** Head of a response, with what it proves about the call. */
interface ReceivedHead {
  readonly status: number;
  readonly headers: HeaderList;
  readonly verdict: AnswerVerdict;
}

export interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly chunks: readonly Uint8Array[];
}

/**
 * Decides whether an attempt may send its response to the caller before it is
 * complete. From then on, no other attempt may.
 */
export type StreamPermission = (status: number) => boolean;

/** One attempt of a call on one endpoint. */
export class CallAttempt {
  readonly #context: RequestContext;
  readonly #endpoint: RegisteredEndpoint;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #mayStream: StreamPermission;
  readonly #chunks: Uint8Array[] = [];
  #claim: Disposable = NOOP_DISPOSABLE;
  #transfer: PassThroughExchange | undefined;
  #head: ReceivedHead | undefined;
  /** Monotonic time at which the call was sent, in milliseconds. */
  #sentMs: number | undefined;
  #isRelayed = false;
  #bufferedBytes = 0;
  #isStreaming = false;
  #isSettled = false;
  #abortsWithoutResponse = false;
  #isResponseOverdue = false;

  /**
   * @param context - State of the request.
   * @param endpoint - Endpoint that is sent to.
   * @param resolve - Receives the result, unless the attempt is aborted.
   * @param mayStream - Asked before a part of the response is sent on.
   */
  constructor(
    context: RequestContext,
    endpoint: RegisteredEndpoint,
    resolve: (result: AttemptResult) => void,
    mayStream: StreamPermission = () => true,
  ) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#resolve = resolve;
    this.#mayStream = mayStream;
  }

  /**
   * Sends the request.
   *
   * @param abortsWithoutResponse - Whether the attempt ends when there is no
   * response for several objectives, so that the call is retried elsewhere.
   */
  start(abortsWithoutResponse: boolean): void {
    this.#abortsWithoutResponse = abortsWithoutResponse;
    const context = this.#context;
    const { services, request } = context;
    const { exchange, route } = request;
    const { announcement } = this.#endpoint;
    this.#claim = context.disposables.add(
      services.loadTable.claimCall(announcement.id),
    );
    exchange.onDidEnd(
      context.guard.listener(() => this.#stop({ kind: "caller-left" })),
    );
    context.setTimer(
      context.remainingMs,
      () => this.#stop({ kind: "timed-out" }),
    );
    const timeoutMs = responseTimeoutMs(route);
    // While the body is still arriving, the caller causes the delay.
    if (!context.isBodyStreamed) {
      context.setTimer(
        timeoutMs,
        () => this.#onResponseTimeout(),
      );
    }
    this.#transfer = context.send(this.#endpoint, {}, {
      onSent: () => {
        this.#sentMs = services.clock.monotonicMs();
      },
      onRelayed: () => {
        this.#isRelayed = true;
      },
      onHead: (status, headers, verdict) =>
        this.#onHead({ status, headers, verdict }),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: (failure) => this.#onFailure(failure),
    });
  }

  /** Waits for a response until the deadline, as a hedge was sent. */
  waitForResponse(): void {
    this.#abortsWithoutResponse = false;
  }

  /**
   * Ends the attempt if there is no response for several objectives, or at once
   * if there was none so far, as the other attempt has failed.
   */
  abortWithoutResponse(): void {
    this.#abortsWithoutResponse = true;
    if (this.#isResponseOverdue) this.#abortIfSilent();
  }

  /** Ends the attempt without a result, as another one has won. */
  abort(): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#chunks.length = 0;
    this.#claim.dispose();
    this.#transfer?.abort();
  }

  #settle(result: AttemptResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#claim.dispose();
    this.#resolve(result);
  }

  #onResponseTimeout(): void {
    if (this.#isSettled || this.#head) return;
    this.#isResponseOverdue = true;
    this.#recordOutcome("silent");
    if (this.#abortsWithoutResponse) this.#abortIfSilent();
  }

  #abortIfSilent(): void {
    if (this.#head) return;
    this.#stop({
      kind: "unknown",
      reason: "no response from the endpoint in time",
    });
  }

  #stop(result: AttemptResult): void {
    if (this.#isSettled) return;
    this.#transfer?.abort();
    if (this.#isStreaming && result.kind !== "caller-left") {
      this.#context.request.exchange.abort();
      this.#settle({ kind: "streamed", isComplete: false });
    } else this.#settle(result);
  }

  #onHead(head: ReceivedHead): void {
    if (this.#isSettled) return;
    this.#head = head;
    if (head.verdict === "foreign") {
      this.#recordOutcome("broken");
      this.#stop({
        kind: "unknown",
        reason: "the response belongs to another request",
      });
      return;
    }
    this.#context.recordFirstByte();
    this.#recordResponseTime(head);
  }

  #recordResponseTime({ status, verdict }: ReceivedHead): void {
    const { isBodyStreamed, request, services } = this.#context;
    // The speed of engines is learned from generations. A caller causes the
    // delays of a streamed body, and a peer adds time of its own.
    if (this.#sentMs === undefined || isBodyStreamed || this.#isRelayed) return;
    if (request.service.engine || verdict !== "answered" || status >= 500) {
      return;
    }
    const elapsedMs = services.clock.monotonicMs() - this.#sentMs;
    services.paces.recordResponseTime(this.#endpoint, elapsedMs);
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#isSettled) return true;
    const { exchange } = this.#context.request;
    if (this.#isStreaming) return this.#write(chunk);
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.byteLength;
    if (this.#bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) return true;
    const head = this.#head!;
    if (head.verdict === "refused" || head.verdict === "unproven") {
      this.#abandonEndlessBody(head);
      return true;
    }
    if (!this.#mayStream(head.status)) {
      this.#chunks.length = 0;
      this.#recordOutcome("failed");
      const reason = `status ${head.status} with a body too large to buffer`;
      this.#stop({ kind: "unknown", reason });
      return true;
    }
    this.#isStreaming = true;
    const { codec } = this.#context.services;
    exchange.sendHead(
      head.status,
      codec.callerResponseHeaders(head.headers),
    );
    exchange.onDidDrain(
      this.#context.guard.listener(() => this.#transfer?.resume()),
    );
    const chunks = this.#chunks.splice(0);
    return chunks.map((buffered) => this.#write(buffered)).every(Boolean);
  }

  /** Gives up an answer that is not passed on and may never end. */
  #abandonEndlessBody({ status, verdict }: ReceivedHead): void {
    this.#chunks.length = 0;
    const isRefused = verdict === "refused";
    this.#recordOutcome(isRefused ? "refused" : "broken");
    const reason = `status ${status} with a body that does not end`;
    this.#stop({ kind: isRefused ? "not-run" : "unknown", reason });
  }

  #write(chunk: Uint8Array): boolean {
    return this.#context.request.exchange.write(chunk);
  }

  #onEnd(): void {
    if (this.#isSettled) return;
    const { status, headers, verdict } = this.#head!;
    if (this.#isStreaming) {
      this.#recordOutcome("served");
      this.#context.request.exchange.end();
      this.#settle({ kind: "streamed", isComplete: true });
      return;
    }
    switch (verdict) {
      case "refused":
        this.#onRefused(status);
        return;
      case "foreign":
      case "unproven":
        this.#recordOutcome("broken");
        this.#settle({
          kind: "unknown",
          reason: `status ${status} without proof`,
        });
        return;
      case "invalid":
      case "answered": {
        this.#recordOutcome(status < 500 ? "served" : "failed");
        const response = { status, headers, chunks: this.#chunks };
        this.#settle({
          kind: "answered",
          response,
          endpoint: this.#endpoint,
          isNotRun: verdict === "invalid",
        });
      }
    }
  }

  #onRefused(status: number): void {
    this.#recordOutcome("refused");
    const reason = `refused by ${this.#endpoint.id}, status ${status}`;
    this.#settle({ kind: "not-run", reason });
  }

  #onFailure({ kind, message }: PassThroughFailure): void {
    if (this.#isSettled) return;
    if (this.#head?.verdict === "refused") {
      this.#onRefused(this.#head.status);
      return;
    }
    this.#recordOutcome(kind === "not-sent" ? "unreachable" : "broken");
    if (kind === "not-sent") {
      this.#settle({ kind: "not-run", reason: message });
    } else this.#stop({ kind: "unknown", reason: message });
  }

  #recordOutcome(outcome: EndpointOutcome): void {
    const { health, id } = this.#endpoint;
    if (outcome === "silent") {
      this.#context.guard.follow(this.#context.recordSilence(this.#endpoint));
    } else this.#context.recordOutcome(this.#endpoint, outcome);
    if (outcome !== "served") {
      this.#context.log("info", "call-try-failed", {
        endpoint: id,
        sign: outcome,
        status: this.#head?.status,
        failureRate: Number(health.failureRate.toFixed(2)),
      });
    }
  }
}
