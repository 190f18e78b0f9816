/** Selects the endpoint of a group on which a request runs. */

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
 * Expected output length from which the full safety margin applies. Shorter
 * outputs end before the less certain part of the forecast matters.
 */
const FULL_MARGIN_TOKENS = 1_024;

/** Endpoint selected for a request. */
export interface Placement {
  readonly state: EndpointState;
  /**
   * Memory in tokens that the prompt needs beyond blocks shared with the prefix
   * cache.
   */
  readonly baseTokens: number;
}

/** Reason why no endpoint can take a request now. */
export type PlacementFailure = "no-endpoint" | "no-capacity";

/** Weighs free memory against cached prompt prefixes. */
export class EndpointSelector {
  readonly #policy: GroupPolicy;
  readonly #prefixIndex: PrefixIndex;
  readonly #cachedBlockCounts = new Uint16Array(MAX_GROUP_ENDPOINTS);
  readonly #reducedProfile = createEmptyProfile();

  /**
   * @param policy - Weights of the selection criteria.
   * @param prefixIndex - Index of the prompt prefixes cached by each endpoint.
   */
  constructor(policy: GroupPolicy, prefixIndex: PrefixIndex) {
    this.#policy = policy;
    this.#prefixIndex = prefixIndex;
  }

  /**
   * Selects the endpoint with the best score.
   *
   * @param request - Request to place.
   * @param expectedTokens - Expected output length in tokens.
   * @param uncachedProfile - Memory profile of the request if no part of its
   * prompt is cached.
   * @param states - Candidate endpoints.
   * @param share - Fraction of each endpoint that this dispatcher may use.
   * @param higherClassShare - Fraction of the other classes that have a higher
   * priority.
   * @param nowMs - Current time in milliseconds.
   * @returns The selected endpoint, or the reason why there is none.
   */
  select(
    request: GroupRequest,
    expectedTokens: number,
    uncachedProfile: MemoryProfile,
    states: readonly EndpointState[],
    share: number,
    higherClassShare: number,
    nowMs: number,
  ): Placement | PlacementFailure {
    this.#prefixIndex.countCachedBlocks(
      request.blocks,
      this.#cachedBlockCounts,
    );
    const allowance: EndpointAllowance = {
      share,
      memoryShare: 1 - this.#policy.reservedShare * higherClassShare,
      slotShare: 1 - this.#policy.reservedSlotShare * higherClassShare,
      marginShare: Math.min(1, expectedTokens / FULL_MARGIN_TOKENS),
    };
    // If all endpoints are ejected, trying one yields more information than
    // waiting.
    const mustSkipEjected = states.some((state) =>
      isEligible(state, request) && !state.isEjected(nowMs)
    );
    let isAnyUsable = false;
    let best: Placement | undefined;
    let bestScore = -Infinity;
    for (const state of states) {
      if (!isEligible(state, request)) continue;
      if (mustSkipEjected && state.isEjected(nowMs)) continue;
      isAnyUsable = true;
      if (!state.hasFreeSlot(allowance, nowMs)) continue;
      const cachedTokens = Math.min(
        request.promptTokens - 1,
        this.#cachedBlockCounts[state.groupIndex]! * PROMPT_BLOCK_TOKENS,
      );
      const baseTokens = request.promptTokens - Math.max(0, cachedTokens);
      const profile = this.#profileFor(
        uncachedProfile,
        request.promptTokens,
        baseTokens,
      );
      const headroom = state.headroomTokensWith(profile, allowance, nowMs);
      // An idle endpoint accepts any request; otherwise a request larger than
      // the usable memory would never run.
      if (headroom < 0 && state.reservations.size > 0) continue;
      const score = headroom + this.#policy.affinityWeight * cachedTokens -
        this.#policy.crowdingTokens * state.reservations.size;
      if (score <= bestScore) continue;
      bestScore = score;
      best = { state, baseTokens };
    }
    if (best) return best;
    return isAnyUsable ? "no-capacity" : "no-endpoint";
  }

  /**
   * Returns the uncached profile reduced by the memory that the endpoint shares
   * through its prefix cache.
   */
  #profileFor(
    uncachedProfile: MemoryProfile,
    promptTokens: number,
    baseTokens: number,
  ): MemoryProfile {
    if (baseTokens === promptTokens) return uncachedProfile;
    const savedTokens = promptTokens - baseTokens;
    const { meanTokens, varianceTokens } = uncachedProfile;
    for (let index = 0; index < HORIZON_COUNT; index++) {
      const uncachedTokens = promptTokens + HORIZON_TOKENS[index]!;
      const ratio = 1 - savedTokens / uncachedTokens;
      this.#reducedProfile.meanTokens[index] = meanTokens[index]! * ratio;
      this.#reducedProfile.varianceTokens[index] = varianceTokens[index]! *
        ratio * ratio;
    }
    return this.#reducedProfile;
  }
}

function isEligible(state: EndpointState, request: GroupRequest): boolean {
  return !state.isDraining && !state.isUnreachable &&
    !request.excludedEndpoints.includes(state.endpoint.id);
}
