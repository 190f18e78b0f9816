/**
 * Synchronous hash of texts for test doubles, which needs no WebAssembly module to
 * be loaded first. Results are cached.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const hashCache = new Map<string, string>();
const MAX_CACHED_HASHES = 10_000;

/**
 * Hashes a text. Not collision resistant: for simulations only.
 *
 * @param text - Text to hash.
 * @returns The 32-bit FNV-1a hash in base 36.
 */
export function hashText(text: string): string {
  const cached = hashCache.get(text);
  if (cached !== undefined) return cached;
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  const result = (hash >>> 0).toString(36);
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear();
  hashCache.set(text, result);
  return result;
}
