/**
 * Earlier values of large items, from which the difference to the current value
 * is computed for mirrors that still have an earlier one. What a small change
 * of a large item costs between hosts does not grow with the item.
 */

import {
  type BytePatch,
  createPatch,
  patchBytes,
} from "../../../base/common/byte_patch.ts";
import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { StoreItem } from "./revisioned_store.ts";

/** Smaller values are sent whole. */
const MIN_PATCHED_BYTES = 4_096;
/** Earlier values kept for each item, so that a mirror may miss some changes. */
const MAX_VALUES_PER_ITEM = 4;
/** Total size of the values kept. */
const MAX_KEPT_BYTES = 8_388_608;
/** Differences kept for mirrors that ask for the same one. */
const MAX_KEPT_PATCHES = 8;
/** A patch that is larger than this share of the value is not worth it. */
const MAX_PATCH_SHARE = 0.5;

/** The change of an item, for a mirror that has an earlier value of it. */
export interface PatchedItem {
  readonly key: string;
  readonly revision: number;
  /** Revision of the value to which the patch is applied. */
  readonly baseRevision: number;
  readonly patch: BytePatch;
}

/** Keeps earlier values and computes patches. */
export class ValueHistory {
  /** Earlier values by key, the latest last. */
  readonly #values = new Map<string, readonly StoreItem[]>();
  readonly #patches = new BoundedMap<string, PatchedItem | undefined>(
    MAX_KEPT_PATCHES,
  );
  #keptBytes = 0;

  /** Keeps the value that an item had until now. */
  add(item: StoreItem): void {
    if (item.value.byteLength < MIN_PATCHED_BYTES) return;
    const values = this.#values.get(item.key) ?? [];
    this.#replace(item.key, [...values, item].slice(-MAX_VALUES_PER_ITEM));
    for (const [key, kept] of this.#values) {
      if (this.#keptBytes <= MAX_KEPT_BYTES) return;
      this.#replace(key, kept.slice(1));
    }
  }

  /** Discards the values of an item that was removed. */
  remove(key: string): void {
    this.#replace(key, []);
  }

  /**
   * @param item - The current item.
   * @param sinceRevision - Store revision of the mirror that asks.
   * @returns The difference to the value that the mirror should have, if that
   * is known and worth sending.
   */
  patchSince(item: StoreItem, sinceRevision: number): PatchedItem | undefined {
    const base = this.#values.get(item.key)?.findLast(({ revision }) =>
      revision <= sinceRevision
    );
    if (!base) return undefined;
    const id = `${item.key} ${base.revision} ${item.revision}`;
    if (!this.#patches.has(id)) this.#patches.set(id, createItem(base, item));
    return this.#patches.get(id);
  }

  #replace(key: string, values: readonly StoreItem[]): void {
    this.#keptBytes -= totalBytes(this.#values.get(key) ?? []);
    this.#keptBytes += totalBytes(values);
    if (values.length > 0) this.#values.set(key, values);
    else this.#values.delete(key);
  }
}

function createItem(
  base: StoreItem,
  { key, revision, value }: StoreItem,
): PatchedItem | undefined {
  const patch = createPatch(base.value, value);
  if (patchBytes(patch) > value.byteLength * MAX_PATCH_SHARE) return undefined;
  return { key, revision, baseRevision: base.revision, patch };
}

function totalBytes(items: readonly StoreItem[]): number {
  return items.reduce((sum, { value }) => sum + value.byteLength, 0);
}
