/** Admits requests of callers and hands them to their forwarder. */

import { type Clock } from "../../../base/common/clock.ts";
import { type Hasher } from "../../../base/common/hasher.ts";
import { asId, type RequestId } from "../../../base/common/ids.ts";
import type { CallerExchange } from "../../../services/http/common/caller_exchange.ts";
import type { RequestBody } from "../../../services/http/common/request_body.ts";
import { CallForwarder } from "./call_forwarder.ts";
import type { CallerFields } from "./gateway_codec.ts";
import type { GatewayRoute, KeyHolder } from "./gateway_configuration.ts";
import {
  type AdmittedRequest,
  type GatewayServices,
  RequestContext,
} from "./request_context.ts";
import type {
  ActiveConfiguration,
  ConfigurationState,
} from "./configuration_state.ts";
import { selectTarget } from "./route_table.ts";
import { GenerationForwarder } from "./generation_forwarder.ts";

/** Patience of a caller that does not tell it; the longest usual one. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;
/** When a daemon without a vouched configuration may have one again. */
const UNCONFIRMED_RETRY_AFTER_MS = 500;
/** When a service that is not configured yet may be. */
const UNCONFIGURED_SERVICE_RETRY_AFTER_MS = 300;
/** When memory for bodies may be free again. */
const BODY_MEMORY_RETRY_AFTER_MS = 300;
const HASH_RANGE = 2 ** 32;
/** Larger bodies of calls are passed on while they arrive, and never sent again. */
const MAX_BUFFERED_CALL_BODY_BYTES = 262_144;

/** Another host takes the request as soon as it comes. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Limits of one daemon. */
export interface GatewayLimits {
  /** Largest age of a confirmed configuration at which keys are trusted. */
  readonly maxConfirmationAgeForKeysMs: number;
  /** Age beyond which an unknown key or route may only not be known yet. */
  readonly maxConfirmationAgeForUnknownMs: number;
  /** Memory for bodies of requests in progress, in bytes. */
  readonly maxBodyBytesInUse: number;
}

/** Why a request was refused before it was forwarded. */
interface Refusal {
  readonly status: 400 | 401 | 404 | 413 | 503;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** A body as far as it was read before the request is forwarded. */
interface ReceivedBody {
  readonly body: RequestBody;
  /** Memory that it takes. */
  readonly bufferedBytes: number;
}

type Admission =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "admitted";
    readonly id: RequestId;
    readonly route: GatewayRoute;
    readonly keyHolder: KeyHolder | undefined;
    readonly activeConfiguration: ActiveConfiguration;
  };

/** The gateway of one daemon. */
export class Gateway {
  readonly #services: GatewayServices;
  readonly #clock: Clock;
  readonly #state: ConfigurationState;
  readonly #limits: () => GatewayLimits;
  readonly #hasher: Hasher;
  #bodyBytesInUse = 0;
  #isDraining = false;
  #isAdmissionStopped = false;
  #activeCount = 0;

  /**
   * @param services - What forwarding works with.
   * @param state - The configuration.
   * @param limits - Limits of the present.
   * @param hasher - Spreads requests over the targets of a route.
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
  }

  /** Requests in progress. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /**
   * From now on no generation begins that would be cut when this host stops:
   * its caller finds another host at once.
   */
  beginDrain(): void {
    this.#isDraining = true;
  }

  /** From now on nothing begins: it could not end before this host stops. */
  stopAdmitting(): void {
    this.#isAdmissionStopped = true;
  }

  /** Takes a request from its head to its end. */
  async handle(exchange: CallerExchange): Promise<void> {
    this.#activeCount++;
    exchange.onDidEnd(() => this.#activeCount--);
    const callerFields = this.#services.codec.readCallerHeaders(
      exchange.headers,
    );
    const admission = this.#admit(exchange, callerFields);
    if (admission.kind === "refused") {
      this.#refuse(exchange, callerFields, admission.refusal);
      return;
    }
    const { configuration } = admission.activeConfiguration;
    const { maxBodyBytes } = configuration.limits;
    const isGeneration = admission.route.kind.kind === "generation";
    const read = await exchange.readBody({
      maxBytes: maxBodyBytes,
      // A generation may have to go on elsewhere, with its prompt.
      maxBufferedBytes: isGeneration
        ? maxBodyBytes
        : MAX_BUFFERED_CALL_BODY_BYTES,
    });
    switch (read.kind) {
      case "left":
        return;
      case "too-large":
        this.#refuse(exchange, callerFields, {
          status: 413,
          reason: `the body is larger than ${maxBodyBytes} bytes`,
        });
        return;
      case "whole":
        this.#forward(exchange, callerFields, admission, {
          body: read.body,
          bufferedBytes: read.body?.byteLength ?? 0,
        });
        return;
      case "streamed":
        this.#forward(exchange, callerFields, admission, {
          body: read.body,
          bufferedBytes: read.bufferedBytes,
        });
    }
  }

  #forward(
    exchange: CallerExchange,
    fields: CallerFields,
    {
      id,
      route,
      keyHolder: keyHolder,
      activeConfiguration: activeConfiguration,
    }: Admission & { kind: "admitted" },
    { body, bufferedBytes: bufferedBytes }: ReceivedBody,
  ): void {
    const { configuration } = activeConfiguration;
    const fraction = this.#hasher.hash32(id) / HASH_RANGE;
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
    const { maxBodyBytesInUse } = this.#limits();
    if (this.#bodyBytesInUse + bufferedBytes > maxBodyBytesInUse) {
      this.#refuse(exchange, fields, {
        status: 503,
        reason: "the bodies of other requests fill the memory",
        retryAfterMs: BODY_MEMORY_RETRY_AFTER_MS,
      });
      return;
    }
    this.#bodyBytesInUse += bufferedBytes;
    exchange.onDidEnd(() => {
      this.#bodyBytesInUse -= bufferedBytes;
    });
    const timeoutMs = fields.timeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS;
    const request: AdmittedRequest = {
      id,
      exchange,
      fields,
      route,
      service,
      keyHolder: keyHolder,
      areKeysConfigured: configuration.keys !== undefined,
      body,
      deadlineMs: exchange.receivedMs + Math.min(timeoutMs, route.timeoutMs),
    };
    const context = new RequestContext(this.#services, request);
    switch (route.kind.kind) {
      case "generation":
        new GenerationForwarder(context).start();
        return;
      case "idempotent":
      case "non-idempotent":
        void new CallForwarder(context).run();
    }
  }

  #admit(exchange: CallerExchange, fields: CallerFields): Admission {
    if (this.#isAdmissionStopped) {
      return refusedAdmission(503, "this host stops", STOPPING_RETRY_AFTER_MS);
    }
    const activeConfiguration = this.#state.current;
    if (!activeConfiguration) {
      return refusedAdmission(
        503,
        "no configuration is known yet",
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
          "no route, and the configuration may be old",
          UNCONFIRMED_RETRY_AFTER_MS,
        )
        : refusedAdmission(404, "no route");
    }
    const { keys } = activeConfiguration.configuration;
    const { kind } = route;
    if (this.#isDraining && kind.kind === "generation" && !kind.isResumable) {
      return refusedAdmission(503, "this host stops", STOPPING_RETRY_AFTER_MS);
    }
    if (!keys || route.isPublic) {
      return {
        kind: "admitted",
        id: requestId,
        route,
        keyHolder: undefined,
        activeConfiguration: activeConfiguration,
      };
    }
    if (confirmationAgeMs > limits.maxConfirmationAgeForKeysMs) {
      return refusedAdmission(
        503,
        "keys cannot be vouched for now",
        UNCONFIRMED_RETRY_AFTER_MS,
      );
    }
    const holder = fields.apiKey === undefined
      ? undefined
      : keys.get(fields.apiKey);
    if (!holder) {
      return mayBeStale
        ? refusedAdmission(
          503,
          "unknown key, and the configuration may be old",
          UNCONFIRMED_RETRY_AFTER_MS,
        )
        : refusedAdmission(401, "unknown key");
    }
    return {
      kind: "admitted",
      id: requestId,
      route,
      keyHolder: holder,
      activeConfiguration: activeConfiguration,
    };
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
