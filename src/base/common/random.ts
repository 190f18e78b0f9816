/** Seeded random numbers. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Source of random numbers; the same seed gives the same sequence. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  /** @param seed - Any integer. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A number in `[0, 1)`. */
  float(): number {
    return uniformFloat64(this.#generator);
  }

  /**
   * @param low - Smallest result.
   * @param high - Largest result.
   * @returns An integer in `[low, high]`.
   */
  int(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /**
   * @param meanValue - Mean of the distribution.
   * @returns A sample of the exponential distribution.
   */
  exponential(meanValue: number): number {
    return -meanValue * Math.log(1 - this.float());
  }

  /** A sample of the standard normal distribution. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return radius * Math.cos(2 * Math.PI * this.float());
  }

  /**
   * @param items - A list that is not empty.
   * @returns One of its items.
   */
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}
