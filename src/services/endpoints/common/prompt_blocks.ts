/**
 * Splits prompts into the blocks by which engines identify cached prefixes in
 * their cache events.
 */

/** Number of prompt characters in one block. */
export const PROMPT_BLOCK_CHARACTERS = 256;
/** Number of prompt tokens in one block. */
export const PROMPT_BLOCK_TOKENS = 64;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const HASH_BASE = 36;

/**
 * Hashes the complete blocks of a prompt.
 *
 * @param prompt - The prompt.
 * @param maxBlocks - The largest number of blocks to hash.
 * @returns The hash of each complete block; each hash covers all preceding
 * blocks as well.
 */
export function hashPromptBlocks(
  prompt: string,
  maxBlocks = Infinity,
): string[] {
  const hashes: string[] = [];
  let previous = "";
  let end = PROMPT_BLOCK_CHARACTERS;
  while (end <= prompt.length && hashes.length < maxBlocks) {
    const block = prompt.slice(end - PROMPT_BLOCK_CHARACTERS, end);
    previous = fnv1a(previous + block);
    hashes.push(previous);
    end += PROMPT_BLOCK_CHARACTERS;
  }
  return hashes;
}

/** @returns The 32-bit FNV-1a hash of a text. */
function fnv1a(text: string): string {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0).toString(HASH_BASE);
}
