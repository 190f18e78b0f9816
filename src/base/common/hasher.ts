/**
 * Fast non-cryptographic hashing with the same results on all daemons, and
 * rendezvous hashing based on it.
 */

import xxhash from "xxhash-wasm";

/** Non-cryptographic hash function; not suitable for secrets. */
export interface Hasher {
  /**
   * @param text - Text to hash.
   * @returns The hash as an unsigned 32-bit integer.
   */
  hash32(text: string): number;

  /**
   * @param text - Text to hash.
   * @returns The 64-bit hash as 16 hexadecimal digits.
   */
  hash64Hex(text: string): string;
}

/** Loads the xxHash WebAssembly module and creates a hasher. */
export async function createHasher(): Promise<Hasher> {
  const api = await xxhash();
  return {
    hash32: (text) => api.h32(text),
    hash64Hex: (text) => api.h64ToString(text),
  };
}

/**
 * Orders candidates by rendezvous hashing. Each key has its own stable order,
 * and removing a candidate reassigns only the keys whose first candidate it was.
 *
 * @param hasher - Hash function, which must be the same on all daemons.
 * @param key - Key to assign.
 * @param candidates - Candidates for the key.
 * @returns The candidates in descending order of preference.
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
