/**
 * Runs a call with up to two attempts at the same time: the second one (the
 * hedge) is sent when the first is slower than nearly all calls of its kind.
 * The first complete success wins, and the other attempt is aborted.
 */

import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../../base/common/lifecycle.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { HedgeRecord } from "../requests/hedge_record.ts";
import type { RequestContext } from "../requests/request_context.ts";
import {
  type AttemptResult,
  CallAttempt,
  responseTimeoutMs,
} from "./call_attempt.ts";
import { decideHedge, type HedgeableCall } from "./hedge_policy.ts";
import { findHedgeTarget } from "./hedge_target.ts";
import type { ResponseTimes } from "./response_times.ts";

/** Status from which an answer is an error of its endpoint. */
const MIN_ERROR_STATUS = 500;

type AttemptRole = "first" | "hedge";

interface RunningAttempt {
  readonly role: AttemptRole;
  readonly attempt: CallAttempt;
  readonly startedMs: number;
}

/** One call with its first attempt and its hedge. */
export class HedgedCall {
  readonly #context: RequestContext;
  readonly #endpoint: RegisteredEndpoint;
  readonly #responseTimes: ResponseTimes;
  readonly #running = new Map<AttemptRole, RunningAttempt>();
  #resolve: (result: AttemptResult) => void = () => undefined;
  #timer: Disposable = NOOP_DISPOSABLE;
  #abortsWithoutResponse = false;
  /** The hedge, once it was sent. */
  #hedge: HedgeRecord | undefined;
  /** Result of the attempt that failed while the other one was in progress. */
  #failure: AttemptResult | undefined;
  /** Attempt that has begun to send its response to the caller. */
  #streaming: AttemptRole | undefined;
  #isSettled = false;

  /**
   * @param context - State of the request.
   * @param endpoint - Endpoint of the first attempt.
   * @param responseTimes - Recent response times of calls.
   */
  constructor(
    context: RequestContext,
    endpoint: RegisteredEndpoint,
    responseTimes: ResponseTimes,
  ) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#responseTimes = responseTimes;
  }

  /**
   * Runs the attempts. Must be called once.
   *
   * @param abortsWithoutResponse - Whether a first attempt without a response
   * ends early, as long as no hedge is sent.
   * @returns The result of the attempt that has won, or one for both.
   */
  run(abortsWithoutResponse: boolean): Promise<AttemptResult> {
    const { services, request, sentCount } = this.#context;
    const { exchange, route, service } = request;
    const kind = route.kind.kind;
    const call: HedgeableCall = {
      kind,
      startedMs: services.clock.monotonicMs(),
      delayMs: this.#responseTimes.hedgeDelayMs(service.id, kind),
      objectiveEndMs: exchange.receivedMs + route.objectiveMs,
      canSendTwice: !this.#context.isBodyStreamed,
      // The first attempt counts even while its connection is being opened.
      hasSendLeft: sentCount + 2 <= route.maxAttempts,
    };
    this.#abortsWithoutResponse = abortsWithoutResponse;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#start("first", this.#endpoint, abortsWithoutResponse);
      this.#decide(call);
    });
  }

  #decide(call: HedgeableCall): void {
    if (this.#isSettled || this.#streaming) return;
    const { services } = this.#context;
    const nowMs = services.clock.monotonicMs();
    let target: RegisteredEndpoint | undefined;
    const decision = decideHedge(call, nowMs, () => {
      const { endpoint, hasFreeSlot } = findHedgeTarget(
        this.#context,
        this.#endpoint,
      );
      target = endpoint;
      return {
        isStopping: !this.#mayBegin(),
        isSuspect: this.#context.isQuarantined ||
          services.crashMonitor.isSuspect(this.#context),
        hasFreeSlot,
        hasEndpoint: endpoint !== undefined,
        isWithinBudget: services.budget.canHedge(
          this.#context.request.service.id,
        ),
      };
    });
    switch (decision.kind) {
      case "wait":
        this.#timer = this.#context.setTimer(
          decision.untilMs - nowMs,
          () => this.#decide(call),
        );
        return;
      case "suppressed":
        services.metrics.count("hedges", `suppressed-${decision.reason}`);
        return;
      case "send":
        this.#sendHedge(target!, nowMs - call.startedMs);
    }
  }

  /** Returns whether this host would still begin a call like this one. */
  #mayBegin(): boolean {
    const { services, request } = this.#context;
    const { exchange, fields, route, service } = request;
    const { receivedMs } = exchange;
    return services.stop.mayBegin({ receivedMs, fields, route, service });
  }

  #sendHedge(target: RegisteredEndpoint, delayMs: number): void {
    const { services, request, excludedEndpoints } = this.#context;
    services.budget.recordHedge(request.service.id);
    services.metrics.count("hedges", "sent");
    this.#hedge = { delayMs };
    this.#context.hedge = this.#hedge;
    excludedEndpoints.add(target.id);
    this.#running.get("first")?.attempt.waitForResponse();
    this.#start("hedge", target, false);
  }

  #start(
    role: AttemptRole,
    endpoint: RegisteredEndpoint,
    abortsWithoutResponse: boolean,
  ): void {
    const attempt = new CallAttempt(
      this.#context,
      endpoint,
      (result) => this.#onResult(role, result),
      (status) => this.#onStreamable(role, status),
    );
    const startedMs = this.#context.services.clock.monotonicMs();
    this.#running.set(role, { role, attempt, startedMs });
    attempt.start(abortsWithoutResponse);
  }

  /** Lets one attempt stream its response and aborts the other one. */
  #onStreamable(role: AttemptRole, status: number): boolean {
    // An error waits for the other attempt, also one that is too large.
    if (status >= MIN_ERROR_STATUS && this.#running.size > 1) return false;
    this.#streaming = role;
    this.#recordTime(role, status < MIN_ERROR_STATUS ? "complete" : undefined);
    this.#onWon(role);
    return true;
  }

  #onResult(role: AttemptRole, result: AttemptResult): void {
    if (this.#streaming !== role) this.#recordTime(role, timeOf(result));
    this.#running.delete(role);
    if (this.#isSettled) return;
    switch (result.kind) {
      case "streamed":
      case "caller-left":
        this.#settle(result);
        return;
      case "answered":
        if (result.response.status < MIN_ERROR_STATUS && !result.isNotRun) {
          this.#onWon(role);
          this.#settle(result);
          return;
        }
        break;
      case "not-run":
      case "timed-out":
      case "unknown":
    }
    const [remaining] = this.#running.values();
    if (!remaining) {
      this.#settle(this.#combine(role, result));
      return;
    }
    this.#failure = result;
    const { request, sentCount } = this.#context;
    const canRetry = sentCount < request.route.maxAttempts;
    if (this.#abortsWithoutResponse && canRetry) {
      remaining.attempt.abortWithoutResponse();
    }
  }

  /** Returns one result for an attempt that has failed and the one before it. */
  #combine(role: AttemptRole, result: AttemptResult): AttemptResult {
    const earlier = this.#failure;
    if (!earlier) return result;
    // A refusal says nothing about the attempt that may have run.
    const combined = provesNotRun(result) && !provesNotRun(earlier)
      ? earlier
      : result;
    if (combined.kind === "answered") {
      const other = role === "first" ? "hedge" : "first";
      this.#recordWinner(combined === result ? role : other);
    } else this.#context.services.metrics.count("hedges", "lost");
    return combined;
  }

  #onWon(role: AttemptRole): void {
    this.#timer.dispose();
    this.#recordWinner(role);
    this.#abortOthers(role);
  }

  #recordWinner(role: AttemptRole): void {
    if (!this.#hedge) return;
    this.#hedge.wonBy = role;
    const { metrics } = this.#context.services;
    metrics.count("hedges", role === "hedge" ? "won" : "lost");
  }

  #abortOthers(winner: AttemptRole | undefined): void {
    for (const { role, attempt, startedMs } of [...this.#running.values()]) {
      if (role === winner) continue;
      this.#recordTime(role, "censored");
      this.#running.delete(role);
      attempt.abort();
      if (role === "first" && winner === "hedge") {
        this.#holdFirstClaim(startedMs);
      }
    }
  }

  /**
   * Counts the aborted call as in progress for a time: the endpoint may still
   * run it. If its slot were free at once, a slow endpoint would draw more and
   * more of the calls, until the 95th percentile is that of its responses.
   */
  #holdFirstClaim(startedMs: number): void {
    const { clock, loadTable } = this.#context.services;
    const claim = loadTable.claimCall(this.#endpoint.id);
    const timeoutMs = responseTimeoutMs(this.#context.request.route);
    const endMs = startedMs + timeoutMs;
    clock.setTimer(endMs - clock.monotonicMs(), () => claim.dispose());
  }

  #settle(result: AttemptResult): void {
    this.#isSettled = true;
    this.#timer.dispose();
    this.#abortOthers(undefined);
    this.#resolve(result);
  }

  #recordTime(
    role: AttemptRole,
    time: "complete" | "censored" | undefined,
  ): void {
    const running = this.#running.get(role);
    if (!running || !time) return;
    const { services, request } = this.#context;
    const { route, service } = request;
    const elapsedMs = services.clock.monotonicMs() - running.startedMs;
    const kind = route.kind.kind;
    if (time === "complete") {
      this.#responseTimes.recordComplete(service.id, kind, elapsedMs);
    } else this.#responseTimes.recordCensored(service.id, kind, elapsedMs);
  }
}

function provesNotRun(result: AttemptResult): boolean {
  return result.kind === "not-run" ||
    result.kind === "answered" && result.isNotRun;
}

/** Returns how the time of an attempt counts; not that of refusals and errors. */
function timeOf(result: AttemptResult): "complete" | "censored" | undefined {
  switch (result.kind) {
    case "answered":
      return result.response.status < MIN_ERROR_STATUS && !result.isNotRun
        ? "complete"
        : undefined;
    case "timed-out":
    case "unknown":
    case "caller-left":
      return "censored";
    case "streamed":
    case "not-run":
      return undefined;
  }
}
