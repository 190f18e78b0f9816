/** Finds out whether a silent engine still lives. */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import { leftOf } from "../../../base/common/result.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { EngineControl } from "./engine_control.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** A verdict holds for this long, so that many silent streams ask once. */
const VERDICT_LIFETIME_MS = 400;

/** What a probe has shown. */
export type ProbeVerdict = "alive" | "dark";

interface Verdict {
  readonly atMs: number;
  readonly result: Promise<ProbeVerdict>;
}

/** Asks engines for a report when their streams are silent. */
export class EndpointProbe {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #control: EngineControl;
  readonly #verdicts = new Map<RegisteredEndpoint, Verdict>();
  readonly #wentDark = new Emitter<RegisteredEndpoint>();

  /** Fires when an engine gave no answer to a probe. */
  readonly onDidGoDark = this.#wentDark.event;

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
  check(endpoint: RegisteredEndpoint): Promise<ProbeVerdict> {
    const nowMs = this.#clock.monotonicMs();
    const known = this.#verdicts.get(endpoint);
    if (known && nowMs - known.atMs < VERDICT_LIFETIME_MS) return known.result;
    const result = this.#ask(endpoint);
    this.#verdicts.set(endpoint, { atMs: nowMs, result });
    return result;
  }

  async #ask(endpoint: RegisteredEndpoint): Promise<ProbeVerdict> {
    const { id, address } = endpoint.announcement;
    const report = await this.#control.readReport(address);
    const mistake = leftOf(report);
    this.#clock.setTimer(VERDICT_LIFETIME_MS, () => {
      this.#verdicts.delete(endpoint);
    });
    if (mistake === undefined) return "alive";
    endpoint.health.eject(this.#clock.monotonicMs());
    this.#metrics.count("endpoints_ejected", "dark");
    this.#logger.log("warn", "endpoint-dark", {
      endpoint: id,
      address,
      detail: mistake,
    });
    this.#wentDark.fire(endpoint);
    return "dark";
  }
}
