/**
 * The rights of one request to be sent: it waits for one where that is useful,
 * and is refused with the time to come back otherwise.
 */

import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Longest wait for a right. Longer ones would promise rights of a limit that
 * may have changed by then.
 */
const MAX_WAIT_MS = 2_000;

/** Rights of one request. */
export class RequestRights {
  readonly #context: RequestContext;
  #deniedRetryAfterMs: number | undefined;

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
      .filter((endpoint) => this.#context.accepts(endpoint));
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
    const { priority } = this.#context;
    const shareOfTime = 1 / (1 + Math.max(0, priority) / 2);
    return Math.min(MAX_WAIT_MS, dueInMs * shareOfTime);
  }

  /**
   * Takes the right to send the request to an endpoint, if one is needed, and
   * waits until it may be sent.
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
    if (!limits.isLimited(endpoint)) return true;
    const offer = await limits.take(endpoint, maxWaitMs);
    if (offer.kind === "granted") return true;
    this.#deniedRetryAfterMs = offer.retryAfterMs;
    this.#context.log("info", "right-denied", {
      endpoint: endpoint.id,
      maxWaitMs: Math.round(maxWaitMs),
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
    const { clock, limits, registry } = services;
    const nowMs = clock.monotonicMs();
    const endpoints = registry.usable(request.service.id)
      .filter((endpoint) =>
        !excludedEndpoints.has(endpoint.id) && this.#context.accepts(endpoint)
      );
    if (!endpoints.every((endpoint) => endpoint.isWithheld(nowMs))) {
      return undefined;
    }
    const limited = endpoints.filter((endpoint) =>
      !endpoint.isHeld(nowMs) && limits.isLimited(endpoint)
    );
    limited.sort((left, right) => left.limitedUntilMs - right.limitedUntilMs);
    return limited[0];
  }
}
