/** A request that the gateway has admitted, and what forwards it. */

import type { Clock } from "../../../base/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { EndpointId, RequestId } from "../../../base/common/ids.ts";
import type { CallerExchange } from "../../../services/http/common/caller_exchange.ts";
import {
  isStreamed,
  type RequestBody,
} from "../../../services/http/common/request_body.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughListener,
} from "../../../services/http/common/pass_through_client.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { RetryBudget } from "../../retries/common/retry_budget.ts";
import type {
  EndpointChoice,
  EndpointChooser,
  EndpointCriteria,
} from "./endpoint_chooser.ts";
import type { EndpointProbe } from "./endpoint_probe.ts";
import type { EndpointOutcome } from "./endpoint_health.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";
import type {
  CallerFields,
  GatewayCodec,
  GenerationFields,
} from "./gateway_codec.ts";
import type {
  GatewayRoute,
  GatewayService,
  KeyHolder,
} from "./gateway_configuration.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { LoadTable } from "./load_table.ts";
import type { GenerationPlacer } from "./placement_queue.ts";
import type { RunMigrator } from "./run_migrator.ts";

/** What all forwarding works with. */
export interface GatewayServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly codec: GatewayCodec;
  readonly client: PassThroughClient;
  readonly registry: EndpointRegistry;
  readonly loadTable: LoadTable;
  readonly chooser: EndpointChooser;
  readonly budget: RetryBudget;
  /** Generations without a place. */
  readonly placer: GenerationPlacer;
  readonly probe: EndpointProbe;
  readonly migrator: RunMigrator;
}

/** A request that may be run. */
export interface AdmittedRequest {
  readonly id: RequestId;
  readonly exchange: CallerExchange;
  readonly fields: CallerFields;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly keyHolder: KeyHolder | undefined;
  readonly areKeysConfigured: boolean;
  readonly body: RequestBody;
  /** Monotonic time at which an answer is due. */
  readonly deadlineMs: number;
}

/** How a request ended, for the log and the metrics. */
export type RequestOutcome =
  | "served"
  | "failed-by-endpoint"
  | "not-run"
  | "unknown"
  | "interrupted"
  | "caller-left";

/** Part of its time that a generation may wait: a caller that is told earlier can turn elsewhere. */
const MAX_PLACEMENT_WAIT_SHARE = 0.25;
/** The same in objectives of its route: on a full fleet late ones rarely get a place. */
const MAX_PLACEMENT_WAIT_OBJECTIVES = 2;

/** Parts that both kinds of forwarding share. */
export class RequestContext {
  readonly services: GatewayServices;
  readonly request: AdmittedRequest;
  /** Endpoints that were tried in vain. */
  readonly excludedEndpoints = new Set<EndpointId>();
  /** Released when the request has ended. */
  readonly disposables = new DisposableStore();
  /** Requests written to endpoints. */
  sentCount = 0;
  #hasEnded = false;
  #placement: Disposable | undefined;
  #firstByteMs: number | undefined;

  /**
   * @param services - What forwarding works with.
   * @param request - The request.
   */
  constructor(services: GatewayServices, request: AdmittedRequest) {
    this.services = services;
    this.request = request;
  }

  /** Time until an answer is due, in milliseconds. */
  get remainingMs(): number {
    return this.request.deadlineMs - this.services.clock.monotonicMs();
  }

  /** Whether a generation may begin anew after the last event that its caller has. */
  get canResume(): boolean {
    const { kind } = this.request.route;
    return kind.kind === "generation" && kind.isResumable;
  }

  /** Whether the body is passed on while it arrives, and so only once. */
  get isBodyStreamed(): boolean {
    return isStreamed(this.request.body);
  }

  /** Whether the request has its end. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Rank for engines: the workspace's, else the route's. */
  get priority(): number {
    return this.request.keyHolder?.priority ?? this.request.route.priority;
  }

  /**
   * Asks for leave to send the request once more.
   *
   * @param mayHaveRun - Whether some endpoint may have run it.
   * @returns Whether that is within the route's attempts and the budget.
   */
  mayRetry(mayHaveRun: boolean): boolean {
    if (this.sentCount === 0) return true;
    const { body, route, service } = this.request;
    if (isStreamed(body) && body.isConsumed) return false;
    // A try that was refused as not run does not count as an attempt.
    const maxSent = route.maxAttempts + (mayHaveRun ? 0 : 1);
    if (this.remainingMs <= 0 || this.sentCount >= maxSent) return false;
    const { budget: budget, metrics } = this.services;
    if (budget.tryRetry(service.id, this.sentCount) === undefined) return false;
    metrics.count("requests_sent_again");
    return true;
  }

  /**
   * Waits until an endpoint has room for a generation.
   *
   * @param criteria - What it needs.
   * @param onPlaced - Called with the endpoint to use now.
   * @param onRejected - Called with the reason when none will have room in time.
   */
  awaitPlacement(
    criteria: EndpointCriteria,
    onPlaced: (choice: EndpointChoice) => void,
    onRejected: (reason: string) => void,
  ): void {
    const { clock, placer: placer } = this.services;
    const { deadlineMs, exchange, route, service } = this.request;
    const queuedMs = clock.monotonicMs();
    const maxWaitMs = Math.min(
      (deadlineMs - queuedMs) * MAX_PLACEMENT_WAIT_SHARE,
      route.objectiveMs * MAX_PLACEMENT_WAIT_OBJECTIVES,
    );
    // A request never waits twice: both places would be used.
    this.#placement?.dispose();
    this.#placement = this.disposables.add(placer.add({
      criteria: criteria,
      wantsBackup: !this.canResume,
      pendingPrefillTokens: this.request.fields.prompt?.promptTokens ?? 0,
      service,
      priority: this.priority,
      queuedMs: queuedMs,
      firstEventDueMs: exchange.receivedMs + route.objectiveMs,
      latestStartMs: queuedMs + maxWaitMs,
      onPlaced: (choice) => {
        this.log("info", "stream-placed", {
          endpoint: choice.endpoint.id,
          placer: choice.grant?.placer,
          cost: Number(choice.cost.toFixed(2)),
          candidates: choice.candidates,
          memoryTokens: criteria.memoryTokens,
          waitedMs: Math.round(clock.monotonicMs() - queuedMs),
          waiting: placer.length,
        });
        onPlaced(choice);
      },
      onRejected: onRejected,
    }));
  }

  /**
   * Sends the request to an endpoint and counts it once it is written.
   *
   * @param endpoint - Where it goes.
   * @param fields - What generations add.
   * @param sink - Receives the answer.
   */
  send(
    { announcement, id }: RegisteredEndpoint,
    fields: GenerationFields,
    sink: PassThroughListener,
  ): PassThroughExchange {
    const { client, codec } = this.services;
    const {
      body,
      exchange,
      areKeysConfigured: areKeysConfigured,
      keyHolder: keyHolder,
    } = this.request;
    const { method, target } = exchange;
    const headers = codec.endpointRequestHeaders(exchange.headers, {
      ...fields,
      endpoint: id,
      remainingMs: this.remainingMs,
      workspace: keyHolder?.workspace,
      areKeysConfigured: areKeysConfigured,
    });
    const { address } = announcement;
    return client.send({ address, method, target, headers, body }, {
      ...sink,
      onSent: () => {
        this.sentCount++;
        sink.onSent?.();
      },
    });
  }

  /** Takes note of how an endpoint did with this request. */
  recordOutcome(
    { announcement, health, id }: RegisteredEndpoint,
    outcome: EndpointOutcome,
  ): void {
    const { client, clock, logger, metrics } = this.services;
    if (!health.record(outcome, clock.monotonicMs())) return;
    metrics.count("endpoints_ejected", outcome);
    // Connections that were open before may carry nothing any more.
    client.closeIdleConnections(announcement.address);
    logger.log("warn", "endpoint-ejected", { endpoint: id, sign: outcome });
  }

  /** Takes note of the first byte of the answer. */
  recordFirstByte(): void {
    this.#firstByteMs ??= this.services.clock.monotonicMs();
  }

  /** Runs a callback later, unless the request ends before. */
  setTimer(delayMs: number, callback: () => void): Disposable {
    return this.disposables.add(
      this.services.clock.setTimer(Math.max(0, delayMs), callback),
    );
  }

  /** Writes a log line about this request. */
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
   * Answers with a failure of the gateway's own.
   *
   * @param status - 503 only when the request has not run and never will.
   * @param outcome - How the request ended.
   * @param reason - Why, in a few words.
   * @param retryAfterMs - When to come back, if that is worthwhile.
   */
  fail(
    status: 413 | 502 | 503 | 504,
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

  /** Takes note of the end; releases what the request held. */
  finish(outcome: RequestOutcome, status: number, reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.disposables.dispose();
    const { clock, metrics } = this.services;
    const { exchange, route, service } = this.request;
    const nowMs = clock.monotonicMs();
    const totalMs = nowMs - exchange.receivedMs;
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
      firstMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
      leftMs: Math.round(this.remainingMs),
    });
  }
}
