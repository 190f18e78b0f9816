/**
 * Holds back requests from endpoints that have turned one away and stated for
 * how long they want no more from this host.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type { RandomSource } from "../../../dispatch/common/group_dispatcher.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** Longer times are shortened, so that a wrong one does not last. */
const MAX_HOLD_MS = 120_000;
/**
 * Random part added to a hold, as a share of it, so that the requests of all
 * hosts do not return at once.
 */
const MAX_SPREAD_SHARE = 0.2;
const MAX_SPREAD_MS = 1_000;

/** Applies the times that endpoints state. */
export class EndpointHolds {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #random: RandomSource;

  /**
   * @param clock - Measures the holds.
   * @param logger - Logs each hold.
   * @param metrics - Counts the holds.
   * @param random - Spreads the ends of the holds.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
    random: RandomSource,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    this.#random = random;
  }

  /**
   * Holds an endpoint back.
   *
   * @param endpoint - The endpoint that turned a request away.
   * @param retryAfterMs - The time that it stated, in milliseconds.
   */
  hold(endpoint: RegisteredEndpoint, retryAfterMs: number): void {
    if (!(retryAfterMs > 0)) return;
    const holdMs = Math.min(MAX_HOLD_MS, retryAfterMs);
    const spreadMs = Math.min(MAX_SPREAD_MS, holdMs * MAX_SPREAD_SHARE) *
      this.#random.float();
    const untilMs = this.#clock.monotonicMs() + holdMs + spreadMs;
    if (untilMs <= endpoint.heldUntilMs) return;
    endpoint.heldUntilMs = untilMs;
    this.#metrics.count("endpoints_held");
    this.#logger.log("info", "endpoint-held", {
      endpoint: endpoint.id,
      statedMs: Math.round(retryAfterMs),
      heldMs: Math.round(holdMs + spreadMs),
    });
  }
}
