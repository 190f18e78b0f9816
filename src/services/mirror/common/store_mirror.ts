/**
 * Local copy of the store's keys. It learns from a watch of its own or from the
 * mirrors of peers, and knows at which moment its contents were last confirmed.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import { ageMs, type Stamp, stampBefore } from "../../../base/common/stamp.ts";
import type { StoreChange, StoreItem } from "./revisioned_store.ts";

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
const MAX_REMOVALS = 256;

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
  readonly #changed = new Emitter<readonly MirrorChange[]>();
  #revision = 0;
  #removals: KeyRemoval[] = [];
  /** Revision since which all removals are remembered. */
  #removalsSince = Infinity;
  #pending: MirrorChange[] = [];
  #confirmed: Stamp | undefined;
  #trouble: Stamp | undefined;

  /** Fires after keys have changed. */
  readonly onDidChange = this.#changed.event;

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
    return ageMs(this.#clock, this.#confirmed);
  }

  /** Time since the store was last found disturbed, in milliseconds. */
  get sinceTroubleMs(): number {
    return ageMs(this.#clock, this.#trouble);
  }

  /** @returns The item of a key. */
  get(key: string): StoreItem | undefined {
    return this.#items.get(key);
  }

  /** @returns The items under a prefix. */
  itemsUnder(prefix: string): StoreItem[] {
    return [...this.#items.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /** Takes note that the store did not answer as it should. */
  noteTrouble(at: Stamp): void {
    this.#trouble = at;
  }

  /**
   * Replaces the contents by a listing of the store.
   *
   * @param items - All items.
   * @param revision - Revision of the listing.
   * @param askedAt - Moment at which the listing was asked for.
   */
  applyListing(
    items: readonly StoreItem[],
    revision: number,
    askedAt: Stamp,
  ): void {
    const keys = new Set(items.map(({ key }) => key));
    this.#putNewer(items);
    this.#removeOthers(keys, revision);
    this.#advance(revision);
    this.#confirm(askedAt);
  }

  /** Takes in the changes that a watch heard. */
  applyChanges(
    changes: readonly StoreChange[],
    revision: number,
    askedAt: Stamp,
  ): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#remove(change);
      else {
        const { key, value, revision: changedAt } = change;
        this.#putNewer([{ key, value, revision: changedAt }]);
      }
    }
    this.#advance(revision);
    this.#confirm(askedAt);
  }

  /**
   * @param sinceRevision - Revision that the one who asks has.
   * @returns What it lacks.
   */
  snapshotSince(sinceRevision: number): MirrorSnapshot {
    const isNewer = ({ revision }: { readonly revision: number }): boolean =>
      revision > sinceRevision;
    const items = [...this.#items.values()];
    const isLogComplete = sinceRevision >= this.#removalsSince;
    return {
      revision: this.#revision,
      items: items.filter(isNewer),
      removals: isLogComplete ? this.#removals.filter(isNewer) : [],
      keys: isLogComplete ? undefined : items.map(({ key }) => key),
      ageMs: this.confirmationAgeMs,
      sinceTroubleMs: this.sinceTroubleMs,
    };
  }

  /**
   * Takes in what a peer told. Its age counts from the moment of asking, so
   * that no delay on the way makes the contents seem fresher than they are.
   */
  applySnapshot(snapshot: MirrorSnapshot, askedAt: Stamp): void {
    if (snapshot.revision < this.#revision) return;
    if (Number.isFinite(snapshot.sinceTroubleMs)) {
      const trouble = stampBefore(askedAt, snapshot.sinceTroubleMs);
      if (ageMs(this.#clock, trouble) < this.sinceTroubleMs) {
        this.#trouble = trouble;
      }
    }
    this.#putNewer(snapshot.items);
    for (const removal of snapshot.removals) this.#remove(removal);
    if (snapshot.keys) {
      this.#removeOthers(new Set(snapshot.keys), snapshot.revision);
    }
    this.#advance(snapshot.revision);
    if (Number.isFinite(snapshot.ageMs)) {
      this.#confirm(stampBefore(askedAt, snapshot.ageMs));
    }
  }

  #confirm(at: Stamp): void {
    if (ageMs(this.#clock, at) < this.confirmationAgeMs) this.#confirmed = at;
  }

  #putNewer(items: readonly StoreItem[]): void {
    for (const item of items) {
      const known = this.#items.get(item.key);
      if (known && known.revision >= item.revision) continue;
      this.#items.set(item.key, item);
      this.#pending.push({ key: item.key, item });
    }
  }

  #remove(removal: KeyRemoval): void {
    const { key, revision } = removal;
    const known = this.#items.get(key);
    if (known && known.revision >= revision) return;
    this.#removals.push(removal);
    if (this.#removals.length > MAX_REMOVALS) {
      this.#removalsSince = this.#removals.shift()!.revision;
    }
    if (this.#items.delete(key)) this.#pending.push({ key, item: undefined });
  }

  /** Removes what a complete set of keys does not name. */
  #removeOthers(keys: ReadonlySet<string>, revision: number): void {
    for (const [key, item] of this.#items) {
      if (keys.has(key) || item.revision > revision) continue;
      this.#items.delete(key);
      this.#pending.push({ key, item: undefined });
    }
    // Keys that came and went in between are not known.
    this.#removals = [];
    this.#removalsSince = Math.max(this.#revision, revision);
  }

  /** Takes over a revision and tells what has changed up to it. */
  #advance(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
    const changes = this.#pending;
    if (changes.length === 0) return;
    this.#pending = [];
    this.#changed.fire(changes);
  }
}
