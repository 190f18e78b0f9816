/** A short hash of a text for stand-ins, without a module to load first. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const cache = new Map<string, string>();
const MAX_CACHED = 10_000;

/**
 * @param text - Any text.
 * @returns Its 32-bit FNV-1a hash in base 36.
 */
export function shortHash(text: string): string {
  const known = cache.get(text);
  if (known !== undefined) return known;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  const result = (hash >>> 0).toString(36);
  if (cache.size >= MAX_CACHED) cache.clear();
  cache.set(text, result);
  return result;
}
