/** Client interface of the platform's key-value store. */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Brand } from "../../../base/common/brand.ts";
import type { AsyncEither } from "../../../base/common/result.ts";

/** Id of a store lease. */
export type LeaseId = Brand<string, "LeaseId">;

/** Maximum size of a value in the store, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_048_576;

/** A key with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last write to this key. */
  readonly revision: number;
}

/** All entries under a prefix at one store revision. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  /** Revision of the whole store at the time of the listing. */
  readonly revision: number;
}

/** Reason why a store call failed. */
export type StoreFailureKind =
  /** The call was refused or could not be sent, and had no effect. */
  | "not-done"
  /** The store refused the call due to its rate limit; it had no effect. */
  | "rate-limited"
  /** The answer was lost; a write may have taken effect. */
  | "unknown";

/** A failed store call. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** A compare-and-swap write to one key. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  /** Required current revision of the key; 0 if the key must not exist. */
  readonly expectedRevision: number;
  /** Lease whose expiry or revocation deletes the key. */
  readonly leaseId?: LeaseId;
}

/** A compare-and-swap deletion of one key. */
export interface StoreDelete {
  readonly key: string;
  readonly expectedRevision: number;
}

/** Result of a compare-and-swap operation that the store has completed. */
export type StoreWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined };

/** A change reported by a watch. */
export type StoreChange =
  | { readonly kind: "put"; readonly entry: StoreEntry }
  | {
    readonly kind: "delete";
    readonly key: string;
    readonly revision: number;
  };

/** Reason why a watch ended. The caller must list again before a new watch. */
export type WatchEndReason = "compacted" | "lost" | "refused";

/** Listener of a watch. */
export interface WatchListener {
  /**
   * Called with new changes.
   *
   * @param changes - The changes, ordered by revision.
   */
  onChanges(changes: readonly StoreChange[]): void;
  /**
   * Called at most once, as the last call.
   *
   * @param reason - Why the watch ended.
   */
  onEnded(reason: WatchEndReason): void;
}

/** A granted or renewed lease. */
export interface StoreLease {
  readonly id: LeaseId;
  /** Time to live, counted from the call, in milliseconds. */
  readonly ttlMs: number;
}

/** Client of the store. Each method call counts once toward the rate limit. */
export interface StoreClient extends Disposable {
  /** @returns The entry, or `undefined` if the key does not exist. */
  get(key: string): AsyncEither<StoreFailure, StoreEntry | undefined>;

  /** @returns All entries whose key starts with `prefix`. */
  list(prefix: string): AsyncEither<StoreFailure, StoreListing>;

  /** Writes a key if its revision is the expected one. */
  put(write: StorePut): AsyncEither<StoreFailure, StoreWriteResult>;

  /** Deletes a key if its revision is the expected one. */
  delete(write: StoreDelete): AsyncEither<StoreFailure, StoreWriteResult>;

  /**
   * Watches all keys under a prefix.
   *
   * @param prefix - Prefix of the watched keys.
   * @param afterRevision - Store revision after which changes are reported.
   * @param listener - Listener for the changes and the end of the watch.
   * @returns A disposable that ends the watch without calling `onEnded`.
   */
  watch(
    prefix: string,
    afterRevision: number,
    listener: WatchListener,
  ): Disposable;

  /**
   * Grants a new lease.
   *
   * @param ttlMs - Requested time to live, in milliseconds; a multiple of
   * 1,000.
   * @returns The lease.
   */
  grantLease(ttlMs: number): AsyncEither<StoreFailure, StoreLease>;

  /** @returns The renewed lease, or `undefined` if it has expired. */
  renewLease(id: LeaseId): AsyncEither<StoreFailure, StoreLease | undefined>;

  /** Revokes a lease and deletes the keys that are attached to it. */
  revokeLease(id: LeaseId): AsyncEither<StoreFailure, void>;
}
