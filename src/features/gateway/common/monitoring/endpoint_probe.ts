/**
 * Probes engines whose streams have stalled, to find out whether they still
 * respond.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import { leftOf } from "../../../../base/common/result.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { EngineControl } from "../protocol/engine_control.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** Lifetime of a result, so that many stalled streams share one probe. */
const RESULT_TTL_MS = 400;
/**
 * Silence from which an engine is taken for unreachable. A sound one may be
 * silent for a second.
 */
const MAX_SILENCE_MS = 1_500;

/**
 * Result of a probe. An engine that answers only through peers runs on, but
 * this host's connections to it carry no data. One that gave no answer may go
 * on, and is to be probed again.
 */
export type ProbeResult =
  | "alive"
  | "reached-by-peers"
  | "unanswered"
  | "unreachable";

/** Paths of this host to engines. */
export interface EnginePaths {
  /** Control of engines, on any path. */
  readonly control: EngineControl;
  /** @returns Whether this host cannot connect to an engine itself. */
  isLost(endpoint: RegisteredEndpoint): boolean;
  /**
   * Tries a lost path again.
   *
   * @returns Whether it has returned.
   */
  recheck(endpoint: RegisteredEndpoint): Promise<boolean>;
  /**
   * Returns whether the endpoint's host refuses connections, so that no process
   * listens there.
   */
  isRefused(endpoint: RegisteredEndpoint): boolean;
}

interface CachedProbe {
  readonly startMs: number;
  readonly result: Promise<ProbeResult>;
}

/** Probes engines by reading their reports. */
export class EndpointProbe {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #paths: EnginePaths;
  readonly #limits: EndpointLimits;
  readonly #recentProbes = new Map<RegisteredEndpoint, CachedProbe>();
  /** Monotonic time at which each engine was last heard, in milliseconds. */
  readonly #heardMs = new WeakMap<RegisteredEndpoint, number>();
  readonly #failed = new Emitter<RegisteredEndpoint>();

  /** Fires when an engine does not answer a probe. */
  readonly onDidFail = this.#failed.event;

  /**
   * @param clock - Clock for the lifetime of results.
   * @param logger - Logs engines that do not answer.
   * @param metrics - Counts ejections.
   * @param paths - Paths to the engines, by which their reports are read.
   * @param limits - Probes count against the limits of their engines.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
    paths: EnginePaths,
    limits: EndpointLimits,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    this.#paths = paths;
    this.#limits = limits;
  }

  /**
   * Probes an engine, or returns the result of a recent probe.
   *
   * @param endpoint - The endpoint of the engine.
   * @param heardMs - Monotonic time at which the prober last heard of it, in
   * milliseconds.
   * @returns Whether the engine answers on a separate connection, and whose.
   */
  probe(endpoint: RegisteredEndpoint, heardMs: number): Promise<ProbeResult> {
    const nowMs = this.#clock.monotonicMs();
    this.#recordHeard(endpoint, heardMs);
    // It has answered lately, and wants no requests.
    if (endpoint.isHeld(nowMs)) return Promise.resolve("alive");
    const cached = this.#recentProbes.get(endpoint);
    if (cached && nowMs - cached.startMs < RESULT_TTL_MS) return cached.result;
    const result = this.#probe(endpoint);
    this.#recentProbes.set(endpoint, { startMs: nowMs, result });
    return result;
  }

  async #probe(endpoint: RegisteredEndpoint): Promise<ProbeResult> {
    const { id, address } = endpoint.announcement;
    if (this.#limits.isLimited(endpoint)) {
      const offer = await this.#limits.take(endpoint, 0);
      // Others use up its rights, which it therefore answers.
      if (offer.kind === "denied") return "alive";
    }
    const report = await this.#paths.control.readReport(address);
    const failure = leftOf(report);
    this.#clock.setTimer(RESULT_TTL_MS, () => {
      this.#recentProbes.delete(endpoint);
    });
    if (failure === undefined) {
      this.#recordHeard(endpoint, this.#clock.monotonicMs());
      const isOwnPath = !this.#paths.isLost(endpoint) ||
        await this.#paths.recheck(endpoint);
      return isOwnPath ? "alive" : "reached-by-peers";
    }
    const silentMs = this.#clock.monotonicMs() -
      (this.#heardMs.get(endpoint) ?? -Infinity);
    if (silentMs < MAX_SILENCE_MS && !this.#paths.isRefused(endpoint)) {
      return "unanswered";
    }
    endpoint.health.eject(this.#clock.monotonicMs());
    this.#metrics.count("endpoints_ejected", "dark");
    this.#logger.log("warn", "endpoint-dark", {
      endpoint: id,
      address,
      detail: failure,
    });
    this.#failed.fire(endpoint);
    return "unreachable";
  }

  #recordHeard(endpoint: RegisteredEndpoint, atMs: number): void {
    const earlierMs = this.#heardMs.get(endpoint) ?? -Infinity;
    this.#heardMs.set(endpoint, Math.max(earlierMs, atMs));
  }
}
