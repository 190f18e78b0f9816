/** Random number generator with a seed, for reproducible sequences. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Random number generator. The same seed always yields the same sequence. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  /** @param seed - Integer seed. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a uniformly distributed number in `[0, 1)`. */
  float(): number {
    return uniformFloat64(this.#generator);
  }

  /**
   * @param low - Smallest possible result.
   * @param high - Largest possible result.
   * @returns A uniformly distributed integer in `[low, high]`.
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

  /** Returns a sample of the standard normal distribution. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return radius * Math.cos(2 * Math.PI * this.float());
  }

  /**
   * @param items - Non-empty list.
   * @returns A random item of the list.
   */
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}
