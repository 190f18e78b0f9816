/** Contract of orders to engines: desired and observed states, and rollouts. */

import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import type {
  EngineOrder,
  EngineState,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";

/** What every engine of a service is to have loaded. */
export interface DesiredState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** How long the first engine with a new version is watched alone. */
  readonly canaryObserveMs: number;
}

/** What is seen of one endpoint in one round. */
export interface ObservedEndpoint {
  readonly id: EndpointId;
  /** `undefined` when the endpoint could not be read. */
  readonly state: EngineState | undefined;
  /** `undefined` when the report could not be read. */
  readonly load: LoadReport | undefined;
}

/** How far a rollout has come. */
export type RolloutStage =
  /** Every endpoint has the desired state. */
  | { readonly kind: "settled" }
  /** One endpoint is being changed. */
  | { readonly kind: "changing"; readonly endpoint: EndpointId }
  /** The first changed endpoint serves alone with the new version. */
  | { readonly kind: "observing"; readonly endpoint: EndpointId }
  /** The rollout waits, for a download or for another endpoint to serve. */
  | { readonly kind: "waiting"; readonly reason: string }
  /** A changed endpoint failed; nothing more is changed. */
  | {
    readonly kind: "stopped";
    readonly endpoint: EndpointId;
    readonly reason: string;
  };

/** What is to be done next; at most one thing in a round. */
export type RolloutStep =
  | { readonly kind: "none" }
  /** Give the endpoint no new work. */
  | { readonly kind: "drain"; readonly endpoint: EndpointId }
  /** Give the endpoint work again. */
  | { readonly kind: "undrain"; readonly endpoint: EndpointId }
  | {
    readonly kind: "order";
    readonly endpoint: EndpointId;
    readonly order: EngineOrder;
  }
  /** Record that the rollout has stopped. */
  | {
    readonly kind: "stop";
    readonly endpoint: EndpointId;
    readonly reason: string;
  };

/** State of one service's rollout in one zone, for operators. */
export interface RolloutStatus {
  readonly service: ServiceId;
  readonly desired: DesiredState;
  readonly stage: RolloutStage;
  readonly endpoints: readonly ObservedEndpoint[];
}

/**
 * @param desired - A desired state.
 * @returns A text that differs when what is to be loaded differs.
 */
export function toDesiredKey(desired: DesiredState): string {
  const adapters = [...desired.adapters].sort().join(",");
  return `${desired.model}@${desired.version}+${adapters}`;
}

/**
 * Finds the next order that brings an engine nearer to its desired state.
 *
 * @param state - What the engine has loaded.
 * @param desired - What it is to have.
 * @returns The order, or `undefined` when nothing differs.
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
