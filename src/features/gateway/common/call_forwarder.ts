/**
 * Forwards a call that is not a generation. The response is buffered and sent
 * on as a whole, so that a truncated response can be replaced by that of
 * another attempt and is never taken for a complete one.
 */

import { sleep } from "../../../base/common/clock.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import {
  hasNoBody,
  type HeaderList,
  withoutHeader,
} from "../../../services/http/common/header_list.ts";
import { isStreamed } from "../../../services/http/common/request_body.ts";
import type {
  PassThroughExchange,
  PassThroughFailure,
} from "../../../services/http/common/pass_through_client.ts";
import type { EndpointChoice } from "./endpoint_chooser.ts";
import type { EndpointOutcome } from "./endpoint_health.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { AnswerVerdict } from "./answer_verdict.ts";
import {
  CUT_OFF_REASON,
  CUT_OFF_RETRY_AFTER_MS,
  type RequestContext,
} from "./request_context.ts";

/**
 * Responses up to this size, in bytes, are buffered; larger ones are streamed.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
/**
 * Maximum number of attempts that endpoints refuse with proof that they have
 * not run the call.
 */
const MAX_REFUSED_ATTEMPTS = 3;
/**
 * Multiple of the route's objective after which an idempotent call without a
 * response is retried on another endpoint.
 */
const RESPONSE_TIMEOUT_OBJECTIVES = 3;
const MIN_RESPONSE_TIMEOUT_MS = 250;
/**
 * Failure rate from which an error response is attributed to the endpoint
 * instead of the request.
 */
const ENDPOINT_FAULT_RATE = 0.3;
/** Period at which a call waits for an endpoint that is silent for a moment. */
const REACH_CHECK_PERIOD_MS = 50;
/** Retry delay; a full or absent service may have recovered by then. */
const REFUSED_RETRY_AFTER_MS = 200;

/** Result of one attempt. */
type AttemptResult =
  | { readonly kind: "answered"; readonly response: BufferedResponse }
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

interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly chunks: readonly Uint8Array[];
}

/** Forwards one call, with retries where the route allows them. */
export class CallForwarder {
  readonly #context: RequestContext;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /** Runs attempts until the caller has a response or has disconnected. */
  async run(): Promise<void> {
    const context = this.#context;
    const { exchange } = context.request;
    let refusedAttempts = 0;
    let lastReason = "no endpoint is available";
    while (!context.hasEnded) {
      // The caller may have left during a wait, when no attempt was in progress.
      if (exchange.hasEnded) {
        context.finish("caller-left", 0, "caller went away");
        return;
      }
      if (context.refuseBeforeSend()) return;
      const choice = this.#choose();
      const endpoint = choice?.endpoint ?? context.rights.nextLimitedEndpoint();
      if (!endpoint) {
        if (await this.#awaitEndpoint()) continue;
        if (context.isCutOff) {
          this.#refuse(CUT_OFF_REASON, CUT_OFF_RETRY_AFTER_MS);
        } else this.#refuse(lastReason, context.rights.withheldForMs);
        return;
      }
      if (context.rights.isNeeded(endpoint)) {
        const maxWaitMs = this.#hasAlternative(endpoint)
          ? 0
          : context.rights.patienceMs(context.objectiveRemainingMs);
        const isGranted = await context.rights.take(endpoint, maxWaitMs);
        if (!isGranted && !choice) {
          const reason = "the limits of all endpoints are used up";
          this.#refuse(reason, context.rights.retryAfterMs);
          return;
        }
        if (!isGranted || !endpoint.isUsable) continue;
        if (exchange.hasEnded) continue;
        if (context.refuseBeforeSend()) return;
      }
      const previousSentCount = context.sentCount;
      const result = await this.#attempt(endpoint);
      context.excludedEndpoints.add(endpoint.id);
      switch (result.kind) {
        case "answered":
          if (this.#shouldRetryElsewhere(endpoint, result.response)) {
            lastReason = `status ${result.response.status}`;
            continue;
          }
          this.#sendResponse(result.response);
          return;
        case "streamed":
          context.finish(result.isComplete ? "served" : "interrupted", 200, "");
          return;
        case "caller-left":
          context.finish("caller-left", 0, "caller went away");
          return;
        case "not-run":
          lastReason = result.reason;
          // A failed connection says nothing about the other endpoints and does
          // not count.
          if (context.sentCount > previousSentCount) refusedAttempts++;
          if (
            refusedAttempts >= MAX_REFUSED_ATTEMPTS || !context.mayRetry(false)
          ) {
            this.#refuse(result.reason, context.rights.withheldForMs);
            return;
          }
          break;
        case "timed-out":
          if (context.evidence.mayHaveRun) {
            context.fail(504, "unknown", "no response before the deadline");
          } else this.#refuse("no connection before the deadline");
          return;
        case "unknown":
          lastReason = result.reason;
          if (this.#isBodyTooLarge()) {
            context.fail(413, "unknown", result.reason);
            return;
          }
          // A request that crashed the endpoint must not crash another one.
          await context.awaitCrashCheck();
          if (!this.#isIdempotent() || !context.mayRetry(true)) {
            this.#refuse(result.reason);
            return;
          }
          break;
      }
    }
  }

  /**
   * Waits for an endpoint, if one takes the call within the objective: all want
   * no calls for a time, or are silent for a moment.
   *
   * @returns Whether to choose again.
   */
  async #awaitEndpoint(): Promise<boolean> {
    const { excludedEndpoints, objectiveRemainingMs, rights, serviceReach } =
      this.#context;
    const { clock } = this.#context.services;
    if (serviceReach === "silent" && objectiveRemainingMs > 0) {
      await sleep(clock, REACH_CHECK_PERIOD_MS);
      return true;
    }
    const { withheldForMs } = rights;
    if (withheldForMs === undefined || withheldForMs >= objectiveRemainingMs) {
      return false;
    }
    await sleep(clock, withheldForMs);
    // The endpoints that turned the call away take it now.
    excludedEndpoints.clear();
    return true;
  }

  #choose(): EndpointChoice | undefined {
    const { services, request, excludedEndpoints } = this.#context;
    const { service } = request;
    const criteria = {
      service: service.id,
      memoryTokens: 0,
      excluded: excludedEndpoints,
    };
    return services.chooser.choose(criteria, service);
  }

  /** Returns whether the call can be sent to another endpoint now. */
  #hasAlternative(endpoint: RegisteredEndpoint): boolean {
    const { services, request, excludedEndpoints } = this.#context;
    const nowMs = services.clock.monotonicMs();
    return services.registry.reachable(request.service.id).some((other) =>
      other !== endpoint && !excludedEndpoints.has(other.id) &&
      !other.isWithheld(nowMs)
    );
  }

  #isBodyTooLarge(): boolean {
    const { body } = this.#context.request;
    return isStreamed(body) && body.isTooLarge;
  }

  #isIdempotent(): boolean {
    return this.#context.request.route.kind.kind === "idempotent";
  }

  /**
   * Returns whether an error response is worth a retry: only when the
   * endpoint's failure rate suggests that the endpoint, not the request, is at
   * fault.
   */
  #shouldRetryElsewhere(
    { health }: RegisteredEndpoint,
    { status }: BufferedResponse,
  ): boolean {
    if (status < 500 || !this.#isIdempotent()) return false;
    return health.failureRate >= ENDPOINT_FAULT_RATE &&
      this.#context.mayRetry(true);
  }

  #refuse(reason: string, retryAfterMs = REFUSED_RETRY_AFTER_MS): void {
    this.#context.refuse(reason, retryAfterMs);
  }

  #sendResponse({ status, headers, chunks }: BufferedResponse): void {
    const { services, request } = this.#context;
    const { exchange } = request;
    const responseHeaders = services.codec.callerResponseHeaders(headers);
    if (hasNoBody(exchange.method, status)) {
      exchange.sendHead(status, responseHeaders);
      exchange.end();
    } else {
      const responseHead = withoutHeader(responseHeaders, "content-length");
      exchange.reply(status, responseHead, Buffer.concat(chunks));
    }
    const outcome = status < 500 ? "served" : "failed-by-endpoint";
    this.#context.finish(outcome, status, "");
    if (status < 500) services.budget.recordSuccess(request.service.id);
  }

  #attempt(endpoint: RegisteredEndpoint): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const attempt = new CallAttempt(this.#context, endpoint, resolve);
      attempt.start(this.#isIdempotent() && this.#canRetryElsewhere(endpoint));
    });
  }

  #canRetryElsewhere(endpoint: RegisteredEndpoint): boolean {
    const { services, request, sentCount, excludedEndpoints } = this.#context;
    const others = services.registry.reachable(request.service.id).filter((
      other,
    ) => other !== endpoint && !excludedEndpoints.has(other.id));
    return others.length > 0 && sentCount + 1 < request.route.maxAttempts;
  }
}

/** One attempt of a call on one endpoint. */
class CallAttempt {
  readonly #context: RequestContext;
  readonly #endpoint: RegisteredEndpoint;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #chunks: Uint8Array[] = [];
  #claim: Disposable = NOOP_DISPOSABLE;
  #transfer: PassThroughExchange | undefined;
  #head: ReceivedHead | undefined;
  #bufferedBytes = 0;
  #isStreaming = false;
  #isSettled = false;

  constructor(
    context: RequestContext,
    endpoint: RegisteredEndpoint,
    resolve: (result: AttemptResult) => void,
  ) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#resolve = resolve;
  }

  start(abortsWithoutResponse: boolean): void {
    const context = this.#context;
    const { services, request } = context;
    const { exchange, route } = request;
    const { announcement } = this.#endpoint;
    this.#claim = context.disposables.add(
      services.loadTable.claimCall(announcement.id),
    );
    exchange.onDidEnd(() => this.#stop({ kind: "caller-left" }));
    context.setTimer(
      context.remainingMs,
      () => this.#stop({ kind: "timed-out" }),
    );
    const timeoutMs = Math.max(
      MIN_RESPONSE_TIMEOUT_MS,
      RESPONSE_TIMEOUT_OBJECTIVES * route.objectiveMs,
    );
    // While the body is still arriving, the caller causes the delay.
    if (!context.isBodyStreamed) {
      context.setTimer(
        timeoutMs,
        () => this.#onResponseTimeout(abortsWithoutResponse),
      );
    }
    this.#transfer = context.send(this.#endpoint, {}, {
      onHead: (status, headers, verdict) =>
        this.#onHead({ status, headers, verdict }),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: (failure) => this.#onFailure(failure),
    });
  }

  #settle(result: AttemptResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#claim.dispose();
    this.#resolve(result);
  }

  #onResponseTimeout(shouldAbort: boolean): void {
    if (this.#isSettled || this.#head) return;
    this.#recordOutcome("silent");
    if (!shouldAbort) return;
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
    this.#isStreaming = true;
    const { codec } = this.#context.services;
    exchange.sendHead(
      head.status,
      codec.callerResponseHeaders(head.headers),
    );
    exchange.onDidDrain(() => this.#transfer?.resume());
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
        this.#settle({ kind: "answered", response });
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
      void this.#context.recordSilence(this.#endpoint);
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
