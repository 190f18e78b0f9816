/**
 * Plans one service's rollout in one zone: a canary first, then one endpoint
 * after the other, each drained before its model changes.
 */

import type { EndpointId } from "../../../base/common/ids.ts";
import type { LoadReport } from "../../../services/endpoints/common/engine_client.ts";
import {
  type DesiredState,
  findNextOrder,
  type ObservedEndpoint,
  type RolloutStage,
  type RolloutStep,
  toDesiredKey,
} from "./rollout.ts";

/** Time within which every daemon has heard that an endpoint is drained. */
const DRAIN_PROPAGATION_MS = 3_000;
/** Time without an answer after which a changed endpoint counts as failed. */
const UNRESPONSIVE_TIMEOUT_MS = 10_000;
/** Without requests a canary is watched for so many times its usual time. */
const IDLE_OBSERVATION_FACTOR = 10;

/** What the planner sees in one round. */
export interface PlannerInput {
  readonly nowMs: number;
  readonly desired: DesiredState;
  readonly endpoints: readonly ObservedEndpoint[];
  /** Whether another download may start now. */
  readonly canStartDownload: boolean;
  /** Number of endpoints of the service that serve in other zones. */
  readonly servingInOtherZones: number;
}

/** The endpoint that is being changed. */
interface EndpointChange {
  readonly endpoint: EndpointId;
  readonly isCanary: boolean;
  readonly drainedMs: number;
  lastSeenMs: number;
}

/** A changed endpoint that is watched for a while. */
interface EndpointWatch {
  readonly endpoint: EndpointId;
  readonly incarnation: string | undefined;
  readonly startedMs: number;
  lastSeenMs: number;
  /** Time seen at work, in milliseconds. */
  busyMs: number;
}

const NO_STEP: RolloutStep = { kind: "none" };

/** Remembers where a rollout stands between rounds. */
export class RolloutPlanner {
  #desiredKey = "";
  #change: EndpointChange | undefined;
  #watches: EndpointWatch[] = [];
  #isCanaryPassed = false;
  #stage: RolloutStage = { kind: "settled" };

  /** How far the rollout has come. */
  get stage(): RolloutStage {
    return this.#stage;
  }

  /** Takes note of a stop that an earlier holder of the lease recorded. */
  restoreStop(
    desired: DesiredState,
    endpoint: EndpointId,
    reason: string,
  ): void {
    this.#desiredKey = toDesiredKey(desired);
    this.#stage = { kind: "stopped", endpoint, reason };
  }

  /**
   * Decides what to do next.
   *
   * @param round - What is seen now.
   * @returns The step, which the caller carries out before the next round.
   */
  plan(round: PlannerInput): RolloutStep {
    const drainedEndpoint = this.#resetIfDesiredChanged(round.desired);
    if (drainedEndpoint) return { kind: "undrain", endpoint: drainedEndpoint };
    if (this.#stage.kind === "stopped") return NO_STEP;
    const failed = this.#findFailure(round);
    if (failed) return this.#stop(failed.endpoint, failed.reason);
    if (this.#change) return this.#continueChange(round, this.#change);
    if (this.#isObservingCanary(round)) return NO_STEP;
    return this.#startNextChange(round);
  }

  /** @returns An endpoint that a dropped rollout has left drained. */
  #resetIfDesiredChanged(desired: DesiredState): EndpointId | undefined {
    const key = toDesiredKey(desired);
    if (key === this.#desiredKey) return undefined;
    const drainedEndpoint = this.#change?.endpoint ??
      (this.#stage.kind === "stopped" ? this.#stage.endpoint : undefined);
    this.#desiredKey = key;
    this.#change = undefined;
    this.#watches = [];
    this.#isCanaryPassed = false;
    this.#stage = { kind: "settled" };
    return drainedEndpoint;
  }

  #startNextChange(round: PlannerInput): RolloutStep {
    const outdated = round.endpoints.filter(({ state }) =>
      state && findNextOrder(state, round.desired)
    );
    const next = outdated[0];
    if (!next?.state) {
      this.#stage = { kind: "settled" };
      return NO_STEP;
    }
    const order = findNextOrder(next.state, round.desired)!;
    // An adapter is loaded beside running requests, so no drain is needed.
    if (order.kind !== "load-model") return this.#issue(next.id, order, round);
    if (!round.canStartDownload) return this.#wait("for the next download");
    if (this.#countOthersServing(round, next.id) === 0 && isServing(next)) {
      return this.#wait("for another endpoint to serve meanwhile");
    }
    this.#change = {
      endpoint: next.id,
      isCanary: !this.#isCanaryPassed,
      drainedMs: round.nowMs,
      lastSeenMs: round.nowMs,
    };
    this.#stage = { kind: "changing", endpoint: next.id };
    return { kind: "drain", endpoint: next.id };
  }

  #continueChange(round: PlannerInput, change: EndpointChange): RolloutStep {
    const seen = round.endpoints.find(({ id }) => id === change.endpoint);
    if (!seen?.state) return NO_STEP;
    change.lastSeenMs = round.nowMs;
    const order = findNextOrder(seen.state, round.desired);
    if (!order) return this.#finishChange(round, change, seen);
    if (
      !isIdleSince(
        seen.load,
        change.drainedMs + DRAIN_PROPAGATION_MS,
        round.nowMs,
      )
    ) {
      return NO_STEP;
    }
    return this.#issue(change.endpoint, order, round);
  }

  #finishChange(
    round: PlannerInput,
    change: EndpointChange,
    seen: ObservedEndpoint,
  ): RolloutStep {
    this.#change = undefined;
    this.#watches.push({
      endpoint: change.endpoint,
      incarnation: seen.load?.incarnation,
      startedMs: round.nowMs,
      lastSeenMs: round.nowMs,
      busyMs: 0,
    });
    this.#stage = { kind: "observing", endpoint: change.endpoint };
    return { kind: "undrain", endpoint: change.endpoint };
  }

  #isObservingCanary(round: PlannerInput): boolean {
    const canary = this.#watches[0];
    if (this.#isCanaryPassed || !canary) return false;
    if (isObservationComplete(canary, round)) {
      this.#isCanaryPassed = true;
      return false;
    }
    return true;
  }

  /** A changed endpoint fails when it is gone for long or has restarted. */
  #findFailure(
    round: PlannerInput,
  ): { readonly endpoint: EndpointId; readonly reason: string } | undefined {
    const change = this.#change;
    const isChangeSeen = round.endpoints.some(({ id, state }) =>
      id === change?.endpoint && state
    );
    if (change && !isChangeSeen && isUnresponsive(change, round.nowMs)) {
      return {
        endpoint: change.endpoint,
        reason: "no answer after its change",
      };
    }
    for (const watch of this.#watches) {
      const reason = this.#checkWatch(watch, round);
      if (reason) return { endpoint: watch.endpoint, reason };
    }
    this.#watches = this.#watches.filter((watch) =>
      !this.#isCanaryPassed || !isObservationComplete(watch, round)
    );
    return undefined;
  }

  #checkWatch(watch: EndpointWatch, round: PlannerInput): string | undefined {
    const seen = round.endpoints.find(({ id }) => id === watch.endpoint);
    const incarnation = seen?.load?.incarnation;
    if (
      incarnation !== undefined && watch.incarnation !== undefined &&
      incarnation !== watch.incarnation
    ) {
      return "restarted with the new version";
    }
    if (seen?.state) {
      if (seen.load && seen.load.running > 0) {
        watch.busyMs += round.nowMs - watch.lastSeenMs;
      }
      watch.lastSeenMs = round.nowMs;
    }
    return isUnresponsive(watch, round.nowMs)
      ? "no answer with the new version"
      : undefined;
  }

  #stop(endpoint: EndpointId, reason: string): RolloutStep {
    this.#change = undefined;
    this.#watches = [];
    this.#stage = { kind: "stopped", endpoint, reason };
    return { kind: "stop", endpoint, reason };
  }

  #wait(reason: string): RolloutStep {
    this.#stage = { kind: "waiting", reason };
    return NO_STEP;
  }

  #issue(
    endpoint: EndpointId,
    order: Extract<RolloutStep, { kind: "order" }>["order"],
    round: PlannerInput,
  ): RolloutStep {
    if (order.kind === "load-model" && !round.canStartDownload) return NO_STEP;
    this.#stage = { kind: "changing", endpoint };
    return { kind: "order", endpoint, order };
  }

  #countOthersServing(round: PlannerInput, endpoint: EndpointId): number {
    const others = round.endpoints.filter((seen) =>
      seen.id !== endpoint && isServing(seen)
    );
    return others.length + round.servingInOtherZones;
  }
}

/** Only time at work tells that a version serves. */
function isObservationComplete(
  watch: EndpointWatch,
  { nowMs, desired }: PlannerInput,
): boolean {
  const { canaryObserveMs } = desired;
  return watch.busyMs >= canaryObserveMs ||
    nowMs - watch.startedMs >= canaryObserveMs * IDLE_OBSERVATION_FACTOR;
}

function isServing({ state, load }: ObservedEndpoint): boolean {
  return state?.role === "serve" && load?.isLeaving !== true;
}

/** Only a report made after the drain was known everywhere says "idle". */
function isIdleSince(
  load: LoadReport | undefined,
  sinceMs: number,
  nowMs: number,
): boolean {
  if (!load) return false;
  return nowMs - load.ageMs >= sinceMs && load.running + load.queued === 0;
}

function isUnresponsive(
  { lastSeenMs }: { readonly lastSeenMs: number },
  nowMs: number,
): boolean {
  return nowMs - lastSeenMs >= UNRESPONSIVE_TIMEOUT_MS;
}
