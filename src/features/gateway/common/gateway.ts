/**
 * Admits callers' requests and forwards them to the services that their routes
 * name. Checks the route, the API key, the size of the body and the state of
 * this daemon before any endpoint is contacted.
 */

import { type Clock } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { type Hasher } from "../../../base/common/hasher.ts";
import { asId, type RequestId } from "../../../base/common/ids.ts";
import type { CallerExchange } from "../../../services/http/common/caller_exchange.ts";
import type { RequestBody } from "../../../services/http/common/request_body.ts";
import { CallForwarder } from "./calls/call_forwarder.ts";
import { ResponseTimes } from "./calls/response_times.ts";
import type { CallerFields } from "./protocol/gateway_codec.ts";
import type {
  GatewayRoute,
  KeyHolder,
} from "./configuration/gateway_configuration.ts";
import { deadlineOf, type PlannedStop } from "./requests/planned_stop.ts";
import type { AdmittedRequest } from "./requests/admitted_request.ts";
import {
  RequestContext,
  STOPPING_REASON,
  STOPPING_RETRY_AFTER_MS,
} from "./requests/request_context.ts";
import {
  CRASHED_REASON,
  CRASHED_RETRY_AFTER_MS,
} from "./requests/request_guard.ts";
import type {
  ActiveConfiguration,
  ConfigurationState,
} from "./configuration/configuration_state.ts";
import { selectTarget } from "./configuration/route_table.ts";
import type { GatewayServices } from "./requests/gateway_services.ts";
import { GenerationForwarder } from "./generations/generation_forwarder.ts";

/**
 * Retry delay while the configuration is missing or its confirmation is too
 * old.
 */
const UNCONFIRMED_RETRY_AFTER_MS = 500;
/** Retry delay while the target service is missing from the configuration. */
const UNCONFIGURED_SERVICE_RETRY_AFTER_MS = 300;
/**
 * Retry delay while the bodies of other requests use all the memory for bodies.
 */
const BODY_MEMORY_RETRY_AFTER_MS = 300;
const HASH_RANGE = 2 ** 32;
/**
 * Bodies of calls above this size are streamed to the endpoint as they arrive;
 * such a request cannot be sent a second time.
 */
const MAX_BUFFERED_CALL_BODY_BYTES = 262_144;

/** Admission limits of one daemon. */
export interface GatewayLimits {
  /**
   * Maximum time since the configuration was last confirmed at which its API
   * keys are accepted, in milliseconds.
   */
  readonly maxConfirmationAgeForKeysMs: number;
  /**
   * Time since the last confirmation, in milliseconds, above which an unknown
   * key or route is answered with 503: the configuration that defines it may
   * not have arrived yet.
   */
  readonly maxConfirmationAgeForUnknownMs: number;
}

/** Reason why a request is refused before it is forwarded. */
interface Refusal {
  readonly status: 400 | 401 | 404 | 413 | 503;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Refusal while this host stops. */
const STOPPING: Refusal = {
  status: 503,
  reason: STOPPING_REASON,
  retryAfterMs: STOPPING_RETRY_AFTER_MS,
};

type Admission =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "admitted";
    readonly id: RequestId;
    readonly route: GatewayRoute;
    readonly keyHolder: KeyHolder | undefined;
    readonly activeConfiguration: ActiveConfiguration;
  };

/** Entry point for callers' requests on one daemon. */
export class Gateway {
  readonly #services: GatewayServices;
  readonly #clock: Clock;
  readonly #state: ConfigurationState;
  readonly #limits: () => GatewayLimits;
  readonly #hasher: Hasher;
  readonly #responseTimes: ResponseTimes;
  #activeCount = 0;

  /**
   * @param services - Dependencies shared by all forwarders.
   * @param state - The active configuration and its age.
   * @param limits - Returns the current admission limits.
   * @param hasher - Hashes request ids, to distribute requests over the targets
   * of a route.
   */
  constructor(
    services: GatewayServices,
    state: ConfigurationState,
    limits: () => GatewayLimits,
    hasher: Hasher,
  ) {
    this.#services = services;
    this.#clock = services.clock;
    this.#state = state;
    this.#limits = limits;
    this.#hasher = hasher;
    this.#responseTimes = new ResponseTimes(services.clock);
  }

  /** Number of requests in progress. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /** The planned stop of this host. */
  get stop(): PlannedStop {
    return this.#services.stop;
  }

  /** Admits a request, reads its body and starts to forward it. */
  async handle(exchange: CallerExchange): Promise<void> {
    try {
      await this.#handle(exchange);
    } catch (thrown) {
      this.#services.logger.log("error", "request-crashed", {
        detail: toErrorMessage(thrown),
      });
      this.#replyAfterCrash(exchange);
    }
  }

  async #handle(exchange: CallerExchange): Promise<void> {
    this.#activeCount++;
    exchange.onDidEnd(() => this.#activeCount--);
    const fields = this.#services.codec.readCallerHeaders(
      exchange.headers,
    );
    const admission = this.#admit(exchange, fields);
    if (admission.kind === "refused") {
      this.#refuse(exchange, fields, admission.refusal);
      return;
    }
    const { configuration } = admission.activeConfiguration;
    const { maxBodyBytes } = configuration.limits;
    const isGeneration = admission.route.kind.kind === "generation";
    // A host that stops does not read on what it cannot serve.
    const stopping = this.#services.stop.onDidProgress(() => {
      if (exchange.hasSentHead) return;
      if (this.#mayBegin(exchange, fields, admission.route)) return;
      this.#refuse(exchange, fields, STOPPING);
    });
    const read = await exchange.readBody({
      maxBytes: maxBodyBytes,
      // A generation may have to continue on another endpoint, which needs the
      // prompt.
      maxBufferedBytes: isGeneration
        ? maxBodyBytes
        : MAX_BUFFERED_CALL_BODY_BYTES,
      budget: this.#services.bodies,
    });
    stopping.dispose();
    if (exchange.hasSentHead) return;
    switch (read.kind) {
      case "left":
        return;
      case "too-large":
        this.#refuse(exchange, fields, {
          status: 413,
          reason: `the body is larger than ${maxBodyBytes} bytes`,
        });
        return;
      case "no-room":
        this.#refuse(exchange, fields, {
          status: 503,
          reason: "the memory for request bodies is in use",
          retryAfterMs: BODY_MEMORY_RETRY_AFTER_MS,
        });
        return;
      case "whole":
      case "streamed":
        this.#forward(exchange, fields, admission, read.body);
    }
  }

  #forward(
    exchange: CallerExchange,
    fields: CallerFields,
    { id, route, keyHolder, activeConfiguration }: Admission & {
      kind: "admitted";
    },
    body: RequestBody,
  ): void {
    const { configuration } = activeConfiguration;
    // A stream that is taken up goes to the service that began it.
    const { resumeAfterEventId, resumedRequestId } = fields;
    const streamId = resumeAfterEventId && resumedRequestId || id;
    const fraction = this.#hasher.hash32(streamId) / HASH_RANGE;
    const target = selectTarget(route, fraction);
    const service = configuration.services.get(target);
    if (!service) {
      this.#refuse(exchange, fields, {
        status: 503,
        reason: `service ${target} is not configured`,
        retryAfterMs: UNCONFIGURED_SERVICE_RETRY_AFTER_MS,
      });
      return;
    }
    const { receivedMs } = exchange;
    const request: AdmittedRequest = {
      id,
      exchange,
      fields,
      route,
      service,
      keyHolder,
      areKeysConfigured: configuration.keys !== undefined,
      body,
      deadlineMs: deadlineOf({ receivedMs, fields, route }),
    };
    const context = new RequestContext(this.#services, request);
    context.guard.attempt(() => this.#start(context));
  }

  #start(context: RequestContext): void {
    if (context.refuseBeforeSend()) return;
    switch (context.request.route.kind.kind) {
      case "generation":
        new GenerationForwarder(context).start();
        return;
      case "idempotent":
      case "non-idempotent":
        context.guard.follow(
          new CallForwarder(context, this.#responseTimes).run(),
        );
    }
  }

  /** Answers a request that an error ended before it could be sent. */
  #replyAfterCrash(exchange: CallerExchange): void {
    try {
      if (exchange.hasSentHead) exchange.abort();
      else {
        const headers = this.#services.codec.gatewayResponseHeaders(undefined);
        const retryAfterS = (CRASHED_RETRY_AFTER_MS / 1_000).toFixed(2);
        exchange.reply(
          503,
          [...headers, "retry-after", retryAfterS],
          `${CRASHED_REASON}\n`,
        );
      }
    } catch {
      exchange.abort();
    }
  }

  #admit(exchange: CallerExchange, fields: CallerFields): Admission {
    const activeConfiguration = this.#state.current;
    if (!activeConfiguration) {
      return refusedAdmission(
        503,
        "no configuration has been loaded yet",
        UNCONFIRMED_RETRY_AFTER_MS,
      );
    }
    const { requestId } = fields;
    if (requestId === undefined) return refusedAdmission(400, "no request id");
    if (!exchange.target.startsWith("/")) {
      return refusedAdmission(400, "the request target is not a path");
    }
    const limits = this.#limits();
    const confirmationAgeMs = this.#state.confirmationAgeMs;
    const mayBeStale =
      confirmationAgeMs > limits.maxConfirmationAgeForUnknownMs;
    const route = activeConfiguration.routes.find(fields.host, exchange.target);
    if (!route) {
      return mayBeStale
        ? refusedAdmission(
          503,
          "no route matches, and the configuration may be stale",
          UNCONFIRMED_RETRY_AFTER_MS,
        )
        : refusedAdmission(404, "no route");
    }
    const { keys } = activeConfiguration.configuration;
    if (!this.#mayBegin(exchange, fields, route)) {
      return { kind: "refused", refusal: STOPPING };
    }
    if (!keys || route.isPublic) {
      return {
        kind: "admitted",
        id: requestId,
        route,
        keyHolder: undefined,
        activeConfiguration,
      };
    }
    if (confirmationAgeMs > limits.maxConfirmationAgeForKeysMs) {
      return refusedAdmission(
        503,
        "keys cannot be vouched for now",
        UNCONFIRMED_RETRY_AFTER_MS,
      );
    }
    const keyHolder = fields.apiKey === undefined
      ? undefined
      : keys.get(fields.apiKey);
    if (!keyHolder) {
      return mayBeStale
        ? refusedAdmission(
          503,
          "unknown key, and the configuration may be stale",
          UNCONFIRMED_RETRY_AFTER_MS,
        )
        : refusedAdmission(401, "unknown key");
    }
    return {
      kind: "admitted",
      id: requestId,
      route,
      keyHolder,
      activeConfiguration,
    };
  }

  #mayBegin(
    { receivedMs }: CallerExchange,
    fields: CallerFields,
    route: GatewayRoute,
  ): boolean {
    const services = this.#state.current?.configuration.services;
    const [target] = route.targets;
    const service = target && services?.get(target.service);
    return this.#services.stop.mayBegin({ receivedMs, fields, route, service });
  }

  #refuse(
    exchange: CallerExchange,
    fields: CallerFields,
    { status, reason, retryAfterMs }: Refusal,
  ): void {
    const { logger, metrics, codec } = this.#services;
    metrics.count("requests_refused", String(status));
    logger.log("warn", "request-refused", {
      request: fields.requestId ?? asId<RequestId>("-"),
      status,
      reason,
      host: fields.host,
      version: this.#state.current?.configuration.version,
      confirmedAgeMs: Math.round(this.#state.confirmationAgeMs),
      totalMs: Math.round(this.#clock.monotonicMs() - exchange.receivedMs),
    });
    const headers = codec.gatewayResponseHeaders(fields.requestId);
    if (retryAfterMs !== undefined) {
      headers.push("retry-after", (retryAfterMs / 1_000).toFixed(2));
    }
    exchange.reply(status, headers, `${reason}\n`);
  }
}

function refusedAdmission(
  status: Refusal["status"],
  reason: string,
  retryAfterMs?: number,
): Admission {
  const refusal = retryAfterMs === undefined
    ? { status, reason }
    : { status, reason, retryAfterMs };
  return { kind: "refused", refusal };
}
