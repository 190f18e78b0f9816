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

/** What one mirror tells another. */
export interface MirrorSnapshot {
  readonly revision: number;
  /** Items newer than the revision that was asked for. */
  readonly items: readonly StoreItem[];
  /** All keys that exist, so that removals show. */
  readonly keys: readonly string[];
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
    this.#replace(items, keys, revision);
    this.#confirm(askedAt);
  }

  /** Takes in the changes that a watch heard. */
  applyChanges(
    changes: readonly StoreChange[],
    revision: number,
    askedAt: Stamp,
  ): void {
    const applied: MirrorChange[] = [];
    for (const change of changes) {
      const known = this.#items.get(change.key);
      if (known && known.revision >= change.revision) continue;
      if (change.kind === "removed") {
        if (!this.#items.delete(change.key)) continue;
        applied.push({ key: change.key, item: undefined });
      } else {
        const { key, value, revision: changedAt } = change;
        const item: StoreItem = { key, value, revision: changedAt };
        this.#items.set(key, item);
        applied.push({ key, item });
      }
    }
    this.#revision = Math.max(this.#revision, revision);
    this.#confirm(askedAt);
    if (applied.length > 0) this.#changed.fire(applied);
  }

  /**
   * @param sinceRevision - Revision that the one who asks has.
   * @returns What it lacks.
   */
  snapshotSince(sinceRevision: number): MirrorSnapshot {
    const items = [...this.#items.values()];
    return {
      revision: this.#revision,
      items: items.filter(({ revision }) => revision > sinceRevision),
      keys: items.map(({ key }) => key),
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
    this.#replace(
      snapshot.items,
      new Set(snapshot.keys),
      snapshot.revision,
    );
    if (Number.isFinite(snapshot.ageMs)) {
      this.#confirm(stampBefore(askedAt, snapshot.ageMs));
    }
  }

  #confirm(at: Stamp): void {
    if (ageMs(this.#clock, at) < this.confirmationAgeMs) this.#confirmed = at;
  }

  #replace(
    items: readonly StoreItem[],
    keys: ReadonlySet<string>,
    revision: number,
  ): void {
    const applied: MirrorChange[] = [];
    for (const item of items) {
      const known = this.#items.get(item.key);
      if (known && known.revision >= item.revision) continue;
      this.#items.set(item.key, item);
      applied.push({ key: item.key, item });
    }
    for (const [key, item] of this.#items) {
      if (keys.has(key) || item.revision > revision) continue;
      this.#items.delete(key);
      applied.push({ key, item: undefined });
    }
    this.#revision = Math.max(this.#revision, revision);
    if (applied.length > 0) this.#changed.fire(applied);
  }
}
