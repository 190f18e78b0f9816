/** Prefix cache of the simulated engine. */

import type { CacheEvent } from "../../src/services/endpoints/common/engine_client.ts";

/** Bounded set of prompt blocks with LRU eviction. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #blocks = new Map<string, true>();
  #sequence = 0;

  /** @param capacityBlocks - Maximum number of cached blocks. */
  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** @returns Number of leading blocks that are cached. */
  countCachedBlocks(blocks: readonly string[]): number {
    const firstMissing = blocks.findIndex((block) => !this.#blocks.has(block));
    return firstMissing < 0 ? blocks.length : firstMissing;
  }

  /**
   * Stores blocks and evicts the least recently used ones.
   *
   * @returns The resulting cache events.
   */
  store(blocks: readonly string[]): CacheEvent[] {
    const added = blocks.filter((block) => !this.#blocks.has(block));
    for (const block of blocks) {
      this.#blocks.delete(block);
      this.#blocks.set(block, true);
    }
    const events: CacheEvent[] = [];
    if (added.length > 0) events.push(this.#event("stored", blocks));
    const evicted = this.#evict();
    if (evicted.length > 0) events.push(this.#event("evicted", evicted));
    return events;
  }

  #evict(): string[] {
    const evicted: string[] = [];
    for (const block of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacityBlocks) break;
      this.#blocks.delete(block);
      evicted.push(block);
    }
    return evicted;
  }

  #event(kind: CacheEvent["kind"], blockHashes: readonly string[]): CacheEvent {
    return { sequence: ++this.#sequence, kind, blockHashes };
  }
}
