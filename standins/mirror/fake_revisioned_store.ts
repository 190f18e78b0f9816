/**
 * In-memory implementation of the revisioned store, with injectable failures.
 */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import type {
  ItemChange,
  ItemListing,
  LeaseGrant,
  LeaseStore,
  RevisionedStore,
  StoreCallFailure,
  StoreItem,
  WatchResult,
} from "../../src/services/mirror/common/revisioned_store.ts";

const POLL_INTERVAL_MS = 5;

/** Contents of a store at one time. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoreItem>;
  readonly revision: number;
  readonly leases: ReadonlyMap<number, Set<string>>;
  readonly nextLease: number;
}

/** A store with a global revision counter, compactable history and leases. */
export class FakeRevisionedStore implements RevisionedStore, LeaseStore {
  readonly #clock: Clock;
  #items = new Map<string, StoreItem>();
  #era = 1;
  #history: ItemChange[] = [];
  #revision = 1;
  #compactedRevision = 0;
  #leases = new Map<number, Set<string>>();
  #nextLease = 1;
  /** Failure that every call returns, if set. */
  failure: StoreCallFailure | undefined;
  callCount = 0;

  /** @param clock - Clock for the wait time of watches. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of times that the store was restored from a copy. */
  get era(): number {
    return this.#era;
  }

  /** @returns A copy of the contents, to be restored later. */
  copy(): StoreCopy {
    return {
      items: new Map(this.#items),
      revision: this.#revision,
      leases: new Map(
        [...this.#leases].map(([lease, keys]) => [lease, new Set(keys)]),
      ),
      nextLease: this.#nextLease,
    };
  }

  /** Restores a copy, as if nothing had been written since. */
  restore({ items, leases, nextLease, revision }: StoreCopy): void {
    this.#era++;
    this.#items = new Map(items);
    this.#leases = new Map(leases);
    this.#nextLease = nextLease;
    this.#revision = revision;
    this.compact();
  }

  /** Current store revision. */
  get revision(): number {
    return this.#revision;
  }

  /** @returns The revision of a key; 0 if it does not exist. */
  revisionOf(key: string): number {
    return this.#items.get(key)?.revision ?? 0;
  }

  put(key: string, text: string): void {
    const value = new TextEncoder().encode(text);
    const item = { key, value, revision: ++this.#revision };
    this.#items.set(key, item);
    this.#history.push({ kind: "put", ...item });
  }

  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    const revision = ++this.#revision;
    this.#history.push({ kind: "removed", key, revision });
  }

  /** Deletes the history, so that watches from earlier revisions fail. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
  }

  /** Revokes all leases, as may happen during an outage of the store. */
  expireAllLeases(): void {
    for (const keys of this.#leases.values()) {
      for (const key of keys) this.remove(key);
    }
    this.#leases.clear();
  }

  keys(): string[] {
    return [...this.#items.keys()];
  }

  list(prefix: string): AsyncEither<StoreCallFailure, ItemListing> {
    return this.#answer(() => ({
      items: [...this.#items.values()].filter(({ key }) =>
        key.startsWith(prefix)
      ),
      revision: this.#revision,
    }));
  }

  async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): AsyncEither<StoreCallFailure, WatchResult> {
    this.callCount++;
    const untilMs = this.#clock.monotonicMs() + waitMs;
    for (;;) {
      if (this.failure) return Left(this.failure);
      const isUnknown = afterRevision < this.#compactedRevision ||
        afterRevision > this.#revision;
      if (isUnknown) {
        return Left({
          kind: "compacted",
          message: "the requested history has been compacted",
        });
      }
      const changes = this.#history.filter((change) =>
        change.revision > afterRevision && change.key.startsWith(prefix)
      );
      const isOver = this.#clock.monotonicMs() >= untilMs;
      if (changes.length > 0 || isOver) {
        return Right({ changes, revision: this.#revision });
      }
      await sleep(this.#clock, POLL_INTERVAL_MS);
    }
  }

  grantLease(ttlMs: number): AsyncEither<StoreCallFailure, LeaseGrant> {
    return this.#answer(() => {
      const lease = this.#nextLease++;
      this.#leases.set(lease, new Set());
      return { lease, ttlMs };
    });
  }

  renewLease(lease: number): AsyncEither<StoreCallFailure, void> {
    if (!this.failure && !this.#leases.has(lease)) {
      return Promise.resolve(
        Left({
          kind: "not-found",
          message: "the lease has expired or been revoked",
        }),
      );
    }
    return this.#answer(() => undefined);
  }

  revokeLease(lease: number): AsyncEither<StoreCallFailure, void> {
    return this.#answer(() => {
      for (const key of this.#leases.get(lease) ?? []) this.remove(key);
      this.#leases.delete(lease);
    });
  }

  putLeased(
    key: string,
    value: Uint8Array,
    lease: number,
    expectedRevision?: number,
  ): AsyncEither<StoreCallFailure, void> {
    const isExpected = expectedRevision === undefined ||
      expectedRevision === this.revisionOf(key);
    if (!this.failure && !isExpected) {
      this.callCount++;
      return Promise.resolve(
        Left({ kind: "refused", message: "the key has another revision" }),
      );
    }
    return this.#answer(() => {
      this.put(key, new TextDecoder().decode(value));
      this.#leases.get(lease)?.add(key);
    });
  }

  #answer<T>(compute: () => T): AsyncEither<StoreCallFailure, T> {
    this.callCount++;
    return Promise.resolve(
      this.failure ? Left(this.failure) : Right(compute()),
    );
  }
}
