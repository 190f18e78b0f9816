/** Blocks of a prompt as engines name them in their cache events. */

/** Characters of a prompt in one block. */
export const PROMPT_BLOCK_CHARACTERS = 256;
/** Tokens of a prompt in one block. */
export const PROMPT_BLOCK_TOKENS = 64;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const HASH_BASE = 36;

/**
 * @param prompt - A prompt.
 * @param maxBlocks - Most blocks that are hashed.
 * @returns Hash of each whole block; each covers all blocks before it.
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

/** FNV-1a of a text, 32 bits. */
function fnv1a(text: string): string {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0).toString(HASH_BASE);
}
