/** Prefix cache of the stand-in engine: blocks of prompts, least recent out. */

import type { CacheEvent } from "../../src/services/endpoints/common/engine_client.ts";

/** Bounded set of blocks. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #blocks = new Map<string, true>();
  #sequence = 0;

  /** @param capacityBlocks - Most blocks that are kept. */
  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** @returns How many leading blocks are cached. */
  countCachedBlocks(blocks: readonly string[]): number {
    const firstMissing = blocks.findIndex((block) => !this.#blocks.has(block));
    return firstMissing < 0 ? blocks.length : firstMissing;
  }

  /** Stores blocks and evicts old ones; returns what changed. */
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
