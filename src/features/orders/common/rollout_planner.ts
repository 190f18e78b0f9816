/**
 * Plans the rollout of a service in one zone. Endpoints are changed one at a
 * time, each is drained before its model changes, and the first changed
 * endpoint is observed as a canary before the others are changed.
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

/** Time within which a drain has reached every daemon. */
const DRAIN_PROPAGATION_MS = 3_000;
/**
 * Time without an answer after which a changed endpoint is considered failed.
 */
const UNRESPONSIVE_TIMEOUT_MS = 10_000;
/**
 * Multiple of the observation time after which a canary passes even if it has
 * not processed requests for the full observation time.
 */
const IDLE_OBSERVATION_FACTOR = 10;

/** Input of the planner in one pass. */
export interface PlannerInput {
  readonly nowMs: number;
  readonly desired: DesiredState;
  readonly endpoints: readonly ObservedEndpoint[];
  /** Whether the download limit allows another model load now. */
  readonly canStartDownload: boolean;
  /** Number of the service's endpoints in other zones that are not draining. */
  readonly servingInOtherZones: number;
}

/** An endpoint that is being drained and changed. */
interface EndpointChange {
  readonly endpoint: EndpointId;
  readonly isCanary: boolean;
  readonly drainedMs: number;
  lastSeenMs: number;
}

/** A changed endpoint that is being observed for failures. */
interface EndpointWatch {
  readonly endpoint: EndpointId;
  readonly incarnation: string | undefined;
  readonly startedMs: number;
  lastSeenMs: number;
  /**
   * Time during which the endpoint was observed with requests, in milliseconds.
   */
  busyMs: number;
}

const NO_STEP: RolloutStep = { kind: "none" };

/** Keeps the state of one rollout and plans its next step. */
export class RolloutPlanner {
  #desiredKey = "";
  #change: EndpointChange | undefined;
  #watches: EndpointWatch[] = [];
  #isCanaryPassed = false;
  #stage: RolloutStage = { kind: "settled" };

  /** Current stage of the rollout. */
  get stage(): RolloutStage {
    return this.#stage;
  }

  /** Restores a stop that an earlier lease holder recorded. */
  restoreStop(
    desired: DesiredState,
    endpoint: EndpointId,
    reason: string,
  ): void {
    this.#desiredKey = toDesiredKey(desired);
    this.#stage = { kind: "stopped", endpoint, reason };
  }

  /**
   * Plans the next step.
   *
   * @param input - Desired state and current state of the endpoints.
   * @returns The step, which the caller must execute before the next pass.
   */
  plan(input: PlannerInput): RolloutStep {
    const drainedEndpoint = this.#resetIfDesiredChanged(input.desired);
    if (drainedEndpoint) return { kind: "undrain", endpoint: drainedEndpoint };
    if (this.#stage.kind === "stopped") return NO_STEP;
    const failed = this.#findFailure(input);
    if (failed) return this.#stop(failed.endpoint, failed.reason);
    if (this.#change) return this.#continueChange(input, this.#change);
    if (this.#isObservingCanary(input)) return NO_STEP;
    return this.#startNextChange(input);
  }

  /**
   * Starts over if the desired state has changed.
   *
   * @returns The endpoint that the abandoned rollout has left drained, if any.
   */
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

  #startNextChange(input: PlannerInput): RolloutStep {
    const outdated = input.endpoints.filter(({ state }) =>
      state && findNextOrder(state, input.desired)
    );
    const next = outdated[0];
    if (!next?.state) {
      this.#stage = { kind: "settled" };
      return NO_STEP;
    }
    const order = findNextOrder(next.state, input.desired)!;
    // Adapters are loaded while requests are running, so no drain is needed.
    if (order.kind !== "load-model") return this.#issue(next.id, order, input);
    if (!input.canStartDownload) return this.#wait("for the next download");
    if (this.#countOthersServing(input, next.id) === 0 && isServing(next)) {
      return this.#wait("for another serving endpoint");
    }
    this.#change = {
      endpoint: next.id,
      isCanary: !this.#isCanaryPassed,
      drainedMs: input.nowMs,
      lastSeenMs: input.nowMs,
    };
    this.#stage = { kind: "changing", endpoint: next.id };
    return { kind: "drain", endpoint: next.id };
  }

  #continueChange(input: PlannerInput, change: EndpointChange): RolloutStep {
    const seen = input.endpoints.find(({ id }) => id === change.endpoint);
    if (!seen?.state) return NO_STEP;
    change.lastSeenMs = input.nowMs;
    const order = findNextOrder(seen.state, input.desired);
    if (!order) return this.#finishChange(input, change, seen);
    if (
      !isIdleSince(
        seen.load,
        change.drainedMs + DRAIN_PROPAGATION_MS,
        input.nowMs,
      )
    ) {
      return NO_STEP;
    }
    return this.#issue(change.endpoint, order, input);
  }

  #finishChange(
    input: PlannerInput,
    change: EndpointChange,
    seen: ObservedEndpoint,
  ): RolloutStep {
    this.#change = undefined;
    this.#watches.push({
      endpoint: change.endpoint,
      incarnation: seen.load?.incarnation,
      startedMs: input.nowMs,
      lastSeenMs: input.nowMs,
      busyMs: 0,
    });
    this.#stage = { kind: "observing", endpoint: change.endpoint };
    return { kind: "undrain", endpoint: change.endpoint };
  }

  #isObservingCanary(input: PlannerInput): boolean {
    const canary = this.#watches[0];
    if (this.#isCanaryPassed || !canary) return false;
    if (isObservationComplete(canary, input)) {
      this.#isCanaryPassed = true;
      return false;
    }
    return true;
  }

  /** Finds a changed endpoint that is unresponsive or has restarted. */
  #findFailure(
    input: PlannerInput,
  ): { readonly endpoint: EndpointId; readonly reason: string } | undefined {
    const change = this.#change;
    const isChangeSeen = input.endpoints.some(({ id, state }) =>
      id === change?.endpoint && state
    );
    if (change && !isChangeSeen && isUnresponsive(change, input.nowMs)) {
      return {
        endpoint: change.endpoint,
        reason: "endpoint stopped answering during the change",
      };
    }
    for (const watch of this.#watches) {
      const reason = this.#checkWatch(watch, input);
      if (reason) return { endpoint: watch.endpoint, reason };
    }
    this.#watches = this.#watches.filter((watch) =>
      !this.#isCanaryPassed || !isObservationComplete(watch, input)
    );
    return undefined;
  }

  #checkWatch(watch: EndpointWatch, input: PlannerInput): string | undefined {
    const seen = input.endpoints.find(({ id }) => id === watch.endpoint);
    const incarnation = seen?.load?.incarnation;
    if (
      incarnation !== undefined && watch.incarnation !== undefined &&
      incarnation !== watch.incarnation
    ) {
      return "endpoint restarted with the new version";
    }
    if (seen?.state) {
      if (seen.load && seen.load.running > 0) {
        watch.busyMs += input.nowMs - watch.lastSeenMs;
      }
      watch.lastSeenMs = input.nowMs;
    }
    return isUnresponsive(watch, input.nowMs)
      ? "endpoint stopped answering with the new version"
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
    input: PlannerInput,
  ): RolloutStep {
    if (order.kind === "load-model" && !input.canStartDownload) return NO_STEP;
    this.#stage = { kind: "changing", endpoint };
    return { kind: "order", endpoint, order };
  }

  #countOthersServing(input: PlannerInput, endpoint: EndpointId): number {
    const others = input.endpoints.filter((seen) =>
      seen.id !== endpoint && isServing(seen)
    );
    return others.length + input.servingInOtherZones;
  }
}

/**
 * Whether an endpoint has been observed long enough. Only time with running
 * requests shows that a version works, so an idle endpoint is observed longer.
 */
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

/**
 * Whether an endpoint is idle. Only a report that was created at or after
 * `sinceMs` counts, since requests may arrive until the drain has reached every
 * daemon.
 */
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
