/**
 * State and helpers shared by the forwarders of calls and generations: the
 * admitted request, its deadline, its retries, its placement, and the log line
 * and metrics at its end.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type {
  EndpointId,
  HostId,
  WorkspaceId,
} from "../../../../base/common/ids.ts";
import {
  type HeaderList,
  isCloseDelimited,
} from "../../../../services/http/common/header_list.ts";
import { isStreamed } from "../../../../services/http/common/request_body.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../../../services/http/common/pass_through_client.ts";
import type { RequestContent } from "../crashes/crash_monitor.ts";
import type { EndpointOutcome } from "../endpoints/endpoint_health.ts";
import type {
  RegisteredEndpoint,
  ServiceReach,
} from "../endpoints/endpoint_registry.ts";
import type { GenerationFields } from "../protocol/gateway_codec.ts";
import { type EventGap, gapFields } from "./event_gap.ts";
import { hedgeFields, type HedgeRecord } from "./hedge_record.ts";
import { contentOf } from "./request_content.ts";
import {
  NO_ALLOWED_RETRY_AFTER_MS,
  RequestEligibility,
} from "./request_eligibility.ts";
import { RequestGuard } from "./request_guard.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { RequestRights } from "./request_rights.ts";
import type { AnswerVerdict } from "../protocol/answer_verdict.ts";
import type { RequestOutcome } from "../metrics/request_outcome.ts";
import { RunEvidence } from "./run_evidence.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { GatewayServices } from "./gateway_services.ts";

/**
 * Minimum retry delay; a full engine finishes some of its work in this time.
 */
const FULL_RETRY_AFTER_MS = 400;

const HTTP_UNAVAILABLE = 503;
/** Why a request is refused when no host reaches an endpoint of its service. */
export const CUT_OFF_REASON = "no endpoint can be reached";
/** Retry delay then; lost paths are tried again about each second. */
export const CUT_OFF_RETRY_AFTER_MS = 1_000;

/** Why a request is refused that would outlast this host. */
export const STOPPING_REASON = "this host stops";
/** Retry delay then; another host can take the request at once. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** Longer identifiers of parts are replaced by their hash. */
const MAX_PART_CHARACTERS = 64;

/** Receives the answer of an endpoint, with what its head proves. */
export interface AnswerListener extends Omit<PassThroughListener, "onHead"> {
  /** Called when the status and the headers have arrived. */
  onHead(status: number, headers: HeaderList, verdict: AnswerVerdict): void;
}

/** State of one request, shared by the two kinds of forwarders. */
export class RequestContext implements RequestContent {
  readonly services: GatewayServices;
  readonly request: AdmittedRequest;
  /** Endpoints that failed this request and are not tried again. */
  readonly excludedEndpoints = new Set<EndpointId>();
  /** Rights to send the request where endpoints name a limit. */
  readonly rights: RequestRights;
  /** Which endpoints the request may be sent to. */
  readonly eligibility: RequestEligibility;
  /** Refuses the request if it crashes the endpoints that run it. */
  readonly quarantine: RequestQuarantine;
  /** Software version whose events the caller has; set by the first one. */
  softwareVersion: string | undefined;
  /** Disposed of when the request ends. */
  readonly disposables = new DisposableStore();
  /** What is known of its runs. */
  readonly evidence: RunEvidence;
  /** Ends the request after an unexpected error. */
  readonly guard = new RequestGuard(this);
  /** Number of connections to endpoints that could not be opened for it. */
  #unreachedCount = 0;
  /** Peer that was asked last to pass the request on. */
  #latestPeer: HostId | undefined;
  #hasEnded = false;
  #fingerprint: string | undefined;
  #promptParts: readonly string[] | undefined;
  #crashCheck: Promise<void> | undefined;
  #firstByteMs: number | undefined;
  /** Longest gap between two events of the stream. */
  longestGap: EventGap | undefined;
  /** The latest hedge of the call, if one was sent. */
  hedge: HedgeRecord | undefined;
  /** Whether the latest response had no framing but the end of its connection. */
  #isCloseDelimited = false;

  /**
   * @param services - Dependencies of the forwarders.
   * @param request - The admitted request.
   */
  constructor(services: GatewayServices, request: AdmittedRequest) {
    this.services = services;
    this.request = request;
    this.evidence = new RunEvidence(request.id, services.logger);
    this.eligibility = new RequestEligibility(this);
    this.rights = new RequestRights(this);
    this.quarantine = new RequestQuarantine(this);
  }

  /**
   * @param placerRetryAfterMs - The time that the placer has given, if any.
   * @returns Time after which a caller whose generation was not placed may
   * return, in milliseconds.
   */
  placementRetryAfterMs(placerRetryAfterMs?: number): number {
    const { recentWaitMs } = this.services.placer;
    if (this.isCutOff) return CUT_OFF_RETRY_AFTER_MS;
    if (this.eligibility.blockingRules) return NO_ALLOWED_RETRY_AFTER_MS;
    return this.rights.retryAfterMs ?? placerRetryAfterMs ??
      Math.max(FULL_RETRY_AFTER_MS, recentWaitMs);
  }

  /** Whether allowed endpoints of the service can be reached, on any path. */
  get serviceReach(): ServiceReach {
    return this.services.registry.reachOf(
      this.request.service.id,
      (endpoint) => this.eligibility.isAllowed(endpoint),
    );
  }

  /** Whether no endpoint of the service has been reached for some time. */
  get isCutOff(): boolean {
    return this.serviceReach === "cut-off";
  }

  /** Time until the first byte is due for the route's objective, in ms. */
  get objectiveRemainingMs(): number {
    const { exchange, route } = this.request;
    return exchange.receivedMs + route.objectiveMs -
      this.services.clock.monotonicMs();
  }

  /** Workspace of the caller; `undefined` on a route without keys. */
  get workspace(): WorkspaceId | undefined {
    return this.request.keyHolder?.workspace;
  }

  /**
   * Hash of the content, which stays the same when a caller sends the request
   * again under another id. Computed on first use.
   */
  get fingerprint(): string {
    this.#fingerprint ??= this.services.fingerprint(contentOf(this.request));
    return this.#fingerprint;
  }

  /**
   * Whether the request must not be sent to an endpoint, because it crashes
   * those that run it.
   */
  get isQuarantined(): boolean {
    return this.quarantine.isRefused;
  }

  /** Parts of the prompt that other requests may share. */
  get promptParts(): readonly string[] {
    this.#promptParts ??= this.request.fields.promptParts.map((part) =>
      part.length <= MAX_PART_CHARACTERS
        ? part
        : this.services.fingerprint([part])
    );
    return this.#promptParts;
  }

  /** @returns Whether an endpoint can go on after what the caller has. */
  accepts({ softwareVersion }: RegisteredEndpoint): boolean {
    return this.softwareVersion === undefined ||
      this.softwareVersion === softwareVersion;
  }

  /** Longest time between two events of the stream so far, in milliseconds. */
  get longestGapMs(): number {
    return this.longestGap?.gapMs ?? 0;
  }

  /** Time until the response is due, in milliseconds. */
  get remainingMs(): number {
    return this.request.deadlineMs - this.services.clock.monotonicMs();
  }

  /**
   * Whether another run of the generation may continue after the last event
   * that the caller received.
   */
  get canResume(): boolean {
    const { kind } = this.request.route;
    return kind.kind === "generation" && kind.isResumable;
  }

  /**
   * Whether the body is streamed while it arrives and can therefore be sent
   * only once.
   */
  get isBodyStreamed(): boolean {
    return isStreamed(this.request.body);
  }

  /** Number of times that the request was written to an endpoint. */
  get sentCount(): number {
    return this.evidence.sentCount;
  }

  /** Whether the request has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /**
   * Priority for engines, 0 being the most urgent: that of the workspace,
   * otherwise that of the route.
   */
  get priority(): number {
    return this.request.keyHolder?.priority ?? this.request.route.priority;
  }

  /**
   * Ends the request before it is sent, if it crashes endpoints or if this host
   * stops before it can end.
   *
   * @returns Whether the request was ended.
   */
  refuseBeforeSend(): boolean {
    return this.quarantine.refuse() ||
      !this.evidence.mayHaveRun && this.refuseIfStopping();
  }

  /**
   * Refuses a request that was never sent if this host stops before it can end.
   * Must not be called while an attempt is in progress.
   *
   * @returns Whether the request was refused.
   */
  refuseIfStopping(): boolean {
    const { exchange, fields, route, service } = this.request;
    const { receivedMs } = exchange;
    if (
      this.sentCount > 0 ||
      this.services.stop.mayBegin({ receivedMs, fields, route, service })
    ) return false;
    this.refuse(STOPPING_REASON, STOPPING_RETRY_AFTER_MS);
    return true;
  }

  /**
   * Requests permission to send the request again.
   *
   * @param mayHaveRun - Whether some endpoint may have run the request.
   * @returns Whether the route's attempts, the deadline and the retry budget
   * allow another attempt.
   */
  mayRetry(mayHaveRun: boolean): boolean {
    const { body, route, service } = this.request;
    // Also one that was not sent: a peer may have read it in vain.
    if (isStreamed(body) && body.isConsumed) return false;
    if (this.sentCount === 0) return true;
    if (this.isQuarantined) return false;
    // An attempt that was refused as not run does not count against the limit.
    const maxSent = route.maxAttempts + (mayHaveRun ? 0 : 1);
    if (this.remainingMs <= 0 || this.sentCount >= maxSent) return false;
    const { budget, metrics } = this.services;
    if (budget.tryRetry(service.id, this.sentCount) === undefined) return false;
    metrics.count("requests_sent_again");
    return true;
  }

  /**
   * Sends the request to an endpoint. It is counted as sent when its first byte
   * is about to be written. A rule of the operator that took effect after the
   * endpoint was chosen prevents the send, which is then reported as not sent.
   *
   * @param endpoint - The endpoint.
   * @param fields - Fields that only generations add.
   * @param sink - Receives the response.
   */
  send(
    endpoint: RegisteredEndpoint,
    fields: GenerationFields,
    sink: AnswerListener,
  ): PassThroughExchange {
    const prevented = this.eligibility.preventSend(endpoint, sink.onFailure);
    if (prevented) return prevented;
    const { answers, client, clock, codec, crashMonitor } = this.services;
    const { announcement, id } = endpoint;
    const { body, exchange, areKeysConfigured, keyHolder } = this.request;
    const { method, target } = exchange;
    const headers = codec.endpointRequestHeaders(exchange.headers, {
      ...fields,
      endpoint: id,
      remainingMs: this.remainingMs,
      workspace: keyHolder?.workspace,
      areKeysConfigured,
    });
    const { address } = announcement;
    const run = crashMonitor.watchRun(this, endpoint);
    const room = this.rights.useRoom(endpoint);
    let wasSent = false;
    let sentMs = 0;
    let carriedCount: number | undefined;
    let isServed = false;
    let isRefused = false;
    const request: PassThroughRequest = {
      address,
      endpoint: id,
      method,
      target,
      headers,
      body,
      requestId: this.request.id,
      repeatableUntilMs: this.request.deadlineMs,
      relay: {
        endpoint: id,
        purpose: "request",
        spentPeers: this.eligibility.spentPeers,
        deadlineMs: this.request.deadlineMs,
        mayPassTo: (zone) => this.eligibility.mayPassTo(zone),
      },
    };
    const transfer = this.guard.send(client, request, {
      ...sink,
      onRelayed: (peer) => {
        this.#latestPeer = peer;
        sink.onRelayed?.(peer);
      },
      onUnsent: () => {
        wasSent = false;
        this.evidence.recordUnsent();
        run.onUnsent();
        sink.onUnsent?.();
      },
      onSent: (carriedBefore) => {
        wasSent = true;
        sentMs = clock.monotonicMs();
        carriedCount = carriedBefore;
        this.evidence.recordSent();
        run.onSent();
        sink.onSent?.();
      },
      onHead: (status, received) => {
        const fields = codec.readResponseHeaders(status, received);
        const isOwn = fields.requestId === this.request.id;
        const verdict = this.evidence.recordAnswer(endpoint, status, fields, {
          carriedCount,
          peer: this.#latestPeer,
        });
        if (answers.observe(endpoint, { status, fields, isOwn, sentMs })) {
          run.onAnswered(status >= 200 && status < 300 && fields.isSigned);
        }
        this.#isCloseDelimited = isCloseDelimited(method, status, received);
        isServed = verdict === "answered" && status < 500;
        isRefused = verdict === "refused";
        if (isRefused && status === HTTP_UNAVAILABLE) {
          if (room) room.release(true);
          else this.services.limits.recordRejection(endpoint);
        }
        sink.onHead(status, received, verdict);
        // The head proves the refusal, and nothing shows the end of its body; or it
        // proves nothing, and an answer may still be due on the connection.
        if (isRefused && this.#isCloseDelimited || verdict === "unproven") {
          transfer.abort();
          sink.onEnd();
        }
      },
      onData: (chunk) => {
        run.onData();
        return sink.onData(chunk);
      },
      onEnd: () => {
        room?.release(false);
        if (isServed) run.onCompleted();
        else run.onEnded();
        sink.onEnd();
      },
      onFailure: (failure) => {
        room?.release(false);
        if (failure.kind === "not-sent") this.#unreachedCount++;
        if (wasSent && !isRefused) {
          this.log("warn", "run-lost", {
            endpoint: id,
            fingerprint: this.fingerprint,
            workspace: this.workspace,
            reason: failure.message,
          });
          // Two attempts of a call may lose their runs at the same time.
          this.#crashCheck = Promise.all([this.#crashCheck, run.onLost()])
            .then(() => undefined);
          this.guard.follow(this.#crashCheck);
        }
        sink.onFailure(failure);
      },
    }, () => {
      room?.release(false);
      run.onEnded();
    });
    return transfer;
  }

  /**
   * Waits until it is known whether the endpoints that lost runs still answer.
   */
  async awaitCrashCheck(): Promise<void> {
    await this.#crashCheck;
  }

  /** Records an outcome in the endpoint's health and logs an ejection. */
  recordOutcome(
    endpoint: RegisteredEndpoint,
    outcome: EndpointOutcome,
  ): void {
    const { announcement, health, id } = endpoint;
    // A send that was prevented says nothing about the endpoint.
    if (outcome === "unreachable" && this.eligibility.hasPrevented(endpoint)) {
      return;
    }
    const { client, clock, logger, metrics } = this.services;
    if (!health.record(outcome, clock.monotonicMs())) return;
    metrics.count("endpoints_ejected", outcome);
    // Connections opened earlier may no longer carry data.
    client.closeIdleConnections(announcement.address);
    logger.log("warn", "endpoint-ejected", { endpoint: id, sign: outcome });
  }

  /**
   * Records a request without a response. Only an endpoint that answers others
   * meanwhile is at fault; one that is silent altogether may go on.
   */
  async recordSilence(endpoint: RegisteredEndpoint): Promise<void> {
    const { address } = endpoint.announcement;
    const isAnswering = await this.services.checkSilentPath(address);
    if (isAnswering) this.recordOutcome(endpoint, "silent");
  }

  /** Records the time of the first response byte. */
  recordFirstByte(): void {
    this.#firstByteMs ??= this.services.clock.monotonicMs();
  }

  /** Runs a callback after a delay, unless the request ends earlier. */
  setTimer(delayMs: number, callback: () => void): Disposable {
    return this.disposables.add(
      this.services.clock.setTimer(
        Math.max(0, delayMs),
        () => this.guard.attempt(callback),
      ),
    );
  }

  /** Writes a log line with the id of this request. */
  log(
    level: "info" | "warn",
    event: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void {
    this.services.logger.log(level, event, {
      request: this.request.id,
      ...fields,
    });
  }

  /**
   * Ends the request because it is not sent again. The caller is promised that
   * it has not run and never will only if that is proved of each send.
   *
   * @param reason - Reason for the log and the response body.
   * @param retryAfterMs - Retry delay in milliseconds.
   */
  refuse(reason: string, retryAfterMs: number): void {
    if (this.request.exchange.hasSentHead) {
      this.fail(502, "interrupted", reason);
    } else if (this.evidence.mayHaveRun) this.fail(502, "unknown", reason);
    else this.#reply(503, "not-run", reason, retryAfterMs);
  }

  /**
   * Answers with an error of the gateway's own that promises nothing, or closes
   * the connection if the response has started.
   *
   * @param status - HTTP status.
   * @param outcome - Outcome of the request.
   * @param reason - Reason for the log and the response body.
   */
  fail(
    status: 413 | 502 | 504,
    outcome: RequestOutcome,
    reason: string,
  ): void {
    this.#reply(status, outcome, reason);
  }

  #reply(
    status: number,
    outcome: RequestOutcome,
    reason: string,
    retryAfterMs?: number,
  ): void {
    if (this.#hasEnded) return;
    const { exchange, id } = this.request;
    if (exchange.hasSentHead) exchange.abort();
    else {
      const headers = this.services.codec.gatewayResponseHeaders(id);
      if (retryAfterMs !== undefined) {
        headers.push("retry-after", (retryAfterMs / 1_000).toFixed(2));
      }
      exchange.reply(status, headers, `${reason}\n`);
    }
    this.finish(outcome, status, reason);
  }

  /** Records the outcome and releases everything that the request holds. */
  finish(outcome: RequestOutcome, status: number, reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.rights.releaseRoom();
    this.disposables.dispose();
    const { clock, metrics } = this.services;
    const { exchange, route, service } = this.request;
    const nowMs = clock.monotonicMs();
    const totalMs = nowMs - exchange.receivedMs;
    const mayLackEndpoints = outcome === "not-run" || outcome === "unknown" ||
      outcome === "interrupted";
    const firstByteMs = this.#firstByteMs === undefined
      ? undefined
      : this.#firstByteMs - exchange.receivedMs;
    metrics.recordRequest(route, service.id, outcome, firstByteMs, totalMs);
    this.log(outcome === "served" ? "info" : "warn", "request-ended", {
      end: outcome,
      status,
      reason,
      route: route.name,
      service: service.id,
      workspace: this.request.keyHolder?.workspace,
      sent: this.sentCount,
      unsent: this.evidence.unsentCount || undefined,
      refused: this.evidence.refusedCount || undefined,
      unreached: this.#unreachedCount || undefined,
      via: this.#latestPeer,
      closeDelimited: this.#isCloseDelimited || undefined,
      firstMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
      leftMs: Math.round(this.remainingMs),
      ...(mayLackEndpoints && this.eligibility.logFields()),
      ...hedgeFields(this.hedge),
      ...gapFields(this.longestGap),
    });
  }
}
