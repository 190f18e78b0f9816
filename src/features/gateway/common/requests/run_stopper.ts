/**
 * Stops runs at their engines when the connection that is closed may not carry
 * its end there, so that an engine would run on for nobody.
 */

import { type Clock, sleep } from "../../../../base/common/clock.ts";
import type { RequestId } from "../../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../../base/common/result.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { EngineControl } from "../protocol/engine_control.ts";

/** Maximum number of times that an engine is asked to stop a run. */
const MAX_TRIES = 4;
/** Time between two tries: another copy of the run may be in progress. */
const RETRY_INTERVAL_MS = 60;
/** Longest wait for the right to ask an engine with a limit. */
const MAX_RIGHT_WAIT_MS = 500;

/** A run whose connection was closed. */
export interface ClosedRun {
  readonly requestId: RequestId;
  /** Engine that may still run it. */
  readonly source: RegisteredEndpoint;
  /** Time since the connection carried data, in milliseconds. */
  readonly quietMs: number;
  /** @returns An engine that can receive the copy that a stop leaves behind. */
  findTarget(): RegisteredEndpoint | undefined;
}

/** Dependencies of {@link RunStopper}. */
export interface RunStopperServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly control: EngineControl;
  /** Stops count against the limits of engines. */
  readonly limits: EndpointLimits;
}

type StopResult =
  | { readonly kind: "stopped" }
  /** The engine does not run it any more. */
  | { readonly kind: "ended" }
  /** The engine may still run it. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Stops runs by a copy for which the source ends them. */
export class RunStopper {
  readonly #services: RunStopperServices;

  /** @param services - Dependencies of the stopper. */
  constructor(services: RunStopperServices) {
    this.#services = services;
  }

  /**
   * Stops a run at its engine and frees the state that remains of it.
   *
   * @param run - The run, which has no connection any more.
   */
  async stop(run: ClosedRun): Promise<void> {
    const { clock, logger, metrics } = this.#services;
    const startMs = clock.monotonicMs();
    const result = await this.#tryToStop(run);
    const isUnknown = result.kind === "unknown";
    metrics.count("runs_stopped", result.kind);
    logger.log(isUnknown ? "warn" : "info", "run-stopped", {
      request: run.requestId,
      endpoint: run.source.id,
      result: result.kind,
      ...(isUnknown && { reason: result.reason }),
      quietMs: Math.round(run.quietMs),
      tookMs: Math.round(clock.monotonicMs() - startMs),
    });
  }

  async #tryToStop(run: ClosedRun): Promise<StopResult> {
    const { clock, limits } = this.#services;
    const { source } = run;
    let reason = "";
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (tries > 0) await sleep(clock, RETRY_INTERVAL_MS);
      if (source.isHeld(clock.monotonicMs())) {
        return unknown("the engine wants no requests for now");
      }
      if (limits.isLimited(source)) {
        const offer = await limits.take(source, MAX_RIGHT_WAIT_MS);
        if (offer.kind === "denied") {
          reason = "the limit of the engine is used up";
          continue;
        }
      }
      const target = run.findTarget();
      if (!target) return unknown("no other engine can receive the copy");
      const result = await this.#stopOnce(run, target);
      if (result.kind !== "unknown") return result;
      reason = result.reason;
    }
    return unknown(reason);
  }

  async #stopOnce(
    { requestId, source }: ClosedRun,
    target: RegisteredEndpoint,
  ): Promise<StopResult> {
    const { control } = this.#services;
    const { address } = source.announcement;
    const result = await control.copyRun(
      address,
      target.announcement.address,
      requestId,
      true,
    );
    const failure = leftOf(result);
    const copy = rightOf(result) ?? failure?.keptCopy;
    if (copy) {
      await control.freeCopy(address, copy.name);
      return { kind: "stopped" };
    }
    if (failure?.kind === "no-such-run") return { kind: "ended" };
    return unknown(`${failure?.kind}: ${failure?.message}`);
  }
}

function unknown(reason: string): StopResult {
  return { kind: "unknown", reason };
}
