/** Chooses the endpoint of a request. */

import { PROMPT_BLOCK_TOKENS } from "../../../services/endpoints/common/prompt_blocks.ts";
import type { Allowance, EndpointState } from "./endpoint_state.ts";
import type { GroupPolicy } from "./group_policy.ts";
import type { GroupRequest } from "./group_requests.ts";
import {
  createProfile,
  HORIZON_COUNT,
  HORIZON_TOKENS,
  type MemoryProfile,
} from "./memory_profile.ts";
import { MAX_GROUP_ENDPOINTS, type PrefixIndex } from "./prefix_index.ts";

/**
 * Expected length from which the whole margin is kept; a shorter answer ends
 * before the far forecast matters.
 */
const FULL_MARGIN_TOKENS = 1_024;

/** Where a request goes. */
export interface Placed {
  readonly state: EndpointState;
  /** Memory of the prompt that is not shared with the prefix cache. */
  readonly baseTokens: number;
}

/** Why a request has no place now. */
export type Unplaced = "no-endpoint" | "no-room";

/** Weighs memory headroom against cached prefixes. */
export class Placement {
  readonly #policy: GroupPolicy;
  readonly #index: PrefixIndex;
  readonly #heldBlocks = new Uint16Array(MAX_GROUP_ENDPOINTS);
  readonly #shared = createProfile();

  /**
   * @param policy - Weights.
   * @param index - Which endpoints hold which prefixes.
   */
  constructor(policy: GroupPolicy, index: PrefixIndex) {
    this.#policy = policy;
    this.#index = index;
  }

  /**
   * @param request - The request.
   * @param expectedTokens - Expected length of its answer.
   * @param full - Profile of its memory when nothing is shared.
   * @param states - Endpoints of the group.
   * @param share - Part of each endpoint that may be used.
   * @param higherPart - Part of the other classes that come before.
   * @param nowMs - The present.
   * @returns The best endpoint with room, or why there is none.
   */
  place(
    request: GroupRequest,
    expectedTokens: number,
    full: MemoryProfile,
    states: readonly EndpointState[],
    share: number,
    higherPart: number,
    nowMs: number,
  ): Placed | Unplaced {
    this.#index.countHeld(request.blocks, this.#heldBlocks);
    const allowance: Allowance = {
      share,
      memoryShare: 1 - this.#policy.reservedShare * higherPart,
      slotShare: 1 - this.#policy.reservedSlotShare * higherPart,
      marginShare: Math.min(1, expectedTokens / FULL_MARGIN_TOKENS),
    };
    // When all are ejected, a try tells more than a wait.
    const isEjectionKept = states.some((state) =>
      isCandidate(state, request) && !state.isEjected(nowMs)
    );
    let isAnyUsable = false;
    let best: Placed | undefined;
    let bestScore = -Infinity;
    for (const state of states) {
      if (!isCandidate(state, request)) continue;
      if (isEjectionKept && state.isEjected(nowMs)) continue;
      isAnyUsable = true;
      if (!state.hasSlot(allowance, nowMs)) continue;
      const cachedTokens = Math.min(
        request.promptTokens - 1,
        this.#heldBlocks[state.slot]! * PROMPT_BLOCK_TOKENS,
      );
      const baseTokens = request.promptTokens - Math.max(0, cachedTokens);
      const profile = this.#profileFor(
        full,
        request.promptTokens,
        baseTokens,
      );
      const headroom = state.headroomWith(profile, allowance, nowMs);
      // An empty endpoint takes any request, or the largest would never run.
      if (headroom < 0 && state.ledger.size > 0) continue;
      const score = headroom + this.#policy.affinityWeight * cachedTokens -
        this.#policy.crowdingTokens * state.ledger.size;
      if (score <= bestScore) continue;
      bestScore = score;
      best = { state, baseTokens };
    }
    if (best) return best;
    return isAnyUsable ? "no-room" : "no-endpoint";
  }

  /** The full profile less what the endpoint shares. */
  #profileFor(
    full: MemoryProfile,
    promptTokens: number,
    baseTokens: number,
  ): MemoryProfile {
    if (baseTokens === promptTokens) return full;
    const savedTokens = promptTokens - baseTokens;
    const { meanTokens, varianceTokens } = full;
    for (let index = 0; index < HORIZON_COUNT; index++) {
      const whole = promptTokens + HORIZON_TOKENS[index]!;
      const kept = 1 - savedTokens / whole;
      this.#shared.meanTokens[index] = meanTokens[index]! * kept;
      this.#shared.varianceTokens[index] = varianceTokens[index]! * kept * kept;
    }
    return this.#shared;
  }
}

function isCandidate(state: EndpointState, request: GroupRequest): boolean {
  return !state.isLeaving && !state.isUnreachable &&
    !request.excludedEndpoints.includes(state.endpoint.id);
}
