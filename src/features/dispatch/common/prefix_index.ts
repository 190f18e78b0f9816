/**
 * Tracks which endpoints cache which prompt prefixes, based on cache events
 * that arrive with a delay.
 */

import type { CacheEventPage } from "../../../services/endpoints/common/engine_client.ts";

/**
 * Maximum number of endpoints in a group; each endpoint uses one bit of an
 * index entry.
 */
export const MAX_GROUP_ENDPOINTS = 24;
const MAX_INDEXED_BLOCKS = 50_000;

/**
 * Index of chained block hashes. The hash of a block identifies the whole
 * prefix up to that block, so a flat map serves the purpose of a radix tree.
 */
export class PrefixIndex {
  /**
   * Bit mask of the endpoints that cache each block, least recently updated
   * blocks first.
   */
  readonly #endpointMasks = new Map<string, number>();
  readonly #lastSequences = new Map<number, number>();

  /** Number of blocks in the index. */
  get size(): number {
    return this.#endpointMasks.size;
  }

  /**
   * @returns Sequence number of the last cache event applied for an endpoint.
   */
  lastSequence(index: number): number {
    return this.#lastSequences.get(index) ?? 0;
  }

  /**
   * Applies cache events of an endpoint. A gap in the sequence discards all
   * entries of the endpoint, because evictions may have been missed.
   *
   * @param index - Index of the endpoint within its group.
   * @param page - Cache events in sequence.
   */
  applyEvents(index: number, page: CacheEventPage): void {
    if (page.isGapped) this.removeEndpoint(index);
    for (const event of page.events) {
      for (const hash of event.blockHashes) {
        if (event.kind === "stored") this.#add(hash, index);
        else this.#remove(hash, index);
      }
    }
    this.#lastSequences.set(index, page.lastSequence);
  }

  /**
   * Records that an endpoint is expected to cache a prompt that is sent to it.
   */
  addExpected(index: number, blocks: readonly string[]): void {
    for (const hash of blocks) this.#add(hash, index);
  }

  /** Removes all entries of an endpoint. */
  removeEndpoint(index: number): void {
    this.#lastSequences.delete(index);
    for (const [hash, mask] of this.#endpointMasks) {
      if ((mask & (1 << index)) !== 0) this.#remove(hash, index);
    }
  }

  /**
   * Counts the leading blocks of a prompt that each endpoint caches.
   *
   * @param blocks - Block hashes of the prompt, in order.
   * @param counts - Receives the number of cached leading blocks by endpoint
   * index.
   */
  countCachedBlocks(blocks: readonly string[], counts: Uint16Array): void {
    counts.fill(0);
    let mask = -1;
    for (const hash of blocks) {
      mask &= this.#endpointMasks.get(hash) ?? 0;
      if (mask === 0) return;
      for (let index = 0; index < counts.length; index++) {
        if ((mask & (1 << index)) !== 0) counts[index]!++;
      }
    }
  }

  #add(hash: string, index: number): void {
    const mask = this.#endpointMasks.get(hash) ?? 0;
    this.#endpointMasks.delete(hash);
    this.#endpointMasks.set(hash, mask | (1 << index));
    if (this.#endpointMasks.size <= MAX_INDEXED_BLOCKS) return;
    this.#endpointMasks.delete(this.#endpointMasks.keys().next().value!);
  }

  #remove(hash: string, index: number): void {
    const mask = (this.#endpointMasks.get(hash) ?? 0) & ~(1 << index);
    if (mask === 0) this.#endpointMasks.delete(hash);
    else this.#endpointMasks.set(hash, mask);
  }
}
