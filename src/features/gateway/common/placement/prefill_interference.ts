/**
 * Cost of a placement for the gaps between the events of streams. While an
 * engine prefills a prompt, each step takes longer for all its runs; on a slow
 * engine, or one that is slow for a moment, the gaps then exceed what callers
 * accept. Such engines are given few long streams, and prompts go where they
 * delay the fewest.
 */

/** Figures of one engine and one generation. */
export interface InterferenceInput {
  /**
   * Gap that is expected on the engine in its slow moments while it prefills a
   * prompt, in milliseconds; `undefined` if it is unknown.
   */
  readonly expectedGapMs: number | undefined;
  /** Longest gap that callers accept; 0 if they accept any. */
  readonly gapObjectiveMs: number;
  /** Runs on the engine, which would be delayed. */
  readonly runs: number;
  /** Output that is expected of the generation, in tokens. */
  readonly outputTokens: number;
}

/**
 * Cost of one delayed stream, relative to full memory: a stream that misses its
 * objective is worth little more than one that was refused.
 */
const COST_PER_DELAYED_RUN = 0.25;
/** Cost for a long stream, which later prompts will delay in turn. */
const COST_OF_LONG_STREAM = 0.8;
/**
 * Share of the objective that the engine may use; the rest is for the network
 * and for the error of the estimate.
 */
const ENGINE_SHARE = 0.9;
/** Output from which later prompts are nearly certain to delay a stream. */
const LONG_OUTPUT_TOKENS = 256;

/**
 * Returns the cost of placing a generation on an engine.
 *
 * @param input - Figures of the engine and the generation.
 * @returns The cost, where 1 is that of full memory; 0 if the gaps stay within
 * the engine's share of the objective.
 */
export function interferenceCost(
  { expectedGapMs, gapObjectiveMs, outputTokens, runs }: InterferenceInput,
): number {
  if (expectedGapMs === undefined || gapObjectiveMs <= 0) return 0;
  if (expectedGapMs <= gapObjectiveMs * ENGINE_SHARE) return 0;
  const longShare = Math.min(1, outputTokens / LONG_OUTPUT_TOKENS);
  return COST_PER_DELAYED_RUN * runs + COST_OF_LONG_STREAM * longShare;
}
