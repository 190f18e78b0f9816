/**
 * Forecast of the memory that a request will occupy on an engine over the next
 * decode steps. Memory is measured in tokens of KV cache.
 */

/** Forecast horizons, in generated tokens from now. */
export const HORIZON_TOKENS: readonly number[] = [
  0,
  32,
  64,
  128,
  256,
  512,
  1_024,
  1_536,
  2_048,
  3_072,
  4_096,
  6_144,
  8_192,
  12_288,
  16_384,
];

/** Number of forecast horizons. */
export const HORIZON_COUNT = HORIZON_TOKENS.length;

/**
 * Mean and variance of the memory in use at each horizon, rounded to whole
 * tokens.
 */
export interface MemoryProfile {
  readonly meanTokens: number[];
  readonly varianceTokens: number[];
}

/** Memory forecast of one request. */
export interface MemoryForecast {
  /** Expected output length in tokens. */
  readonly expectedTokens: number;
  /**
   * Writes the memory forecast into a profile. The values are integers, so that
   * adding and subtracting profiles is exact and a total returns to 0.
   *
   * @param baseTokens - Memory of the prompt in tokens.
   * @param generatedTokens - Number of tokens generated so far.
   * @param profile - Profile that receives the values.
   */
  fillProfile(
    baseTokens: number,
    generatedTokens: number,
    profile: MemoryProfile,
  ): void;
}

/** @returns A profile with all values set to 0. */
export function createEmptyProfile(): MemoryProfile {
  return {
    meanTokens: new Array<number>(HORIZON_COUNT).fill(0),
    varianceTokens: new Array<number>(HORIZON_COUNT).fill(0),
  };
}

/**
 * Fills a profile from the probability that the request is still running.
 *
 * @param baseTokens - Memory of the prompt in tokens.
 * @param generatedTokens - Number of tokens generated so far.
 * @param profile - Profile that receives the values.
 * @param survivalAt - Returns the probability that the request is still running
 * after it has generated the given number of further tokens.
 */
export function fillProfileFromSurvival(
  baseTokens: number,
  generatedTokens: number,
  profile: MemoryProfile,
  survivalAt: (furtherTokens: number) => number,
): void {
  for (let index = 0; index < HORIZON_COUNT; index++) {
    const furtherTokens = HORIZON_TOKENS[index]!;
    const memoryTokens = baseTokens + generatedTokens + furtherTokens;
    const survival = furtherTokens === 0 ? 1 : survivalAt(furtherTokens);
    profile.meanTokens[index] = Math.round(memoryTokens * survival);
    profile.varianceTokens[index] = Math.round(
      memoryTokens * memoryTokens * survival * (1 - survival),
    );
  }
}
