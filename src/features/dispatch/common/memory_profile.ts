/** Expected memory of a request over the coming decode steps. */

/** Steps ahead, in tokens, at which memory is forecast. */
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

/** Number of horizons. */
export const HORIZON_COUNT = HORIZON_TOKENS.length;

/** Mean and variance of memory at each horizon, in whole tokens. */
export interface MemoryProfile {
  readonly meanTokens: number[];
  readonly varianceTokens: number[];
}

/** Forecasts the memory of one request. */
export interface MemoryForecast {
  /** Expected length of the answer, in tokens. */
  readonly expectedTokens: number;
  /**
   * Writes the forecast. Values are whole numbers, so that sums of profiles
   * are exact and return to 0.
   *
   * @param baseTokens - Memory of the prompt.
   * @param generatedTokens - Tokens generated so far.
   * @param into - Receives the values.
   */
  fillProfile(
    baseTokens: number,
    generatedTokens: number,
    into: MemoryProfile,
  ): void;
}

/** @returns A profile of zeros. */
export function createEmptyProfile(): MemoryProfile {
  return {
    meanTokens: new Array<number>(HORIZON_COUNT).fill(0),
    varianceTokens: new Array<number>(HORIZON_COUNT).fill(0),
  };
}

/**
 * Fills a profile from the chance that the request still runs.
 *
 * @param baseTokens - Memory of the prompt.
 * @param generatedTokens - Tokens generated so far.
 * @param into - Receives the values.
 * @param survivalAt - Chance to run still after so many more tokens.
 */
export function fillProfileFromSurvival(
  baseTokens: number,
  generatedTokens: number,
  into: MemoryProfile,
  survivalAt: (furtherTokens: number) => number,
): void {
  for (let index = 0; index < HORIZON_COUNT; index++) {
    const furtherTokens = HORIZON_TOKENS[index]!;
    const held = baseTokens + generatedTokens + furtherTokens;
    const survival = furtherTokens === 0 ? 1 : survivalAt(furtherTokens);
    into.meanTokens[index] = Math.round(held * survival);
    into.varianceTokens[index] = Math.round(
      held * held * survival * (1 - survival),
    );
  }
}
