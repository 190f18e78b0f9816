/** Figures of the policy of a group's dispatcher. */

import type { MarginRule } from "./endpoint_state.ts";

/** What weighs more when memory is short. */
export type OptimizationGoal = "stall" | "token-latency";

/** Figures that a policy is made of. */
export interface GroupPolicy {
  readonly margin: MarginRule;
  /** Value of a token of a prompt that the endpoint holds already. */
  readonly affinityWeight: number;
  /** Value of a grant less on the endpoint, in tokens. */
  readonly crowdingTokens: number;
  /** Flows of a class that are tried when the first does not fit. */
  readonly lookAhead: number;
  /** Most grants on one endpoint before its own limit is known. */
  readonly slotLimit: number;
  readonly maxQueued: number;
  readonly maxQueuedBytes: number;
  /** Part of the patience that the forecast wait may take. */
  readonly patienceShare: number;
  /** Part of the memory that is kept free for higher classes. */
  readonly reservedShare: number;
  /** Part of the batch that is kept free for higher classes. */
  readonly reservedSlotShare: number;
}

const STALL_MARGIN: MarginRule = {
  initialDeviations: 2,
  minDeviations: 1,
  maxDeviations: 4,
  onPreemption: 0.25,
  onQuiet: 0.002,
};

const STALL_POLICY: GroupPolicy = {
  margin: STALL_MARGIN,
  affinityWeight: 4,
  crowdingTokens: 400,
  lookAhead: 4,
  slotLimit: 256,
  maxQueued: 4_000,
  maxQueuedBytes: 256 * 1_024 * 1_024,
  patienceShare: 1.1,
  reservedShare: 0.06,
  reservedSlotShare: 0.12,
};

/**
 * @param favour - What weighs more.
 * @returns The figures.
 */
export function policyFor(favour: OptimizationGoal): GroupPolicy {
  switch (favour) {
    case "stall":
      return STALL_POLICY;
    case "token-latency":
      return {
        ...STALL_POLICY,
        affinityWeight: 8,
        crowdingTokens: 1_000,
      };
  }
}
