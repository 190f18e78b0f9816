/** Fast hashing that all daemons agree on, and rendezvous hashing over it. */

import xxhash from "xxhash-wasm";

/** A hash function that is not for secrets. */
export interface Hasher {
  /**
   * @param text - The text to hash.
   * @returns An unsigned 32-bit hash.
   */
  hash32(text: string): number;

  /**
   * @param text - The text to hash.
   * @returns A 64-bit hash as 16 hexadecimal digits.
   */
  hash64Hex(text: string): string;
}

/** Loads the xxHash module. */
export async function createHasher(): Promise<Hasher> {
  const api = await xxhash();
  return {
    hash32: (text) => api.h32(text),
    hash64Hex: (text) => api.h64ToString(text),
  };
}

/**
 * Orders candidates by rendezvous hashing: each key has its own stable order,
 * and a candidate that leaves moves only the keys that it came first for.
 *
 * @param hasher - The hash that all parties use.
 * @param key - What is to be placed.
 * @param candidates - Who may take it.
 * @returns The candidates, the first choice first.
 */
export function rendezvousOrder<T extends string>(
  hasher: Hasher,
  key: string,
  candidates: readonly T[],
): T[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: hasher.hash32(`${key}|${candidate}`),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.candidate < right.candidate ? -1 : 1)
  );
  return scored.map((entry) => entry.candidate);
}
