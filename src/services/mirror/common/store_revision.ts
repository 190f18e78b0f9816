/**
 * Revisions of the store across its eras. A store that is restored from a copy
 * starts a new era and gives out lower revisions again; an era is later than
 * all revisions of the eras before.
 */

/**
 * Revision with its era. Revisions are ordered as numbers: first by era, then by
 * the store's own counter.
 */
export type StoreRevision = number;

/** The counter of a store stays below this for centuries. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * @param era - Number of the era; 0 for a store without eras.
 * @param counter - The store's own revision within the era.
 */
export function storeRevision(era: number, counter: number): StoreRevision {
  return era * REVISIONS_PER_ERA + counter;
}

/** @returns The era of a revision. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** @returns The store's own counter at a revision. */
export function counterOf(revision: StoreRevision): number {
  return revision % REVISIONS_PER_ERA;
}
