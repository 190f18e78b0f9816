/** Executes management orders on the state of the simulated engine. */

import { assertNever } from "../../src/base/common/errors.ts";
import type {
  EngineState,
  FencedOrder,
} from "../../src/services/endpoints/common/engine_client.ts";

/** State of an engine that has not received any order. */
export const INITIAL_ENGINE_STATE: EngineState = {
  model: "base",
  version: "1",
  adapters: [],
  role: "serve",
  highestFence: 0,
};

/**
 * Applies an order to the state of an engine.
 *
 * @param state - State before the order.
 * @param fenced - Order with its fencing token.
 * @returns The state after the order.
 */
export function applyOrder(
  state: EngineState,
  { fence, order }: FencedOrder,
): EngineState {
  const highestFence = Math.max(state.highestFence, fence);
  const fencedState = { ...state, highestFence };
  switch (order.kind) {
    case "load-model":
      return { ...fencedState, model: order.model, version: order.version };
    case "load-adapter":
      return {
        ...fencedState,
        adapters: [...new Set([...state.adapters, order.adapter])],
      };
    case "unload-adapter":
      return {
        ...fencedState,
        adapters: state.adapters.filter((name) => name !== order.adapter),
      };
    case "set-role":
      return { ...fencedState, role: order.role };
    default:
      return assertNever(order);
  }
}
