/** Which endpoints hold which prompt prefixes, from late cache events. */

import type { CacheEventPage } from "../../../services/endpoints/common/engine_client.ts";

/** Most endpoints of a group; each has one bit of an entry. */
export const MAX_GROUP_ENDPOINTS = 24;
const MAX_INDEXED_BLOCKS = 50_000;

/**
 * Index over chained block hashes: a hash stands for the whole prefix up to
 * its block, so that a flat table serves as a radix tree.
 */
export class PrefixIndex {
  /** Bits of the endpoints that hold a block, oldest blocks first. */
  readonly #endpointMasks = new Map<string, number>();
  readonly #lastSequences = new Map<number, number>();

  /** Number of blocks in the index. */
  get size(): number {
    return this.#endpointMasks.size;
  }

  /** @returns Sequence number up to which an endpoint's events are known. */
  lastSequence(slot: number): number {
    return this.#lastSequences.get(slot) ?? 0;
  }

  /**
   * Takes in events of an endpoint; a gap drops all trust in its blocks.
   *
   * @param slot - Number of the endpoint in the group.
   * @param page - The events.
   */
  applyEvents(slot: number, page: CacheEventPage): void {
    if (page.isGapped) this.removeEndpoint(slot);
    for (const event of page.events) {
      for (const hash of event.blockHashes) {
        if (event.kind === "stored") this.#add(hash, slot);
        else this.#remove(hash, slot);
      }
    }
    this.#lastSequences.set(slot, page.lastSequence);
  }

  /** Assumes that an endpoint will hold a prompt that is sent to it. */
  addExpected(slot: number, blocks: readonly string[]): void {
    for (const hash of blocks) this.#add(hash, slot);
  }

  /** Drops all that is known of an endpoint. */
  removeEndpoint(slot: number): void {
    this.#lastSequences.delete(slot);
    for (const [hash, holders] of this.#endpointMasks) {
      if ((holders & (1 << slot)) !== 0) this.#remove(hash, slot);
    }
  }

  /**
   * @param blocks - Hashes of a prompt's blocks, the first one first.
   * @param into - Receives the number of leading blocks held, by slot.
   */
  countCachedBlocks(blocks: readonly string[], into: Uint16Array): void {
    into.fill(0);
    let holders = -1;
    for (const hash of blocks) {
      holders &= this.#endpointMasks.get(hash) ?? 0;
      if (holders === 0) return;
      for (let slot = 0; slot < into.length; slot++) {
        if ((holders & (1 << slot)) !== 0) into[slot]!++;
      }
    }
  }

  #add(hash: string, slot: number): void {
    const holders = this.#endpointMasks.get(hash) ?? 0;
    this.#endpointMasks.delete(hash);
    this.#endpointMasks.set(hash, holders | (1 << slot));
    if (this.#endpointMasks.size <= MAX_INDEXED_BLOCKS) return;
    this.#endpointMasks.delete(this.#endpointMasks.keys().next().value!);
  }

  #remove(hash: string, slot: number): void {
    const holders = (this.#endpointMasks.get(hash) ?? 0) & ~(1 << slot);
    if (holders === 0) this.#endpointMasks.delete(hash);
    else this.#endpointMasks.set(hash, holders);
  }
}
