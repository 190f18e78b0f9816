/**
 * Plans one service's rollout in one zone: a canary first, then one endpoint
 * after the other, each drained before its model changes.
 */

import type { EndpointId } from "../../../base/common/ids.ts";
import type { LoadReport } from "../../../services/endpoints/common/engine_client.ts";
import {
  desiredKeyOf,
  type DesiredState,
  findNextOrder,
  type ObservedEndpoint,
  type RolloutStage,
  type RolloutStep,
} from "./rollout.ts";

/** Time within which every daemon has heard that an endpoint is drained. */
const DRAIN_SPREAD_MS = 3_000;
/** Time without an answer after which a changed endpoint counts as failed. */
const FAILURE_LIMIT_MS = 10_000;
/** Without requests a canary is watched for so many times its usual time. */
const IDLE_OBSERVE_FACTOR = 10;

/** What the planner sees in one round. */
export interface RolloutRound {
  readonly nowMs: number;
  readonly desired: DesiredState;
  readonly endpoints: readonly ObservedEndpoint[];
  /** Whether another download may start now. */
  readonly mayDownload: boolean;
  /** Number of endpoints of the service that serve in other zones. */
  readonly servingElsewhere: number;
}

/** The endpoint that is being changed. */
interface Change {
  readonly endpoint: EndpointId;
  readonly isCanary: boolean;
  readonly drainedMs: number;
  lastSeenMs: number;
}

/** A changed endpoint that is watched for a while. */
interface Watch {
  readonly endpoint: EndpointId;
  readonly incarnation: string | undefined;
  readonly sinceMs: number;
  lastSeenMs: number;
  /** Time seen at work, in milliseconds. */
  busyMs: number;
}

const NO_STEP: RolloutStep = { kind: "none" };

/** Remembers where a rollout stands between rounds. */
export class RolloutPlanner {
  #desiredKey = "";
  #change: Change | undefined;
  #watches: Watch[] = [];
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
    this.#desiredKey = desiredKeyOf(desired);
    this.#stage = { kind: "stopped", endpoint, reason };
  }

  /**
   * Decides what to do next.
   *
   * @param round - What is seen now.
   * @returns The step, which the caller carries out before the next round.
   */
  plan(round: RolloutRound): RolloutStep {
    const leftOver = this.#adoptDesired(round.desired);
    if (leftOver) return { kind: "undrain", endpoint: leftOver };
    if (this.#stage.kind === "stopped") return NO_STEP;
    const failed = this.#findFailure(round);
    if (failed) return this.#stop(failed.endpoint, failed.reason);
    if (this.#change) return this.#continueChange(round, this.#change);
    if (this.#isObservingCanary(round)) return NO_STEP;
    return this.#startNext(round);
  }

  /** @returns An endpoint that a dropped rollout has left drained. */
  #adoptDesired(desired: DesiredState): EndpointId | undefined {
    const key = desiredKeyOf(desired);
    if (key === this.#desiredKey) return undefined;
    const leftOver = this.#change?.endpoint ??
      (this.#stage.kind === "stopped" ? this.#stage.endpoint : undefined);
    this.#desiredKey = key;
    this.#change = undefined;
    this.#watches = [];
    this.#isCanaryPassed = false;
    this.#stage = { kind: "settled" };
    return leftOver;
  }

  #startNext(round: RolloutRound): RolloutStep {
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
    if (order.kind !== "load-model") return this.#order(next.id, order, round);
    if (!round.mayDownload) return this.#wait("for the next download");
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

  #continueChange(round: RolloutRound, change: Change): RolloutStep {
    const seen = round.endpoints.find(({ id }) => id === change.endpoint);
    if (!seen?.state) return NO_STEP;
    change.lastSeenMs = round.nowMs;
    const order = findNextOrder(seen.state, round.desired);
    if (!order) return this.#finishChange(round, change, seen);
    if (
      !isIdleSince(seen.load, change.drainedMs + DRAIN_SPREAD_MS, round.nowMs)
    ) {
      return NO_STEP;
    }
    return this.#order(change.endpoint, order, round);
  }

  #finishChange(
    round: RolloutRound,
    change: Change,
    seen: ObservedEndpoint,
  ): RolloutStep {
    this.#change = undefined;
    this.#watches.push({
      endpoint: change.endpoint,
      incarnation: seen.load?.incarnation,
      sinceMs: round.nowMs,
      lastSeenMs: round.nowMs,
      busyMs: 0,
    });
    this.#stage = { kind: "observing", endpoint: change.endpoint };
    return { kind: "undrain", endpoint: change.endpoint };
  }

  #isObservingCanary(round: RolloutRound): boolean {
    const canary = this.#watches[0];
    if (this.#isCanaryPassed || !canary) return false;
    if (isObserved(canary, round)) {
      this.#isCanaryPassed = true;
      return false;
    }
    return true;
  }

  /** A changed endpoint fails when it is gone for long or has restarted. */
  #findFailure(
    round: RolloutRound,
  ): { readonly endpoint: EndpointId; readonly reason: string } | undefined {
    const change = this.#change;
    const isChangeSeen = round.endpoints.some(({ id, state }) =>
      id === change?.endpoint && state
    );
    if (change && !isChangeSeen && isOverdue(change, round.nowMs)) {
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
      !this.#isCanaryPassed || !isObserved(watch, round)
    );
    return undefined;
  }

  #checkWatch(watch: Watch, round: RolloutRound): string | undefined {
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
    return isOverdue(watch, round.nowMs)
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

  #order(
    endpoint: EndpointId,
    order: Extract<RolloutStep, { kind: "order" }>["order"],
    round: RolloutRound,
  ): RolloutStep {
    if (order.kind === "load-model" && !round.mayDownload) return NO_STEP;
    this.#stage = { kind: "changing", endpoint };
    return { kind: "order", endpoint, order };
  }

  #countOthersServing(round: RolloutRound, endpoint: EndpointId): number {
    const near = round.endpoints.filter((seen) =>
      seen.id !== endpoint && isServing(seen)
    );
    return near.length + round.servingElsewhere;
  }
}

/** Only time at work tells that a version serves. */
function isObserved(watch: Watch, { nowMs, desired }: RolloutRound): boolean {
  const { canaryObserveMs } = desired;
  return watch.busyMs >= canaryObserveMs ||
    nowMs - watch.sinceMs >= canaryObserveMs * IDLE_OBSERVE_FACTOR;
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

function isOverdue(
  { lastSeenMs }: { readonly lastSeenMs: number },
  nowMs: number,
): boolean {
  return nowMs - lastSeenMs >= FAILURE_LIMIT_MS;
}
