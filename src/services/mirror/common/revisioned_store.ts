/**
 * Interfaces of a key-value store with a global revision counter, long-polling
 * watches and leases.
 */

import type { AsyncEither } from "../../../base/common/result.ts";

/** A key with its value and the revision of its last change. */
export interface StoreItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly revision: number;
}

/** A change of one key. */
export type ItemChange =
  | ({ readonly kind: "put" } & StoreItem)
  | {
    readonly kind: "removed";
    readonly key: string;
    readonly revision: number;
  };

/** A failed store call. */
export interface StoreCallFailure {
  /**
   * `compacted`: the requested history has been compacted. `refused`: the store
   * rejected the call, which had no effect. `not-found`: the lease has expired
   * or been revoked. `unknown`: there was no answer; the call may have taken
   * effect.
   */
  readonly kind: "compacted" | "refused" | "not-found" | "unknown";
  readonly message: string;
}

/** All items under a prefix. */
export interface ItemListing {
  readonly items: readonly StoreItem[];
  /** Store revision of the listing, from which a watch can continue. */
  readonly revision: number;
}

/** Result of one watch call. */
export interface WatchResult {
  readonly changes: readonly ItemChange[];
  /** Store revision from which the next watch can continue. */
  readonly revision: number;
}

/** Reads and watches keys. Every call returns within its timeout. */
export interface RevisionedStore {
  list(prefix: string): AsyncEither<StoreCallFailure, ItemListing>;
  /**
   * Waits for changes under a prefix.
   *
   * @param prefix - Prefix of the watched keys.
   * @param afterRevision - Store revision after which changes are returned.
   * @param waitMs - Maximum time to wait for a change, in milliseconds.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): AsyncEither<StoreCallFailure, WatchResult>;
}

/** Lease of a key that does not end by itself. */
export const NO_LEASE = 0;

/** Writes keys that exist only as long as their owner renews a lease. */
export interface LeaseStore {
  grantLease(ttlMs: number): AsyncEither<StoreCallFailure, LeaseGrant>;
  /**
   * Renews a lease. Fails with `not-found` if it has expired or been revoked.
   */
  renewLease(lease: number): AsyncEither<StoreCallFailure, void>;
  revokeLease(lease: number): AsyncEither<StoreCallFailure, void>;
  /**
   * Writes a key.
   *
   * @param key - The key.
   * @param value - Its new value.
   * @param lease - Lease of the key, or {@link NO_LEASE}.
   * @param expectedRevision - Revision that the key must have, 0 if it must not
   * exist; fails with `refused` otherwise. `undefined` accepts any.
   */
  putLeased(
    key: string,
    value: Uint8Array,
    lease: number,
    expectedRevision?: number,
  ): AsyncEither<StoreCallFailure, void>;
}

/** A granted lease and its time to live. */
export interface LeaseGrant {
  readonly lease: number;
  readonly ttlMs: number;
}
