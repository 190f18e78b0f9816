/** Orders to the stand-in engine. */

import { assertNever } from "../../src/base/common/errors.ts";
import type {
  EngineState,
  FencedOrder,
} from "../../src/services/endpoints/common/engine_client.ts";

/** State of an engine that has got no order. */
export const INITIAL_ENGINE_STATE: EngineState = {
  model: "base",
  version: "1",
  adapters: [],
  role: "serve",
  highestFence: 0,
};

/**
 * @param state - State before.
 * @param fenced - The order.
 * @returns State after.
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
