/**
 * Keeps records in the store, so that they outlast a stop of all daemons at
 * once. One of the linked hubs writes each record, or another one that the store
 * does not turn away; all daemons read them from their mirrors.
 */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  attempt,
  type Either,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import {
  type LeaseStore,
  NO_LEASE,
  type StoreCallFailure,
  type StoreItem,
} from "../../../services/mirror/common/revisioned_store.ts";
import type { StoreMirror } from "../../../services/mirror/common/store_mirror.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";

const CHECK_PERIOD_MS = 500;
/** Changes that come together are written together. */
const PROMPT_CHECK_DELAY_MS = 20;
const MIN_LEASE_MS = 10_000;
/** A written record reaches the mirror well within this time. */
const REWRITE_DELAY_MS = 3_000;
/** Time after which the next hub writes a record that the store lacks. */
const TAKEOVER_STEP_MS = 1_500;
/** Age above which a hub's view does not show what others have written. */
const MAX_TAKEOVER_VIEW_AGE_MS = 3_000;

/** Record to keep in the store. */
export interface ArchivedRecord<R> {
  readonly record: R;
  /**
   * Wall-clock time in milliseconds up to which it is kept; `undefined` if it
   * has to outlast an outage in which leases expire.
   */
  readonly untilMs: number | undefined;
}

/**
 * Hubs that may write a record. `owner`: the first by its key. `any`: the others
 * too, one after the other, if the store still lacks what they know. No write
 * replaces a record that the hub has not merged.
 */
export type RecordWriters = "owner" | "any";

/** Records of one kind and how they are stored. */
export interface ArchivedRecords<R> {
  readonly writers: RecordWriters;
  /** Prefix of the keys of these records. */
  readonly keyPrefix: string;
  /** What the records are about; the events in the log begin with it. */
  readonly subject: string;
  /** @returns The records that the store should have. */
  list(): readonly ArchivedRecord<R>[];
  /** @returns The rest of the key of a record. */
  nameOf(record: R): string;
  /** @returns The record; throws an error if the value is invalid. */
  parse(value: unknown): R;
  /** Merges a record that was read from the store. */
  merge(record: R): void;
  /** @returns Whether a stored record has all that this one has. */
  includes(stored: R, record: R): boolean;
  /**
   * @returns Whether a stored record has parts that are over, which its owner
   * removes.
   */
  hasOutdated?(stored: R, record: R): boolean;
}

/** Dependencies of a {@link RecordArchive}. */
export interface RecordArchiveServices<R> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly host: HostId;
  readonly store: LeaseStore;
  readonly mirror: StoreMirror;
  readonly overlay: PeerOverlay;
  readonly records: ArchivedRecords<R>;
}

/** The latest write of a record. */
interface RecordWrite {
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
  /** Revision that the mirror had; 0 if it had none. */
  readonly revision: number;
}

/** Stores the records of one kind and reads those of other daemons. */
export class RecordArchive<R> implements Disposable {
  readonly #services: RecordArchiveServices<R>;
  readonly #disposables = new DisposableStore();
  readonly #writes = new Map<string, RecordWrite>();
  /** Monotonic time since which the store lacks a record, in milliseconds. */
  readonly #lackingSinceMs = new Map<string, number>();
  #pendingCheck: Disposable | undefined;

  /** @param services - Dependencies of the archive. */
  constructor(services: RecordArchiveServices<R>) {
    this.#services = services;
    const { clock, mirror, records } = services;
    this.#disposables.add(mirror.onDidChange((changes) => {
      for (const { key, item } of changes) {
        if (item && key.startsWith(records.keyPrefix)) this.#read(item);
      }
    }));
    this.#disposables.add(
      runPeriodically(clock, CHECK_PERIOD_MS, () => this.#writeMissing()),
    );
  }

  /** Reads all records of the mirror, also those that have not changed. */
  readStored(): void {
    const { mirror, records } = this.#services;
    for (const item of mirror.itemsWithPrefix(records.keyPrefix)) {
      this.#read(item);
    }
  }

  /** Writes what is missing soon, rather than at the next regular time. */
  checkSoon(): void {
    if (this.#disposables.isDisposed) return;
    const { clock } = this.#services;
    this.#pendingCheck ??= clock.setTimer(PROMPT_CHECK_DELAY_MS, () => {
      this.#pendingCheck = undefined;
      this.#writeMissing();
    });
  }

  /** Stops reading and writing. */
  dispose(): void {
    this.#pendingCheck?.dispose();
    this.#disposables.dispose();
  }

  #read({ key, value }: StoreItem): void {
    const { logger, records } = this.#services;
    this.#decode(value).caseOf({
      Left: (detail) =>
        logger.log("warn", `${records.subject}-entry-unreadable`, {
          key,
          detail,
        }),
      Right: (record) => records.merge(record),
    });
  }

  #writeMissing(): void {
    const { clock, host, hasher, overlay, records } = this.#services;
    const listed = records.list();
    if (listed.length === 0) {
      this.#writes.clear();
      this.#lackingSinceMs.clear();
      return;
    }
    if (!overlay.isHub) return;
    const nowMs = clock.monotonicMs();
    const hubs = [host, ...overlay.linkedHubs()];
    const keys = new Set<string>();
    for (const { record, untilMs } of listed) {
      const key = `${records.keyPrefix}${records.nameOf(record)}`;
      keys.add(key);
      const rank = rendezvousOrder(hasher, key, hubs).indexOf(host);
      const isDue = this.#isWriteDue(key, record, rank);
      if (!isDue || this.#isWriteAwaited(key)) continue;
      this.#writes.set(key, { atMs: nowMs, revision: this.#revisionOf(key) });
      this.#lackingSinceMs.delete(key);
      const ttlMs = untilMs && untilMs - clock.nowMs();
      void this.#write(key, record, ttlMs);
    }
    for (const key of this.#lackingSinceMs.keys()) {
      if (!keys.has(key)) this.#lackingSinceMs.delete(key);
    }
  }

  /**
   * @param key - Key of the record.
   * @param record - The record as this host knows it.
   * @param rank - Number of linked hubs that are to write the record first.
   */
  #isWriteDue(key: string, record: R, rank: number): boolean {
    const { clock, mirror, records } = this.#services;
    const stored = this.#stored(key);
    if (stored !== undefined && records.includes(stored, record)) {
      this.#lackingSinceMs.delete(key);
      return rank === 0 && records.hasOutdated?.(stored, record) === true;
    }
    const nowMs = clock.monotonicMs();
    const sinceMs = this.#lackingSinceMs.get(key) ?? nowMs;
    this.#lackingSinceMs.set(key, sinceMs);
    switch (records.writers) {
      case "owner":
        return rank === 0;
      case "any":
        if (rank === 0) return true;
        // Another hub may have written it unseen.
        if (mirror.confirmationAgeMs > MAX_TAKEOVER_VIEW_AGE_MS) return false;
        return nowMs - sinceMs >= rank * TAKEOVER_STEP_MS;
    }
  }

  /** Returns whether the mirror may not show the latest write yet. */
  #isWriteAwaited(key: string): boolean {
    const { clock, records } = this.#services;
    const write = this.#writes.get(key);
    if (!write || clock.monotonicMs() - write.atMs >= REWRITE_DELAY_MS) {
      return false;
    }
    switch (records.writers) {
      case "owner":
        return true;
      case "any":
        return this.#revisionOf(key) === write.revision;
    }
  }

  #revisionOf(key: string): number {
    return this.#services.mirror.get(key)?.revision ?? 0;
  }

  /** Returns the readable record that the mirror has. */
  #stored(key: string): R | undefined {
    const item = this.#services.mirror.get(key);
    return item && rightOf(this.#decode(item.value));
  }

  /** Returns the revision that the store must have for a write. */
  #expectedRevision(key: string): number | undefined {
    switch (this.#services.records.writers) {
      case "owner":
        return undefined;
      case "any":
        return this.#revisionOf(key);
    }
  }

  async #write(
    key: string,
    record: R,
    ttlMs: number | undefined,
  ): Promise<void> {
    const { logger, records, store } = this.#services;
    const value = new TextEncoder().encode(JSON.stringify(record));
    const expectedRevision = this.#expectedRevision(key);
    const lease = await this.#grantLease(ttlMs);
    const failure: StoreCallFailure | undefined = leftOf(lease) ??
      leftOf(
        await store.putLeased(
          key,
          value,
          lease.unsafeCoerce(),
          expectedRevision,
        ),
      );
    if (!failure) return;
    const { kind, message } = failure;
    logger.log("warn", `${records.subject}-not-stored`, {
      key,
      reason: kind,
      detail: message,
    });
  }

  async #grantLease(
    ttlMs: number | undefined,
  ): AsyncEither<StoreCallFailure, number> {
    if (ttlMs === undefined) return Right(NO_LEASE);
    const granted = await this.#services.store.grantLease(
      Math.max(MIN_LEASE_MS, Math.ceil(ttlMs)),
    );
    return granted.map(({ lease }) => lease);
  }

  #decode(bytes: Uint8Array): Either<string, R> {
    return attempt(
      () =>
        this.#services.records.parse(
          JSON.parse(new TextDecoder().decode(bytes)),
        ),
      toErrorMessage,
    );
  }
}
