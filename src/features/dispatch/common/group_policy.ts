/** Tuning parameters of the dispatcher of a group. */

import type { MarginRule } from "./endpoint_state.ts";

/** Latency metric that takes precedence when memory is scarce. */
export type OptimizationGoal = "stall" | "token-latency";

/**
 * Parameters of a dispatch policy. The field names are also option names of the
 * dispatch benchmark (`NAME=VALUE`).
 */
export interface GroupPolicy {
  readonly margin: MarginRule;
  /**
   * Score of one prompt token that the endpoint has cached, in tokens of free
   * memory.
   */
  readonly affinityWeight: number;
  /** Score penalty for each grant on the endpoint, in tokens of free memory. */
  readonly crowdingTokens: number;
  /**
   * Maximum number of workspaces of a class that are tried if the first request
   * does not fit.
   */
  readonly lookAhead: number;
  /**
   * Maximum number of grants on one endpoint before its own limit has been
   * detected.
   */
  readonly slotLimit: number;
  readonly maxQueued: number;
  readonly maxQueuedBytes: number;
  /**
   * Maximum ratio of the estimated wait to the time remaining until the
   * deadline; a request with a longer wait is refused.
   */
  readonly patienceShare: number;
  /** Fraction of the memory reserved for classes of higher priority. */
  readonly reservedShare: number;
  /** Fraction of the batch slots reserved for classes of higher priority. */
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
 * Returns the policy for an optimization goal.
 *
 * @param goal - Latency metric that takes precedence.
 * @returns The parameters of the policy.
 */
export function policyFor(goal: OptimizationGoal): GroupPolicy {
  switch (goal) {
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
