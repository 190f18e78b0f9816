/**
 * Passes requests of peers on to endpoints that these peers cannot reach. A
 * request is sent once at most, always directly, and only to the endpoint that
 * the peer has chosen; all decisions about the request stay with the peer.
 */

import { type Clock, sleep } from "../../../../base/common/clock.ts";
import type { HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../../base/common/result.ts";
import type { BodyBudget } from "../../../../services/http/common/body_budget.ts";
import type { CallerExchange } from "../../../../services/http/common/caller_exchange.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughFailure,
} from "../../../../services/http/common/pass_through_client.ts";
import type { RequestBody } from "../../../../services/http/common/request_body.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import {
  decodeRelayRequest,
  encodeRelayFailure,
  encodeRelayResponse,
  type ReceivedRelay,
  relayProofText,
  type RelayRefusal,
} from "../../../../services/relay/common/relay_protocol.ts";
import type { RelaySigner } from "../../../../services/relay/common/relay_signer.ts";
import type { AnswerObserver } from "../monitoring/answer_observer.ts";
import type { EndpointEligibility } from "../endpoints/endpoint_eligibility.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import { judgeAnswer } from "../protocol/answer_verdict.ts";
import type { GatewayCodec } from "../protocol/gateway_codec.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** Bodies up to this size are read before they are passed on, in bytes. */
const MAX_BUFFERED_BODY_BYTES = 262_144;
const MAX_BODY_BYTES = 64 * 1_048_576;
/** Requests of peers in progress, beyond which further ones are refused. */
const MAX_ACTIVE_RELAYS = 200;

/** Time within which the connection has to be open; the peer asks another. */
const CONNECT_PATIENCE_MS = 150;
/**
 * Time after the deadline at which a request ends here, if the peer has not
 * ended it.
 */
const DEADLINE_MARGIN_MS = 1_000;

/**
 * Time for which a peer is asked to avoid an endpoint of an evacuated zone. It
 * learns of the evacuation itself meanwhile, and uses the endpoint again soon
 * after the zone has returned.
 */
const EVACUATED_RETRY_AFTER_MS = 1_000;

const HTTP_BAD_REQUEST = 400;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;

/** Dependencies of {@link RelayGate}. */
export interface RelayGateServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly signer: RelaySigner;
  readonly registry: EndpointRegistry;
  readonly eligibility: Pick<EndpointEligibility, "checkRules">;
  readonly codec: GatewayCodec;
  /** Client that sends only directly. */
  readonly client: PassThroughClient;
  /** Memory of the bodies of requests, also of those of callers. */
  readonly bodies: BodyBudget;
  readonly observer: AnswerObserver;
  readonly paths: OwnPaths;
}

/** Paths of this host to endpoints. */
export interface OwnPaths {
  /** @returns Whether this host cannot connect to an endpoint itself. */
  isLost(endpoint: RegisteredEndpoint): boolean;
  /** Records that a connection to an endpoint did not open in time. */
  recordTimeout(endpoint: RegisteredEndpoint): void;
}

/** Why a request is not passed on. */
interface Refusal {
  readonly refusal: RelayRefusal;
  readonly retryAfterMs?: number;
}

/** Serves the requests of peers. */
export class RelayGate {
  readonly #services: RelayGateServices;
  #activeCount = 0;
  #isStopping = false;

  /** @param services - Dependencies of the gate. */
  constructor(services: RelayGateServices) {
    this.#services = services;
  }

  /** Number of requests of peers in progress. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /** Refuses further requests; peers ask another host. */
  stopAdmitting(): void {
    this.#isStopping = true;
  }

  /** Passes a request of a peer on, or refuses it. */
  async handle(exchange: CallerExchange): Promise<void> {
    const decoded = decodeRelayRequest(exchange.headers);
    if (decoded.isLeft()) {
      const detail = String(decoded.extract());
      this.#services.logger.log("warn", "relay-unreadable", { detail });
      const headers = encodeRelayFailure({
        kind: "not-sent",
        refusal: "unreadable",
        retryAfterMs: undefined,
      });
      exchange.reply(HTTP_BAD_REQUEST, headers, `${detail}\n`);
      return;
    }
    const received = decoded.unsafeCoerce();
    const admitted = this.#admit(exchange, received);
    if (admitted.isLeft()) {
      this.#refuse(exchange, received, admitted.extract());
      return;
    }
    this.#activeCount++;
    exchange.onDidEnd(() => this.#activeCount--);
    const read = await exchange.readBody({
      maxBytes: MAX_BODY_BYTES,
      maxBufferedBytes: MAX_BUFFERED_BODY_BYTES,
      budget: this.#services.bodies,
    });
    if (read.kind === "left") return;
    if (read.kind === "no-room") {
      this.#refuse(exchange, received, { refusal: "busy" });
      return;
    }
    if (read.kind === "too-large") {
      this.#refuse(exchange, received, { refusal: "forbidden" });
      return;
    }
    // After a pause of this process, the peer may have closed its connection.
    await sleep(this.#services.clock, 0);
    if (exchange.hasEnded) return;
    // What changed while the body arrived.
    const stillAdmitted = this.#admit(exchange, received);
    if (stillAdmitted.isLeft()) {
      this.#refuse(exchange, received, stillAdmitted.extract());
      return;
    }
    const endpoint = stillAdmitted.unsafeCoerce();
    new RelayedRequest(this.#services, exchange, received, endpoint)
      .send(read.body);
  }

  #admit(
    exchange: CallerExchange,
    { fields, proof }: ReceivedRelay,
  ): Either<Refusal, RegisteredEndpoint> {
    const { clock, eligibility, paths, registry, self, signer } =
      this.#services;
    const { method, target } = exchange;
    const proofText = relayProofText(fields, method, target);
    if (fields.to !== self || !signer.verify(proofText, proof)) {
      return Left({ refusal: "forbidden" });
    }
    if (this.#isStopping) return Left({ refusal: "stopping" });
    if (this.#activeCount > MAX_ACTIVE_RELAYS) return Left({ refusal: "busy" });
    const endpoint = registry.get(fields.endpoint);
    const isKnown = endpoint?.announcement.address === fields.address;
    const mayBeAsked = fields.purpose === "control"
      ? endpoint?.isPresent
      : endpoint?.isUsable;
    if (!endpoint || !isKnown || !mayBeAsked) {
      return Left({ refusal: "no-endpoint" });
    }
    // `held` is known to earlier versions, which then ask no other peer.
    const isRequest = fields.purpose === "request";
    if (isRequest && eligibility.checkRules(endpoint, undefined)) {
      return Left({
        refusal: "held",
        retryAfterMs: EVACUATED_RETRY_AFTER_MS,
      });
    }
    const nowMs = clock.monotonicMs();
    if (nowMs - exchange.receivedMs >= fields.remainingMs) {
      return Left({ refusal: "late" });
    }
    if (endpoint.isHeld(nowMs)) {
      const retryAfterMs = endpoint.heldUntilMs - nowMs;
      return Left({ refusal: "held", retryAfterMs });
    }
    if (paths.isLost(endpoint)) return Left({ refusal: "unreachable" });
    return Right(endpoint);
  }

  #refuse(
    exchange: CallerExchange,
    { fields }: ReceivedRelay,
    { refusal, retryAfterMs }: Refusal,
  ): void {
    const { logger, metrics } = this.#services;
    metrics.count("relays_refused", refusal);
    logger.log("info", "relay-refused", {
      request: fields.requestId,
      peer: fields.from,
      endpoint: fields.endpoint,
      refusal,
    });
    const headers = encodeRelayFailure({
      kind: "not-sent",
      refusal,
      retryAfterMs,
    });
    exchange.reply(HTTP_UNAVAILABLE, headers, `${refusal}\n`);
  }
}

/** One request of a peer that was admitted. */
class RelayedRequest {
  readonly #services: RelayGateServices;
  readonly #exchange: CallerExchange;
  readonly #received: ReceivedRelay;
  readonly #endpoint: RegisteredEndpoint;
  #transfer: PassThroughExchange | undefined;
  #connectTimer: Disposable = NOOP_DISPOSABLE;
  #deadlineTimer: Disposable = NOOP_DISPOSABLE;
  #sentMs = 0;
  #isEnded = false;

  constructor(
    services: RelayGateServices,
    exchange: CallerExchange,
    received: ReceivedRelay,
    endpoint: RegisteredEndpoint,
  ) {
    this.#services = services;
    this.#exchange = exchange;
    this.#received = received;
    this.#endpoint = endpoint;
  }

  send(body: RequestBody): void {
    const { client, clock, codec } = this.#services;
    const { fields, headers } = this.#received;
    const { method, receivedMs, target } = this.#exchange;
    const remainingMs = receivedMs + fields.remainingMs - clock.monotonicMs();
    this.#deadlineTimer = clock.setTimer(
      remainingMs + DEADLINE_MARGIN_MS,
      () => {
        this.#transfer?.abort();
        this.#fail({ kind: "broken", message: "no response in time" });
      },
    );
    this.#connectTimer = clock.setTimer(CONNECT_PATIENCE_MS, () => {
      // A connection that was opened while the process paused comes first.
      this.#connectTimer = clock.setTimer(0, () => {
        this.#transfer?.abort();
        this.#services.paths.recordTimeout(this.#endpoint);
        this.#fail({ kind: "not-sent", message: "no connection in time" });
      });
    });
    this.#exchange.onDidEnd(() => this.#end());
    this.#transfer = client.send({
      address: fields.address,
      endpoint: fields.endpoint,
      method,
      target,
      requestId: fields.requestId,
      repeatableUntilMs: receivedMs + fields.remainingMs + DEADLINE_MARGIN_MS,
      headers: fields.purpose === "request"
        ? codec.withRemainingTime(headers, remainingMs)
        : headers,
      body,
    }, {
      onSent: () => {
        this.#connectTimer.dispose();
        this.#sentMs = clock.monotonicMs();
        this.#exchange.acknowledge();
      },
      onHead: (status, received) => this.#onHead(status, received),
      onData: (chunk) => this.#exchange.write(chunk),
      onEnd: () => {
        this.#log("passed-on");
        this.#exchange.end();
      },
      onFailure: (failure) => this.#fail(failure),
    });
    this.#exchange.onDidDrain(() => this.#transfer?.resume());
    if (this.#exchange.hasEnded) this.#end();
  }

  #onHead(status: number, received: readonly string[]): void {
    const { codec, observer } = this.#services;
    const { requestId } = this.#received.fields;
    const answer = codec.readResponseHeaders(status, received);
    const isOwn = answer.requestId === requestId;
    observer.observe(this.#endpoint, {
      status,
      fields: answer,
      isOwn,
      sentMs: this.#sentMs,
    });
    this.#exchange.sendHead(
      status,
      encodeRelayResponse(
        this.#exchange.method,
        status,
        received,
        (name) => codec.isProtocolHeader(name),
      ),
    );
    if (requestId === undefined) return;
    const verdict = judgeAnswer(requestId, status, answer);
    if (verdict !== "foreign" && verdict !== "unproven") return;
    // The answer to the request may still be due on the connection.
    this.#transfer?.abort();
    this.#fail({ kind: "broken", message: "an answer that proves nothing" });
  }

  #fail({ kind, message }: PassThroughFailure): void {
    if (this.#isEnded) return;
    this.#connectTimer.dispose();
    this.#log(kind, message);
    if (this.#exchange.hasSentHead) {
      this.#exchange.abort();
      return;
    }
    const headers = kind === "not-sent"
      ? encodeRelayFailure({
        kind,
        refusal: "unreachable",
        retryAfterMs: undefined,
      })
      : encodeRelayFailure({ kind });
    this.#exchange.reply(HTTP_BAD_GATEWAY, headers, `${message}\n`);
  }

  /** The peer has its answer, or does not want it any more. */
  #end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#connectTimer.dispose();
    this.#deadlineTimer.dispose();
    this.#transfer?.abort();
  }

  #log(result: string, reason?: string): void {
    const { clock, logger, metrics } = this.#services;
    const { fields } = this.#received;
    metrics.count("relays_ended", result);
    logger.log("info", "relay-ended", {
      request: fields.requestId,
      peer: fields.from,
      endpoint: fields.endpoint,
      result,
      reason,
      tookMs: Math.round(clock.monotonicMs() - this.#exchange.receivedMs),
    });
  }
}
