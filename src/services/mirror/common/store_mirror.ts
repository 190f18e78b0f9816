/**
 * Local copy of the store. It is updated from a watch of the store or from
 * snapshots of the mirrors of peers, and records when its contents were last
 * confirmed to be current.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import {
  ageMs,
  type Timestamp,
  timestampBefore,
  timestampNow,
} from "../../../base/common/timestamp.ts";
import { applyPatch } from "../../../base/common/byte_patch.ts";
import { rightOf } from "../../../base/common/result.ts";
import type { ItemChange, StoreItem } from "./revisioned_store.ts";
import { StoreAvailability } from "./store_availability.ts";
import { eraOf } from "./store_revision.ts";
import { type PatchedItem, ValueHistory } from "./value_history.ts";

/** A changed key. `item` is `undefined` if the key was removed. */
export interface MirrorChange {
  readonly key: string;
  readonly item: StoreItem | undefined;
}

/** Removal of a key, with the revision of the removal. */
export interface KeyRemoval {
  readonly key: string;
  readonly revision: number;
}

/**
 * Maximum number of removals kept for snapshots. Covers a few minutes in which
 * endpoints are added and removed.
 */
const MAX_RETAINED_REMOVALS = 256;

/** Largest value that a patch may yield. */
const MAX_PATCHED_BYTES = 8_388_608;

/** Contents that one mirror sends to another. */
export interface MirrorSnapshot {
  readonly revision: number;
  /** Items that changed after the requested revision. */
  readonly items: readonly StoreItem[];
  /** Changed items of which the requesting mirror has an earlier value. */
  readonly patchedItems?: readonly PatchedItem[];
  /** Keys that were removed after the requested revision. */
  readonly removals: readonly KeyRemoval[];
  /** All existing keys, if the kept removals do not reach back far enough. */
  readonly keys: readonly string[] | undefined;
  /** Age of the last confirmation when the snapshot was created. */
  readonly ageMs: number;
  /** Time since the last disruption of the store before the confirmation. */
  readonly sinceTroubleMs: number;
}

/** Mirrors keys and values, and tracks the age of their last confirmation. */
export class StoreMirror {
  readonly #clock: Clock;
  readonly #items = new Map<string, StoreItem>();
  readonly #didChange = new Emitter<readonly MirrorChange[]>();
  readonly #didChangeEra = new Emitter<number>();
  readonly #didSkipChanges = new Emitter<number>();
  #revision = 0;
  #removals: KeyRemoval[] = [];
  /** Revision since which `#removals` is complete. */
  #removalsCompleteSince = Infinity;
  readonly #history = new ValueHistory();
  #pending: MirrorChange[] = [];
  #confirmedAt: Timestamp | undefined;
  readonly #availability: StoreAvailability;
  /** Last disruption of the store known when the contents were confirmed. */
  #disruptedAt: Timestamp | undefined;

  /** Fires after keys have been changed or removed. */
  readonly onDidChange = this.#didChange.event;

  /** Fires with the era when the contents come from a later era than before. */
  readonly onDidChangeEra = this.#didChangeEra.event;

  /**
   * Fires after the contents have been replaced by newer ones, with the longest
   * possible time in milliseconds between the two. Items that were created and
   * removed in that time have not been seen.
   */
  readonly onDidSkipChanges = this.#didSkipChanges.event;

  /**
   * @param clock - Clock for the ages of confirmations and failures.
   * @param writeIntervalMs - Interval in milliseconds at which writers renew
   * entries that lapse; 0 if it is unknown, so that entries may lapse in any
   * disruption.
   */
  constructor(clock: Clock, writeIntervalMs = 0) {
    this.#clock = clock;
    this.#availability = new StoreAvailability(clock, writeIntervalMs);
  }

  /** Store revision of the contents; 0 before the first listing or snapshot. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Time since the contents were last confirmed to be current, in milliseconds;
   * infinite if they never were.
   */
  get confirmationAgeMs(): number {
    return ageMs(this.#clock, this.#confirmedAt);
  }

  /**
   * Time since the last store failure that this host observed, in milliseconds;
   * infinite if there was none.
   */
  get sinceStoreFailureMs(): number {
    return ageMs(this.#clock, this.#availability.lastFailure);
  }

  /**
   * Time since the last store failure that a host observed before its read
   * confirmed these contents, in milliseconds; infinite if there was none. A
   * failure of another host does not count: the store may turn away that host
   * alone, and what is missing then was removed. Nor do failures that were over
   * before entries could lapse, such as those of a silent connection.
   */
  get sinceDisruptionMs(): number {
    return ageMs(this.#clock, this.#disruptedAt);
  }

  /** @returns The item with this key, if it exists. */
  get(key: string): StoreItem | undefined {
    return this.#items.get(key);
  }

  /** @returns All items whose key starts with `prefix`. */
  itemsWithPrefix(prefix: string): StoreItem[] {
    return [...this.#items.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /**
   * Records that a store call has just failed.
   *
   * @param calledAt - Time at which the call began.
   * @param isStated - Whether the store itself has refused the call.
   */
  recordStoreFailure(calledAt: Timestamp, isStated = false): void {
    if (isStated) this.#availability.recordOutage(timestampNow(this.#clock));
    else this.#availability.recordFailure(calledAt);
  }

  /**
   * Replaces the contents with a listing of the store.
   *
   * @param items - All items in the store.
   * @param revision - Store revision of the listing.
   * @param requestedAt - Time at which the listing was requested.
   */
  applyListing(
    items: readonly StoreItem[],
    revision: number,
    requestedAt: Timestamp,
  ): void {
    const keys = new Set(items.map(({ key }) => key));
    const skippedMs = this.#skippedMs(revision);
    this.#enterEraOf(revision);
    this.#recordAnswer();
    this.#putNewer(items);
    this.#removeUnlisted(keys, revision);
    this.#commitRevision(revision);
    this.#confirm(requestedAt);
    this.#reportSkipped(skippedMs);
  }

  /**
   * Applies changes from a watch.
   *
   * @param changes - The changes, ordered by revision.
   * @param revision - Store revision after the changes.
   * @param requestedAt - Time at which the watch was requested.
   */
  applyChanges(
    changes: readonly ItemChange[],
    revision: number,
    requestedAt: Timestamp,
  ): void {
    this.#recordAnswer();
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
   * Adds items of changes that are not applied yet. Removals are left to the
   * regular updates, which know of failures of the store.
   *
   * @param changes - Changes since the revision of the contents or an earlier
   * one.
   * @returns Whether all items that were written still exist.
   */
  addAhead(changes: readonly ItemChange[]): boolean {
    const next = changes.filter(({ revision }) => revision > this.#revision);
    const latest = new Map(next.map((change) => [change.key, change]));
    for (const change of latest.values()) {
      if (change.kind !== "put") continue;
      const { key, value, revision } = change;
      this.#putNewer([{ key, value, revision }]);
    }
    this.#commitRevision(this.#revision);
    return next.every(({ key, kind }) =>
      kind === "removed" || latest.get(key)?.kind === "put"
    );
  }

  /**
   * Creates a snapshot for another mirror.
   *
   * @param sinceRevision - Store revision of the requesting mirror.
   * @param acceptsPatches - Whether large items may be sent as the difference
   * to an earlier value.
   * @returns The changes that the requesting mirror lacks.
   */
  snapshotSince(
    sinceRevision: number,
    acceptsPatches = false,
  ): MirrorSnapshot {
    const isNewer = ({ revision }: { readonly revision: number }): boolean =>
      revision > sinceRevision;
    const items = [...this.#items.values()];
    const isLogComplete = sinceRevision >= this.#removalsCompleteSince;
    const wholeItems: StoreItem[] = [];
    const patchedItems: PatchedItem[] = [];
    for (const item of items.filter(isNewer)) {
      const patched = acceptsPatches
        ? this.#history.patchSince(item, sinceRevision)
        : undefined;
      if (patched) patchedItems.push(patched);
      else wholeItems.push(item);
    }
    return {
      revision: this.#revision,
      items: wholeItems,
      ...(patchedItems.length > 0 && { patchedItems }),
      removals: isLogComplete ? this.#removals.filter(isNewer) : [],
      keys: isLogComplete ? undefined : items.map(({ key }) => key),
      ageMs: this.confirmationAgeMs,
      sinceTroubleMs: this.sinceDisruptionMs,
    };
  }

  /**
   * Applies a snapshot from a peer unless it is older than the contents. Its
   * ages are counted from the time of the request, so that delayed messages
   * cannot make the contents appear more recent than they are.
   *
   * @param snapshot - The snapshot.
   * @param requestedAt - Time at which the snapshot was requested.
   * @returns False if a patch does not fit the contents, which then stay as
   * they are.
   */
  applySnapshot(snapshot: MirrorSnapshot, requestedAt: Timestamp): boolean {
    if (snapshot.revision < this.#revision) return true;
    const patchedItems = this.#applyPatches(snapshot.patchedItems ?? []);
    if (!patchedItems) return false;
    const skippedMs = this.#skippedMs(snapshot.revision);
    this.#enterEraOf(snapshot.revision);
    if (Number.isFinite(snapshot.sinceTroubleMs)) {
      this.#recordDisruption(
        timestampBefore(requestedAt, snapshot.sinceTroubleMs),
      );
    }
    this.#putNewer([...snapshot.items, ...patchedItems]);
    for (const removal of snapshot.removals) this.#remove(removal);
    if (snapshot.keys) {
      this.#removeUnlisted(new Set(snapshot.keys), snapshot.revision);
    }
    this.#commitRevision(snapshot.revision);
    if (Number.isFinite(snapshot.ageMs)) {
      const confirmedAt = timestampBefore(requestedAt, snapshot.ageMs);
      this.#availability.recordAnswer(confirmedAt);
      this.#confirm(confirmedAt);
    }
    this.#reportSkipped(skippedMs);
    return true;
  }

  /**
   * @returns The time in milliseconds in which changes may be missed when the
   * contents are replaced now by those of a revision.
   */
  #skippedMs(revision: number): number {
    if (this.#revision === 0 || revision === this.#revision) return 0;
    return this.confirmationAgeMs;
  }

  #reportSkipped(skippedMs: number): void {
    if (skippedMs > 0) this.#didSkipChanges.fire(skippedMs);
  }

  /** @returns The items, or `undefined` if a patch has another base. */
  #applyPatches(
    patchedItems: readonly PatchedItem[],
  ): readonly StoreItem[] | undefined {
    const items: StoreItem[] = [];
    for (const { key, revision, baseRevision, patch } of patchedItems) {
      const base = this.#items.get(key);
      if (base && base.revision >= revision) continue;
      if (base?.revision !== baseRevision) return undefined;
      const value = rightOf(applyPatch(base.value, patch, MAX_PATCHED_BYTES));
      if (!value) return undefined;
      items.push({ key, revision, value });
    }
    return items;
  }

  /** A copy may lack what was written last, as after any failure. */
  #enterEraOf(revision: number): void {
    const era = eraOf(revision);
    if (this.#revision === 0 || era <= eraOf(this.#revision)) return;
    const enteredAt = timestampNow(this.#clock);
    this.#availability.recordOutage(enteredAt);
    this.#recordDisruption(enteredAt);
    this.#revision = revision;
    this.#didChangeEra.fire(era);
  }

  #recordAnswer(): void {
    this.#availability.recordAnswer(timestampNow(this.#clock));
    this.#recordDisruption(this.#availability.lastDisruption);
  }

  #recordDisruption(disruptedAt: Timestamp | undefined): void {
    if (ageMs(this.#clock, disruptedAt) < this.sinceDisruptionMs) {
      this.#disruptedAt = disruptedAt;
    }
  }

  #confirm(at: Timestamp): void {
    if (ageMs(this.#clock, at) < this.confirmationAgeMs) this.#confirmedAt = at;
  }

  #putNewer(items: readonly StoreItem[]): void {
    for (const item of items) {
      const current = this.#items.get(item.key);
      if (current && current.revision >= item.revision) continue;
      if (current) this.#history.add(current);
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
    if (this.#items.delete(key)) this.#forget(key);
  }

  /**
   * Removes items that a complete set of keys at a revision does not contain.
   */
  #removeUnlisted(keys: ReadonlySet<string>, revision: number): void {
    for (const [key, item] of this.#items) {
      if (keys.has(key) || item.revision > revision) continue;
      this.#items.delete(key);
      this.#forget(key);
    }
    // Keys that were created and removed in the meantime are unknown.
    this.#removals = [];
    this.#removalsCompleteSince = Math.max(this.#revision, revision);
  }

  #forget(key: string): void {
    this.#history.remove(key);
    this.#pending.push({ key, item: undefined });
  }

  /** Sets the revision and fires the pending changes. */
  #commitRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
    const changes = this.#pending;
    if (changes.length === 0) return;
    this.#pending = [];
    this.#didChange.fire(changes);
  }
}
