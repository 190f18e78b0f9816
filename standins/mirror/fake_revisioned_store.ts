/** A store with revisions, watches and faults, in this process. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import { type Eventually, Left, Right } from "../../src/base/common/result.ts";
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

/** Keys, one revision counter and a history that can be dropped. */
export class FakeRevisionedStore implements RevisionedStore, LeaseStore {
  readonly #clock: Clock;
  readonly #items = new Map<string, StoreItem>();
  #history: ItemChange[] = [];
  #revision = 1;
  #compactedRevision = 0;
  #leases = new Map<number, Set<string>>();
  #nextLease = 1;
  /** How calls fail now, if they do. */
  failure: StoreCallFailure | undefined;
  callCount = 0;

  /** @param clock - Clock of the watches. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Newest revision. */
  get revision(): number {
    return this.#revision;
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

  /** Forgets all history. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
  }

  /** Ends all leases at once, as an outage may. */
  expireAllLeases(): void {
    for (const keys of this.#leases.values()) {
      for (const key of keys) this.remove(key);
    }
    this.#leases.clear();
  }

  keys(): string[] {
    return [...this.#items.keys()];
  }

  list(prefix: string): Eventually<StoreCallFailure, ItemListing> {
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
  ): Eventually<StoreCallFailure, WatchResult> {
    this.callCount++;
    const untilMs = this.#clock.monotonicMs() + waitMs;
    for (;;) {
      if (this.failure) return Left(this.failure);
      if (afterRevision < this.#compactedRevision) {
        return Left({ kind: "compacted", message: "history is gone" });
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

  grantLease(ttlMs: number): Eventually<StoreCallFailure, LeaseGrant> {
    return this.#answer(() => {
      const lease = this.#nextLease++;
      this.#leases.set(lease, new Set());
      return { lease, ttlMs };
    });
  }

  renewLease(lease: number): Eventually<StoreCallFailure, void> {
    if (!this.failure && !this.#leases.has(lease)) {
      return Promise.resolve(Left({ kind: "not-found", message: "ended" }));
    }
    return this.#answer(() => undefined);
  }

  revokeLease(lease: number): Eventually<StoreCallFailure, void> {
    return this.#answer(() => {
      for (const key of this.#leases.get(lease) ?? []) this.remove(key);
      this.#leases.delete(lease);
    });
  }

  putLeased(
    key: string,
    value: Uint8Array,
    lease: number,
  ): Eventually<StoreCallFailure, void> {
    return this.#answer(() => {
      this.put(key, new TextDecoder().decode(value));
      this.#leases.get(lease)?.add(key);
    });
  }

  #answer<T>(compute: () => T): Eventually<StoreCallFailure, T> {
    this.callCount++;
    return Promise.resolve(
      this.failure ? Left(this.failure) : Right(compute()),
    );
  }
}
