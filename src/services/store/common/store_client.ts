/** Contract with the platform's key-value service. */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Brand } from "../../../base/common/brand.ts";
import type { Eventually } from "../../../base/common/result.ts";

/** Id of a lease at the store. */
export type LeaseId = Brand<string, "LeaseId">;

/** Largest value that the store takes, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_048_576;

/** One key with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the last write of this key. */
  readonly revision: number;
}

/** All keys under a prefix at one revision. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  /** Revision of the whole store when the listing was made. */
  readonly revision: number;
}

/** Why a call of the store failed. */
export type StoreFailureKind =
  /** The call had no effect: it was refused or never sent. */
  | "not-done"
  /** The store refused the call because of its rate limit; no effect. */
  | "rate-limited"
  /** The answer was lost; a write may have taken effect. */
  | "unknown";

/** A failed call of the store. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** A compare-and-swap write of one key. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  /** Revision that the key must have; 0 when it must not exist. */
  readonly expectedRevision: number;
  /** Lease with which the key disappears. */
  readonly leaseId?: LeaseId;
}

/** A compare-and-swap delete of one key. */
export interface StoreDelete {
  readonly key: string;
  readonly expectedRevision: number;
}

/** Result of a compare-and-swap that the store decided. */
export type StoreWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined };

/** One change that a watch reports. */
export type StoreChange =
  | { readonly kind: "put"; readonly entry: StoreEntry }
  | {
    readonly kind: "delete";
    readonly key: string;
    readonly revision: number;
  };

/** Why a watch ended; the watcher lists again and starts a new one. */
export type WatchEndReason = "compacted" | "lost" | "refused";

/** Receiver of a watch. */
export interface WatchListener {
  /** @param changes - Changes in the order of their revisions. */
  onChanges(changes: readonly StoreChange[]): void;
  /** @param reason - Called at most once; nothing follows. */
  onEnded(reason: WatchEndReason): void;
}

/** A lease that the store granted. */
export interface StoreLease {
  readonly id: LeaseId;
  /** Time to live from the moment of the call, in milliseconds. */
  readonly ttlMs: number;
}

/** Client of the store. Every method counts as one call against its rate. */
export interface StoreClient extends Disposable {
  /** @returns The entry, or `undefined` when the key does not exist. */
  get(key: string): Eventually<StoreFailure, StoreEntry | undefined>;

  /** @returns All entries whose key starts with `prefix`. */
  list(prefix: string): Eventually<StoreFailure, StoreListing>;

  /** Writes one key when its revision is the expected one. */
  put(write: StorePut): Eventually<StoreFailure, StoreWriteResult>;

  /** Deletes one key when its revision is the expected one. */
  delete(write: StoreDelete): Eventually<StoreFailure, StoreWriteResult>;

  /**
   * Watches all keys under a prefix.
   *
   * @param prefix - Start of the keys.
   * @param afterRevision - Changes after this store revision are reported.
   * @param listener - Receives changes and the end of the watch.
   * @returns Disposing it ends the watch without calling `onEnded`.
   */
  watch(
    prefix: string,
    afterRevision: number,
    listener: WatchListener,
  ): Disposable;

  /**
   * @param ttlMs - Wanted time to live in milliseconds; whole seconds.
   * @returns The lease.
   */
  grantLease(ttlMs: number): Eventually<StoreFailure, StoreLease>;

  /** @returns The renewed lease, or `undefined` when it has lapsed. */
  renewLease(id: LeaseId): Eventually<StoreFailure, StoreLease | undefined>;

  /** Ends a lease and deletes its keys. */
  revokeLease(id: LeaseId): Eventually<StoreFailure, void>;
}
