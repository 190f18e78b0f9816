/** Contract of a key-value store with one revision counter and watches. */

import type { Eventually } from "../../../base/common/result.ts";

/** A value with the revision of its last change. */
export interface StoreItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly revision: number;
}

/** One change of a key. */
export type ItemChange =
  | ({ readonly kind: "put" } & StoreItem)
  | {
    readonly kind: "removed";
    readonly key: string;
    readonly revision: number;
  };

/** Why a call gave no result. */
export interface StoreCallFailure {
  /**
   * `compacted`: the history asked for is gone. `refused`: the store answered
   * that nothing was done. `unknown`: no answer; the call may have been done.
   */
  readonly kind: "compacted" | "refused" | "not-found" | "unknown";
  readonly message: string;
}

/** All keys under a prefix. */
export interface ItemListing {
  readonly items: readonly StoreItem[];
  /** Revision from which a watch misses nothing. */
  readonly revision: number;
}

/** What a watch heard. */
export interface WatchResult {
  readonly changes: readonly ItemChange[];
  /** Revision from which to go on. */
  readonly revision: number;
}

/** Reads and watches; every call ends by itself after its time-out. */
export interface RevisionedStore {
  list(prefix: string): Eventually<StoreCallFailure, ItemListing>;
  /** @param waitMs - How long the store waits for a first change. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Eventually<StoreCallFailure, WatchResult>;
}

/** Keys that live as long as their owner renews a lease. */
export interface LeaseStore {
  grantLease(ttlMs: number): Eventually<StoreCallFailure, LeaseGrant>;
  /** Fails with `not-found` when the lease has ended. */
  renewLease(lease: number): Eventually<StoreCallFailure, void>;
  revokeLease(lease: number): Eventually<StoreCallFailure, void>;
  putLeased(
    key: string,
    value: Uint8Array,
    lease: number,
  ): Eventually<StoreCallFailure, void>;
}

/** A lease as granted. */
export interface LeaseGrant {
  readonly lease: number;
  readonly ttlMs: number;
}
