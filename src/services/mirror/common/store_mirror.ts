/**
 * Local copy of the store's keys. It learns from a watch of its own or from the
 * mirrors of peers, and knows at which moment its contents were last confirmed.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import { ageMs, type Stamp, stampBefore } from "../../../base/common/stamp.ts";
import type { ItemChange, StoreItem } from "./revisioned_store.ts";

/** A key that changed; without `item` it was removed. */
export interface MirrorChange {
  readonly key: string;
  readonly item: StoreItem | undefined;
}

/** A key that was removed. */
export interface KeyRemoval {
  readonly key: string;
  readonly revision: number;
}

/** Removals that are remembered; some minutes of endpoints that come and go. */
const MAX_RETAINED_REMOVALS = 256;

/** What one mirror tells another. */
export interface MirrorSnapshot {
  readonly revision: number;
  /** Items newer than the revision that was asked for. */
  readonly items: readonly StoreItem[];
  /** Keys removed since the revision that was asked for. */
  readonly removals: readonly KeyRemoval[];
  /** All keys that exist, where the removals are not known so far back. */
  readonly keys: readonly string[] | undefined;
  /** Age of the confirmation when the snapshot was made. */
  readonly ageMs: number;
  /** Time since the store was last found disturbed. */
  readonly sinceTroubleMs: number;
}

/** Keys, values and how fresh they are. */
export class StoreMirror {
  readonly #clock: Clock;
  readonly #items = new Map<string, StoreItem>();
  readonly #didChange = new Emitter<readonly MirrorChange[]>();
  #revision = 0;
  #removals: KeyRemoval[] = [];
  /** Revision since which all removals are remembered. */
  #removalsCompleteSince = Infinity;
  #pending: MirrorChange[] = [];
  #confirmedAt: Stamp | undefined;
  #lastStoreFailure: Stamp | undefined;

  /** Fires after keys have changed. */
  readonly onDidChange = this.#didChange.event;

  /** @param clock - Clock of the confirmations. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Revision that the contents correspond to; 0 before the first listing. */
  get revision(): number {
    return this.#revision;
  }

  /** Time since the contents were known to be the newest, in milliseconds. */
  get confirmationAgeMs(): number {
    return ageMs(this.#clock, this.#confirmedAt);
  }

  /** Time since the store was last found disturbed, in milliseconds. */
  get sinceStoreFailureMs(): number {
    return ageMs(this.#clock, this.#lastStoreFailure);
  }

  /** @returns The item of a key. */
  get(key: string): StoreItem | undefined {
    return this.#items.get(key);
  }

  /** @returns The items under a prefix. */
  itemsWithPrefix(prefix: string): StoreItem[] {
    return [...this.#items.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /** Takes note that the store did not answer as it should. */
  recordStoreFailure(at: Stamp): void {
    this.#lastStoreFailure = at;
  }

  /**
   * Replaces the contents by a listing of the store.
   *
   * @param items - All items.
   * @param revision - Revision of the listing.
   * @param requestedAt - Moment at which the listing was asked for.
   */
  applyListing(
    items: readonly StoreItem[],
    revision: number,
    requestedAt: Stamp,
  ): void {
    const keys = new Set(items.map(({ key }) => key));
    this.#putNewer(items);
    this.#removeUnlisted(keys, revision);
    this.#commitRevision(revision);
    this.#confirm(requestedAt);
  }

  /** Takes in the changes that a watch heard. */
  applyChanges(
    changes: readonly ItemChange[],
    revision: number,
    requestedAt: Stamp,
  ): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#remove(change);
      else {
        const { key, value, revision: changedAt } = change;
        this.#putNewer([{ key, value, revision: changedAt }]);
      }
    }
    this.#commitRevision(revision);
    this.#confirm(requestedAt);
  }

  /**
   * @param sinceRevision - Revision that the one who asks has.
   * @returns What it lacks.
   */
  snapshotSince(sinceRevision: number): MirrorSnapshot {
    const isNewer = ({ revision }: { readonly revision: number }): boolean =>
      revision > sinceRevision;
    const items = [...this.#items.values()];
    const isLogComplete = sinceRevision >= this.#removalsCompleteSince;
    return {
      revision: this.#revision,
      items: items.filter(isNewer),
      removals: isLogComplete ? this.#removals.filter(isNewer) : [],
      keys: isLogComplete ? undefined : items.map(({ key }) => key),
      ageMs: this.confirmationAgeMs,
      sinceTroubleMs: this.sinceStoreFailureMs,
    };
  }

  /**
   * Takes in what a peer told. Its age counts from the moment of asking, so
   * that no delay on the way makes the contents seem fresher than they are.
   */
  applySnapshot(snapshot: MirrorSnapshot, requestedAt: Stamp): void {
    if (snapshot.revision < this.#revision) return;
    if (Number.isFinite(snapshot.sinceTroubleMs)) {
      const failedAt = stampBefore(requestedAt, snapshot.sinceTroubleMs);
      if (ageMs(this.#clock, failedAt) < this.sinceStoreFailureMs) {
        this.#lastStoreFailure = failedAt;
      }
    }
    this.#putNewer(snapshot.items);
    for (const removal of snapshot.removals) this.#remove(removal);
    if (snapshot.keys) {
      this.#removeUnlisted(new Set(snapshot.keys), snapshot.revision);
    }
    this.#commitRevision(snapshot.revision);
    if (Number.isFinite(snapshot.ageMs)) {
      this.#confirm(stampBefore(requestedAt, snapshot.ageMs));
    }
  }

  #confirm(at: Stamp): void {
    if (ageMs(this.#clock, at) < this.confirmationAgeMs) this.#confirmedAt = at;
  }

  #putNewer(items: readonly StoreItem[]): void {
    for (const item of items) {
      const current = this.#items.get(item.key);
      if (current && current.revision >= item.revision) continue;
      this.#items.set(item.key, item);
      this.#pending.push({ key: item.key, item });
    }
  }

  #remove(removal: KeyRemoval): void {
    const { key, revision } = removal;
    const current = this.#items.get(key);
    if (current && current.revision >= revision) return;
    this.#removals.push(removal);
    if (this.#removals.length > MAX_RETAINED_REMOVALS) {
      this.#removalsCompleteSince = this.#removals.shift()!.revision;
    }
    if (this.#items.delete(key)) this.#pending.push({ key, item: undefined });
  }

  /** Removes what a complete set of keys does not name. */
  #removeUnlisted(keys: ReadonlySet<string>, revision: number): void {
    for (const [key, item] of this.#items) {
      if (keys.has(key) || item.revision > revision) continue;
      this.#items.delete(key);
      this.#pending.push({ key, item: undefined });
    }
    // Keys that came and went in between are not known.
    this.#removals = [];
    this.#removalsCompleteSince = Math.max(this.#revision, revision);
  }

  /** Takes over a revision and tells what has changed up to it. */
  #commitRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
    const changes = this.#pending;
    if (changes.length === 0) return;
    this.#pending = [];
    this.#didChange.fire(changes);
  }
}
