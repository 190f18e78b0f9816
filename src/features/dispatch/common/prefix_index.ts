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
  readonly #holders = new Map<string, number>();
  readonly #lastSequences = new Map<number, number>();

  /** Number of blocks in the index. */
  get size(): number {
    return this.#holders.size;
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
  apply(slot: number, page: CacheEventPage): void {
    if (page.isGapped) this.forget(slot);
    for (const event of page.events) {
      for (const hash of event.blockHashes) {
        if (event.kind === "stored") this.#set(hash, slot);
        else this.#clear(hash, slot);
      }
    }
    this.#lastSequences.set(slot, page.lastSequence);
  }

  /** Assumes that an endpoint will hold a prompt that is sent to it. */
  expect(slot: number, blocks: readonly string[]): void {
    for (const hash of blocks) this.#set(hash, slot);
  }

  /** Drops all that is known of an endpoint. */
  forget(slot: number): void {
    this.#lastSequences.delete(slot);
    for (const [hash, holders] of this.#holders) {
      if ((holders & (1 << slot)) !== 0) this.#clear(hash, slot);
    }
  }

  /**
   * @param blocks - Hashes of a prompt's blocks, the first one first.
   * @param into - Receives the number of leading blocks held, by slot.
   */
  countHeld(blocks: readonly string[], into: Uint16Array): void {
    into.fill(0);
    let holders = -1;
    for (const hash of blocks) {
      holders &= this.#holders.get(hash) ?? 0;
      if (holders === 0) return;
      for (let slot = 0; slot < into.length; slot++) {
        if ((holders & (1 << slot)) !== 0) into[slot]!++;
      }
    }
  }

  #set(hash: string, slot: number): void {
    const holders = this.#holders.get(hash) ?? 0;
    this.#holders.delete(hash);
    this.#holders.set(hash, holders | (1 << slot));
    if (this.#holders.size <= MAX_INDEXED_BLOCKS) return;
    this.#holders.delete(this.#holders.keys().next().value!);
  }

  #clear(hash: string, slot: number): void {
    const holders = (this.#holders.get(hash) ?? 0) & ~(1 << slot);
    if (holders === 0) this.#holders.delete(hash);
    else this.#holders.set(hash, holders);
  }
}
