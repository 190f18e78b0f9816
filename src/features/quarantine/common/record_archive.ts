/**
 * Keeps records in the store, so that they outlast a stop of all daemons at
 * once. One of the linked hubs writes each record; all daemons read them from
 * their mirrors.
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
const MIN_LEASE_MS = 10_000;
/** A written record reaches the mirror well within this time. */
const REWRITE_DELAY_MS = 3_000;

/** Record to keep in the store. */
export interface ArchivedRecord<R> {
  readonly record: R;
  /**
   * Wall-clock time in milliseconds up to which it is kept; `undefined` if it
   * has to outlast an outage in which leases expire.
   */
  readonly untilMs: number | undefined;
}

/** Records of one kind and how they are stored. */
export interface ArchivedRecords<R> {
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

/** Stores the records of one kind and reads those of other daemons. */
export class RecordArchive<R> implements Disposable {
  readonly #services: RecordArchiveServices<R>;
  readonly #disposables = new DisposableStore();
  /** Monotonic time of the latest write of each key, in milliseconds. */
  readonly #writtenMs = new Map<string, number>();

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

  /** Stops reading and writing. */
  dispose(): void {
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
      this.#writtenMs.clear();
      return;
    }
    if (!overlay.isHub) return;
    const nowMs = clock.monotonicMs();
    const hubs = [host, ...overlay.linkedHubs()];
    for (const { record, untilMs } of listed) {
      const key = `${records.keyPrefix}${records.nameOf(record)}`;
      const sinceWriteMs = nowMs - (this.#writtenMs.get(key) ?? -Infinity);
      const [owner] = rendezvousOrder(hasher, key, hubs);
      if (owner !== host || sinceWriteMs < REWRITE_DELAY_MS) continue;
      if (this.#isStored(key, record)) continue;
      this.#writtenMs.set(key, nowMs);
      const ttlMs = untilMs && untilMs - clock.nowMs();
      void this.#write(key, record, ttlMs);
    }
  }

  #isStored(key: string, record: R): boolean {
    const { mirror, records } = this.#services;
    const item = mirror.get(key);
    if (!item) return false;
    return this.#decode(item.value).caseOf({
      Left: () => false,
      Right: (stored) => records.includes(stored, record),
    });
  }

  async #write(
    key: string,
    record: R,
    ttlMs: number | undefined,
  ): Promise<void> {
    const { logger, records, store } = this.#services;
    const value = new TextEncoder().encode(JSON.stringify(record));
    const lease = await this.#grantLease(ttlMs);
    const failure: StoreCallFailure | undefined = leftOf(lease) ??
      leftOf(await store.putLeased(key, value, lease.unsafeCoerce()));
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
