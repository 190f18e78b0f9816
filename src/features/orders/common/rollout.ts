/**
 * Types of rollouts: desired and observed engine states, the stages and steps
 * of a rollout, and the order that brings an engine closer to its desired
 * state.
 */

import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import type {
  EngineOrder,
  EngineState,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";

/** Model, version and adapters that every engine of a service should load. */
export interface DesiredState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /**
   * Time for which the first engine with a new version is observed before any
   * other engine is changed, in milliseconds.
   */
  readonly canaryObserveMs: number;
}

/** State of one endpoint, as read in one reconciliation pass. */
export interface ObservedEndpoint {
  readonly id: EndpointId;
  /** `undefined` if the state could not be read. */
  readonly state: EngineState | undefined;
  /** `undefined` if the load report could not be read. */
  readonly load: LoadReport | undefined;
}

/** Stage of a rollout. */
export type RolloutStage =
  /** Every endpoint has the desired state. */
  | { readonly kind: "settled" }
  /** One endpoint is being drained or changed. */
  | { readonly kind: "changing"; readonly endpoint: EndpointId }
  /** A changed endpoint serves with the new version and is being observed. */
  | { readonly kind: "observing"; readonly endpoint: EndpointId }
  /**
   * The rollout waits for the next download or for another serving endpoint.
   */
  | { readonly kind: "waiting"; readonly reason: string }
  /** A changed endpoint failed; no further endpoint is changed. */
  | {
    readonly kind: "stopped";
    readonly endpoint: EndpointId;
    readonly reason: string;
  };

/** Next step of a rollout; there is at most one step per pass. */
export type RolloutStep =
  | { readonly kind: "none" }
  /** Stop sending new requests to the endpoint. */
  | { readonly kind: "drain"; readonly endpoint: EndpointId }
  /** Send requests to the endpoint again. */
  | { readonly kind: "undrain"; readonly endpoint: EndpointId }
  | {
    readonly kind: "order";
    readonly endpoint: EndpointId;
    readonly order: EngineOrder;
  }
  /** Stop the rollout because the endpoint failed, and record the stop. */
  | {
    readonly kind: "stop";
    readonly endpoint: EndpointId;
    readonly reason: string;
  };

/** Status of a service's rollout in one zone, as reported to operators. */
export interface RolloutStatus {
  readonly service: ServiceId;
  readonly desired: DesiredState;
  readonly stage: RolloutStage;
  readonly endpoints: readonly ObservedEndpoint[];
}

/**
 * Builds a key that identifies a desired state. The observation time and the
 * order of the adapters are ignored.
 *
 * @param desired - The desired state.
 * @returns The key; equal for states with the same model, version and adapters.
 */
export function toDesiredKey(desired: DesiredState): string {
  const adapters = [...desired.adapters].sort().join(",");
  return `${desired.model}@${desired.version}+${adapters}`;
}

/**
 * Finds the next order that brings an engine closer to its desired state.
 *
 * @param state - Current state of the engine.
 * @param desired - Desired state of the engine.
 * @returns The order, or `undefined` if the engine is in the desired state.
 */
export function findNextOrder(
  state: EngineState,
  desired: DesiredState,
): EngineOrder | undefined {
  const { model, version } = desired;
  if (state.model !== model || state.version !== version) {
    return { kind: "load-model", model, version };
  }
  const missing = desired.adapters.find((name) =>
    !state.adapters.includes(name)
  );
  if (missing !== undefined) return { kind: "load-adapter", adapter: missing };
  const surplus = state.adapters.find((name) =>
    !desired.adapters.includes(name)
  );
  if (surplus !== undefined) {
    return { kind: "unload-adapter", adapter: surplus };
  }
  if (state.role !== "serve") return { kind: "set-role", role: "serve" };
  return undefined;
}
