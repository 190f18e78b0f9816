/**
 * The rights of one request to be sent, and its places at brittle endpoints: it
 * waits for them where that is useful, and is refused with the time to come back
 * otherwise.
 */

import { sleep } from "../../../../base/common/clock.ts";
import type { RoomPermit } from "../../../brittle/common/room_permits.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import { MAX_COLD_WAIT_MS } from "../limits/limit_rights.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Longest wait for a right. Longer ones would promise rights of a limit that
 * may have changed by then.
 */
const MAX_WAIT_MS = 2_000;
/** Shortest hint to a caller that found no place. */
const MIN_ROOM_RETRY_AFTER_MS = 200;

/** Rights of one request. */
export class RequestRights {
  readonly #context: RequestContext;
  #deniedRetryAfterMs: number | undefined;
  /** Place that was taken and not used yet. */
  #room:
    | { readonly endpoint: RegisteredEndpoint; readonly permit: RoomPermit }
    | undefined;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /**
   * Time until the first endpoint of the service may be sent a request again,
   * in milliseconds; `undefined` unless nothing may be sent to any.
   */
  get withheldForMs(): number | undefined {
    const { services, request } = this.#context;
    const endpoints = services.registry.usable(request.service.id)
      .filter((endpoint) => this.#mayServe(endpoint));
    const nowMs = services.clock.monotonicMs();
    if (endpoints.length === 0) return undefined;
    if (!endpoints.every((endpoint) => endpoint.isWithheld(nowMs))) {
      return undefined;
    }
    const untilMs = endpoints.map(({ withheldUntilMs }) => withheldUntilMs);
    return Math.min(...untilMs) - nowMs;
  }

  /**
   * Time after which the caller may return, in milliseconds, if nothing may be
   * sent to any endpoint now.
   */
  get retryAfterMs(): number | undefined {
    const { withheldForMs } = this;
    if (withheldForMs === undefined) return undefined;
    return Math.max(withheldForMs, this.#deniedRetryAfterMs ?? 0);
  }

  /**
   * Returns the longest useful wait for a right. It is shorter for less urgent
   * requests, so that these are refused first where rights are scarce.
   *
   * @param dueInMs - Time until the request should be sent, in milliseconds.
   * @returns The wait in milliseconds.
   */
  patienceMs(dueInMs: number): number {
    return Math.min(MAX_WAIT_MS, dueInMs * this.#shareOfTime);
  }

  get #shareOfTime(): number {
    return 1 / (1 + Math.max(0, this.#context.priority) / 2);
  }

  /** @returns Whether something must be taken before sending to an endpoint. */
  isNeeded(endpoint: RegisteredEndpoint): boolean {
    const { limits } = this.#context.services;
    return limits.isLimited(endpoint) || limits.needsRoom(endpoint);
  }

  /**
   * Takes the right to send the request to an endpoint, and a place there, if
   * they are needed, and waits until it may be sent.
   *
   * @param endpoint - The endpoint to send to.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @returns Whether the request may be sent now.
   */
  async take(
    endpoint: RegisteredEndpoint,
    maxWaitMs: number,
  ): Promise<boolean> {
    const { limits } = this.#context.services;
    this.releaseRoom();
    const hasRoom = !limits.needsRoom(endpoint) ||
      await this.#takeRoom(endpoint, maxWaitMs);
    if (!hasRoom || !limits.isLimited(endpoint)) return hasRoom;
    // The cap is in proportion too, so that urgent requests wait longest.
    const maxRightWaitMs = limits.isCold(endpoint)
      ? Math.min(maxWaitMs, MAX_COLD_WAIT_MS * this.#shareOfTime)
      : maxWaitMs;
    const offer = await limits.take(endpoint, maxRightWaitMs);
    if (offer.kind === "granted") return true;
    this.releaseRoom();
    this.#deniedRetryAfterMs = offer.retryAfterMs;
    this.#context.log("info", "right-denied", {
      endpoint: endpoint.id,
      maxWaitMs: Math.round(maxRightWaitMs),
      freeInMs: Math.round(offer.freeInMs),
      retryAfterMs: Math.round(offer.retryAfterMs),
    });
    return false;
  }

  /**
   * Returns the endpoint to wait for when the rights of all endpoints are used
   * up: the one with the next free right.
   *
   * @returns The endpoint, or `undefined` if another may be sent the request.
   */
  nextLimitedEndpoint(): RegisteredEndpoint | undefined {
    const { services, request, excludedEndpoints } = this.#context;
    const { clock, registry } = services;
    const nowMs = clock.monotonicMs();
    const endpoints = registry.usable(request.service.id)
      .filter((endpoint) =>
        !excludedEndpoints.has(endpoint.id) && this.#mayServe(endpoint)
      );
    if (!endpoints.every((endpoint) => endpoint.isWithheld(nowMs))) {
      return undefined;
    }
    const limited = endpoints.filter((endpoint) =>
      !endpoint.isHeld(nowMs) && this.isNeeded(endpoint)
    );
    limited.sort((left, right) => left.limitedUntilMs - right.limitedUntilMs);
    return limited[0];
  }

  /**
   * Uses the place that was taken for a request that is about to be sent.
   *
   * @param endpoint - The endpoint that is sent to.
   * @returns The place, to be returned when the endpoint is done with it.
   */
  useRoom(endpoint: RegisteredEndpoint): RoomPermit | undefined {
    const room = this.#room;
    if (room?.endpoint !== endpoint) return undefined;
    this.#room = undefined;
    return room.permit;
  }

  /** Returns the place that was not used. */
  releaseRoom(): void {
    this.#room?.permit.release(false);
    this.#room = undefined;
  }

  #mayServe(endpoint: RegisteredEndpoint): boolean {
    return this.#context.accepts(endpoint) &&
      this.#context.eligibility.isAllowed(endpoint);
  }

  async #takeRoom(
    endpoint: RegisteredEndpoint,
    maxWaitMs: number,
  ): Promise<boolean> {
    const { clock, limits } = this.#context.services;
    const startMs = clock.monotonicMs();
    for (;;) {
      const offer = await limits.takeRoom(endpoint, this.#context.remainingMs);
      if (offer.kind === "granted") {
        if (this.#context.hasEnded) offer.permit.release(false);
        else this.#room = { endpoint, permit: offer.permit };
        return !this.#context.hasEnded;
      }
      const nowMs = clock.monotonicMs();
      const { freeInMs } = offer;
      if (
        this.#context.hasEnded || nowMs - startMs + freeInMs > maxWaitMs
      ) {
        this.#onRoomDenied(endpoint, freeInMs, maxWaitMs);
        return false;
      }
      await sleep(clock, freeInMs);
    }
  }

  #onRoomDenied(
    endpoint: RegisteredEndpoint,
    freeInMs: number,
    maxWaitMs: number,
  ): void {
    const nowMs = this.#context.services.clock.monotonicMs();
    endpoint.limitedUntilMs = Math.max(
      endpoint.limitedUntilMs,
      nowMs + freeInMs,
    );
    this.#deniedRetryAfterMs = Math.max(freeInMs, MIN_ROOM_RETRY_AFTER_MS);
    this.#context.log("info", "room-denied", {
      endpoint: endpoint.id,
      maxWaitMs: Math.round(maxWaitMs),
      freeInMs: Math.round(freeInMs),
    });
  }
}
