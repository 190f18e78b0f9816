/** Chooses the endpoint of a request. */

import { PROMPT_BLOCK_TOKENS } from "../../../services/endpoints/common/prompt_blocks.ts";
import type { EndpointAllowance, EndpointState } from "./endpoint_state.ts";
import type { GroupPolicy } from "./group_policy.ts";
import type { GroupRequest } from "./group_requests.ts";
import {
  createEmptyProfile,
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
export interface Placement {
  readonly state: EndpointState;
  /** Memory of the prompt that is not shared with the prefix cache. */
  readonly baseTokens: number;
}

/** Why a request has no place now. */
export type PlacementFailure = "no-endpoint" | "no-room";

/** Weighs memory headroom against cached prefixes. */
export class EndpointSelector {
  readonly #policy: GroupPolicy;
  readonly #prefixIndex: PrefixIndex;
  readonly #cachedBlockCounts = new Uint16Array(MAX_GROUP_ENDPOINTS);
  readonly #reducedProfile = createEmptyProfile();

  /**
   * @param policy - Weights.
   * @param index - Which endpoints hold which prefixes.
   */
  constructor(policy: GroupPolicy, index: PrefixIndex) {
    this.#policy = policy;
    this.#prefixIndex = index;
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
  select(
    request: GroupRequest,
    expectedTokens: number,
    full: MemoryProfile,
    states: readonly EndpointState[],
    share: number,
    higherPart: number,
    nowMs: number,
  ): Placement | PlacementFailure {
    this.#prefixIndex.countCachedBlocks(
      request.blocks,
      this.#cachedBlockCounts,
    );
    const allowance: EndpointAllowance = {
      share,
      memoryShare: 1 - this.#policy.reservedShare * higherPart,
      slotShare: 1 - this.#policy.reservedSlotShare * higherPart,
      marginShare: Math.min(1, expectedTokens / FULL_MARGIN_TOKENS),
    };
    // When all are ejected, a try tells more than a wait.
    const isEjectionKept = states.some((state) =>
      isEligible(state, request) && !state.isEjected(nowMs)
    );
    let isAnyUsable = false;
    let best: Placement | undefined;
    let bestScore = -Infinity;
    for (const state of states) {
      if (!isEligible(state, request)) continue;
      if (isEjectionKept && state.isEjected(nowMs)) continue;
      isAnyUsable = true;
      if (!state.hasFreeSlot(allowance, nowMs)) continue;
      const cachedTokens = Math.min(
        request.promptTokens - 1,
        this.#cachedBlockCounts[state.groupIndex]! * PROMPT_BLOCK_TOKENS,
      );
      const baseTokens = request.promptTokens - Math.max(0, cachedTokens);
      const profile = this.#profileFor(
        full,
        request.promptTokens,
        baseTokens,
      );
      const headroom = state.headroomTokensWith(profile, allowance, nowMs);
      // An empty endpoint takes any request, or the largest would never run.
      if (headroom < 0 && state.reservations.size > 0) continue;
      const score = headroom + this.#policy.affinityWeight * cachedTokens -
        this.#policy.crowdingTokens * state.reservations.size;
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
      this.#reducedProfile.meanTokens[index] = meanTokens[index]! * kept;
      this.#reducedProfile.varianceTokens[index] = varianceTokens[index]! *
        kept * kept;
    }
    return this.#reducedProfile;
  }
}

function isEligible(state: EndpointState, request: GroupRequest): boolean {
  return !state.isDraining && !state.isUnreachable &&
    !request.excludedEndpoints.includes(state.endpoint.id);
}
