/** Finds out whether a silent engine still lives. */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import { leftOf } from "../../../base/common/result.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { EngineControl } from "./engine_control.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** A verdict holds for this long, so that many silent streams ask once. */
const RESULT_TTL_MS = 400;

/** What a probe has shown. */
export type ProbeResult = "alive" | "dark";

interface CachedProbe {
  readonly startMs: number;
  readonly result: Promise<ProbeResult>;
}

/** Asks engines for a report when their streams are silent. */
export class EndpointProbe {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #control: EngineControl;
  readonly #recentProbes = new Map<RegisteredEndpoint, CachedProbe>();
  readonly #failed = new Emitter<RegisteredEndpoint>();

  /** Fires when an engine gave no answer to a probe. */
  readonly onDidFail = this.#failed.event;

  /**
   * @param clock - Clock of the verdicts.
   * @param logger - Where verdicts are told.
   * @param metrics - Counts ejections.
   * @param control - Asks engines.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
    control: EngineControl,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    this.#control = control;
  }

  /** @returns Whether the engine answers on a connection of its own. */
  probe(endpoint: RegisteredEndpoint): Promise<ProbeResult> {
    const nowMs = this.#clock.monotonicMs();
    const cached = this.#recentProbes.get(endpoint);
    if (cached && nowMs - cached.startMs < RESULT_TTL_MS) return cached.result;
    const result = this.#probe(endpoint);
    this.#recentProbes.set(endpoint, { startMs: nowMs, result });
    return result;
  }

  async #probe(endpoint: RegisteredEndpoint): Promise<ProbeResult> {
    const { id, address } = endpoint.announcement;
    const report = await this.#control.readReport(address);
    const failure = leftOf(report);
    this.#clock.setTimer(RESULT_TTL_MS, () => {
      this.#recentProbes.delete(endpoint);
    });
    if (failure === undefined) return "alive";
    endpoint.health.eject(this.#clock.monotonicMs());
    this.#metrics.count("endpoints_ejected", "dark");
    this.#logger.log("warn", "endpoint-dark", {
      endpoint: id,
      address,
      detail: failure,
    });
    this.#failed.fire(endpoint);
    return "dark";
  }
}
