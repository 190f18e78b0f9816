/**
 * Forwards a call that is not a generation. The response is buffered and sent
 * on as a whole, so that a truncated response can be replaced by that of
 * another attempt and is never taken for a complete one.
 */

import { sleep } from "../../../../base/common/clock.ts";
import {
  hasNoBody,
  withoutHeader,
} from "../../../../services/http/common/header_list.ts";
import { isStreamed } from "../../../../services/http/common/request_body.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointChoice } from "../placement/endpoint_chooser.ts";
import {
  CUT_OFF_REASON,
  CUT_OFF_RETRY_AFTER_MS,
  type RequestContext,
} from "../requests/request_context.ts";
import { NO_ALLOWED_RETRY_AFTER_MS } from "../requests/request_eligibility.ts";
import {
  type AttemptResult,
  type BufferedResponse,
  CallAttempt,
} from "./call_attempt.ts";
import { HedgedCall } from "./hedged_call.ts";
import type { ResponseTimes } from "./response_times.ts";

/**
 * Maximum number of attempts that endpoints refuse with proof that they have
 * not run the call.
 */
const MAX_REFUSED_ATTEMPTS = 3;
/**
 * Failure rate from which an error response is attributed to the endpoint
 * instead of the request.
 */
const ENDPOINT_FAULT_RATE = 0.3;
/** Period at which a call waits for an endpoint that is silent for a moment. */
const REACH_CHECK_PERIOD_MS = 50;
/** Retry delay; a full or absent service may have recovered by then. */
const REFUSED_RETRY_AFTER_MS = 200;

/** Forwards one call, with retries where the route allows them. */
export class CallForwarder {
  readonly #context: RequestContext;
  readonly #responseTimes: ResponseTimes;

  /**
   * @param context - State of the request.
   * @param responseTimes - Recent response times of calls that are hedged.
   */
  constructor(context: RequestContext, responseTimes: ResponseTimes) {
    this.#context = context;
    this.#responseTimes = responseTimes;
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
        if (this.#refuseIfBlocked()) return;
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
        if (!isGranted || !context.eligibility.mayStillUse(endpoint)) continue;
        if (exchange.hasEnded) continue;
        if (context.refuseBeforeSend()) return;
      }
      const previousSentCount = context.sentCount;
      const result = await this.#attempt(endpoint);
      context.excludedEndpoints.add(endpoint.id);
      switch (result.kind) {
        case "answered":
          if (this.#shouldRetryElsewhere(result.endpoint, result.response)) {
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

  /**
   * Refuses the call if rules of the operator leave no endpoint. One that was
   * sent before is refused with what is known of its runs.
   */
  #refuseIfBlocked(): boolean {
    const reason = this.#context.eligibility.blockedReason;
    if (reason === undefined) return false;
    this.#refuse(reason, NO_ALLOWED_RETRY_AFTER_MS);
    return true;
  }

  #choose(): EndpointChoice | undefined {
    const { eligibility, services, request } = this.#context;
    const criteria = { ...eligibility.criteria, memoryTokens: 0 };
    return services.chooser.choose(criteria, request.service);
  }

  /** Returns whether the call can be sent to another endpoint now. */
  #hasAlternative(endpoint: RegisteredEndpoint): boolean {
    return this.#context.eligibility.eligible().some((other) =>
      other !== endpoint
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
    const { services, request } = this.#context;
    const abortsWithoutResponse = this.#isIdempotent() &&
      this.#canRetryElsewhere(endpoint);
    if (
      this.#isIdempotent() && services.budget.allowsHedges(request.service.id)
    ) {
      return new HedgedCall(this.#context, endpoint, this.#responseTimes)
        .run(abortsWithoutResponse);
    }
    return new Promise((resolve) => {
      const attempt = new CallAttempt(this.#context, endpoint, resolve);
      attempt.start(abortsWithoutResponse);
    });
  }

  #canRetryElsewhere(endpoint: RegisteredEndpoint): boolean {
    const { eligibility, services, request, sentCount, excludedEndpoints } =
      this.#context;
    const others = services.registry.reachable(request.service.id).filter((
      other,
    ) =>
      other !== endpoint && !excludedEndpoints.has(other.id) &&
      eligibility.isAllowed(other)
    );
    return others.length > 0 && sentCount + 1 < request.route.maxAttempts;
  }
}
