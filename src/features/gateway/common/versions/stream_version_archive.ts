/**
 * Keeps in the store at which software versions streams began, so that they can
 * be taken up after all daemons have ended at once. Only the streams of services
 * with several versions are kept: those of others need no record. One of the
 * linked hubs writes what all daemons have begun; another one writes what the
 * store still lacks after a while.
 */

import * as z from "zod";
import { type Clock, runPeriodically } from "../../../../base/common/clock.ts";
import { toErrorMessage } from "../../../../base/common/errors.ts";
import {
  type Hasher,
  rendezvousOrder,
} from "../../../../base/common/hasher.ts";
import type { HostId, ServiceId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  attempt,
  type Either,
  leftOf,
  Right,
} from "../../../../base/common/result.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type {
  LeaseStore,
  StoreCallFailure,
  StoreItem,
} from "../../../../services/mirror/common/revisioned_store.ts";
import type {
  MirrorChange,
  StoreMirror,
} from "../../../../services/mirror/common/store_mirror.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type { SoftwareVersionHistory } from "./software_version_history.ts";
import {
  MAX_STREAMS_PER_PAGE,
  streamPageSchema,
  type StreamRow,
  toStream,
  toStreamRow,
} from "./stream_page.ts";
import {
  type StreamVersion,
  type StreamVersionTable,
  toMapKey,
} from "./stream_versions.ts";

/** Prefix of the keys of the entries, each of which holds some streams. */
export const STREAM_VERSION_KEY_PREFIX = "ragwort/stream-versions/";

/** Streams that begin within this time share an entry. */
const CHECK_PERIOD_MS = 250;
const MAX_ENTRIES_PER_CHECK = 4;
/** A written entry reaches the mirror well within this time. */
const REWRITE_DELAY_MS = 3_000;
/** Time after a refused write during which this host writes nothing. */
const RETRY_DELAY_MS = 1_000;
/** Time after which the next hub writes a stream that the store lacks. */
const TAKEOVER_STEP_MS = 1_500;
/** Age above which a hub's view does not show what others have written. */
const MAX_TAKEOVER_VIEW_AGE_MS = 3_000;
const MIN_LEASE_MS = 10_000;
const MAX_LEASE_MS = 600_000;

const entrySchema = z.object({ streams: streamPageSchema });

/** Dependencies of a {@link StreamVersionArchive}. */
export interface StreamVersionArchiveServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly host: HostId;
  /** Wall-clock time in milliseconds at which this process started. */
  readonly incarnation: number;
  readonly store: LeaseStore;
  readonly mirror: StoreMirror;
  readonly overlay: PeerOverlay;
  readonly table: StreamVersionTable;
  readonly history: SoftwareVersionHistory;
}

/** A stream that the store lacks. */
interface MissingStream {
  readonly stream: StreamVersion;
  /** Monotonic time in milliseconds since which it is known to be missing. */
  readonly sinceMs: number;
  /** Monotonic time in milliseconds of this host's latest write of it. */
  readonly writtenMs: number;
}

/** Lease of the entries that this host writes. */
interface EntryLease {
  readonly lease: number;
  /** Monotonic time in milliseconds at which it ends at the earliest. */
  readonly endsMs: number;
}

/** Stores the streams of one table and adds those of other daemons to it. */
export class StreamVersionArchive implements Disposable {
  readonly #services: StreamVersionArchiveServices;
  readonly #disposables = new DisposableStore();
  /** Keys of the streams in each entry of the store. */
  readonly #entries = new Map<string, readonly string[]>();
  /** Latest entry of each stream that the store has. */
  readonly #entryOf = new Map<string, string>();
  readonly #missing = new Map<string, MissingStream>();
  /** Services whose streams are kept. */
  #keptServices: ReadonlySet<ServiceId> = new Set();
  #lease: EntryLease | undefined;
  #entryCount = 0;
  #restoreCount = 0;
  #isWriting = false;
  /** Monotonic time in milliseconds before which nothing is written. */
  #retryMs = -Infinity;

  /** @param services - Dependencies of the archive. */
  constructor(services: StreamVersionArchiveServices) {
    this.#services = services;
    const { clock, mirror, table } = services;
    this.#disposables.add(
      mirror.onDidChange((changes) => this.#onStoreChanged(changes)),
    );
    this.#disposables.add(
      mirror.onDidChangeEra(() => this.#onStoreRestored()),
    );
    this.#disposables.add(table.onDidAdd((stream) => this.#addMissing(stream)));
    this.#disposables.add(
      runPeriodically(clock, CHECK_PERIOD_MS, () => this.#check()),
    );
  }

  /** Stops reading and writing. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onStoreChanged(changes: readonly MirrorChange[]): void {
    const own = changes.filter(({ key }) =>
      key.startsWith(STREAM_VERSION_KEY_PREFIX)
    );
    for (const { key, item } of own) {
      if (!item) this.#forgetEntry(key);
    }
    // Where entries differ, the latest one is right.
    const items = own.flatMap(({ item }) => item ?? [])
      .sort((one, other) => other.revision - one.revision);
    for (const item of items) this.#readEntry(item);
  }

  #readEntry({ key, value }: StoreItem): void {
    const { clock, logger, table } = this.#services;
    decode(value).caseOf({
      Left: (detail) =>
        logger.log("warn", "stream-versions-entry-unreadable", { key, detail }),
      Right: (rows) => {
        const nowMs = clock.monotonicMs();
        const streams = rows.map((row) => toStream(row, nowMs));
        const mapKeys = streams.map(toMapKey);
        this.#entries.set(key, mapKeys);
        for (const [index, stream] of streams.entries()) {
          const mapKey = mapKeys[index]!;
          this.#entryOf.set(mapKey, key);
          this.#missing.delete(mapKey);
          // The store may have a stream of an earlier use of the id.
          if (table.versionOf(stream) === undefined) table.add(stream);
        }
      },
    });
  }

  #forgetEntry(key: string): void {
    for (const mapKey of this.#entries.get(key) ?? []) {
      if (this.#entryOf.get(mapKey) === key) this.#entryOf.delete(mapKey);
    }
    this.#entries.delete(key);
    this.#findMissingAnew();
  }

  #onStoreRestored(): void {
    // The lease may belong to another host there.
    this.#lease = undefined;
    this.#restoreCount++;
    this.#findMissingAnew();
  }

  #findMissingAnew(): void {
    this.#missing.clear();
    this.#keptServices = new Set();
  }

  #addMissing(stream: StreamVersion): void {
    const mapKey = toMapKey(stream);
    const isKept = this.#keptServices.has(stream.service);
    if (!isKept || this.#entryOf.has(mapKey)) return;
    this.#missing.set(mapKey, {
      stream,
      sinceMs: this.#services.clock.monotonicMs(),
      writtenMs: -Infinity,
    });
  }

  #check(): void {
    if (!this.#services.overlay.isHub) {
      this.#findMissingAnew();
      return;
    }
    this.#updateServices();
    const nowMs = this.#services.clock.monotonicMs();
    if (this.#isWriting || nowMs < this.#retryMs) return;
    const due = this.#dueStreams(nowMs);
    if (due.length > 0) void this.#writeAll(due);
  }

  #updateServices(): void {
    const { history, table } = this.#services;
    const earlier = this.#keptServices;
    const kept = history.servicesWithUnsureVersion();
    this.#keptServices = kept;
    for (const [mapKey, { stream }] of this.#missing) {
      if (!kept.has(stream.service)) this.#missing.delete(mapKey);
    }
    if ([...kept].every((service) => earlier.has(service))) return;
    for (const stream of table.streams()) {
      if (!earlier.has(stream.service)) this.#addMissing(stream);
    }
  }

  #dueStreams(nowMs: number): StreamVersion[] {
    const { hasher, host, mirror, overlay } = this.#services;
    if (this.#missing.size === 0) return [];
    const hubs = [host, ...overlay.linkedHubs()];
    const rank = rendezvousOrder(hasher, STREAM_VERSION_KEY_PREFIX, hubs)
      .indexOf(host);
    // Another hub may have written them unseen.
    const isViewOld = mirror.confirmationAgeMs > MAX_TAKEOVER_VIEW_AGE_MS;
    if (rank > 0 && isViewOld) return [];
    const due: StreamVersion[] = [];
    for (const [mapKey, missing] of this.#missing) {
      const { sinceMs, stream, writtenMs } = missing;
      if (stream.expiresMs <= nowMs) {
        this.#missing.delete(mapKey);
        continue;
      }
      const isAwaited = nowMs - writtenMs < REWRITE_DELAY_MS;
      if (isAwaited || nowMs - sinceMs < rank * TAKEOVER_STEP_MS) continue;
      this.#missing.set(mapKey, { ...missing, writtenMs: nowMs });
      due.push(stream);
      if (due.length === MAX_STREAMS_PER_PAGE * MAX_ENTRIES_PER_CHECK) break;
    }
    return due;
  }

  async #writeAll(streams: readonly StreamVersion[]): Promise<void> {
    this.#isWriting = true;
    for (
      let start = 0;
      start < streams.length;
      start += MAX_STREAMS_PER_PAGE
    ) {
      const page = streams.slice(start, start + MAX_STREAMS_PER_PAGE);
      const failure = leftOf(await this.#write(page));
      if (failure) {
        this.#onWriteFailed(streams.slice(start), failure);
        break;
      }
    }
    this.#isWriting = false;
  }

  async #write(
    page: readonly StreamVersion[],
  ): AsyncEither<StoreCallFailure, void> {
    const { clock, host, incarnation, store } = this.#services;
    const restoreCount = this.#restoreCount;
    const nowMs = clock.monotonicMs();
    const lastsMs = Math.max(...page.map(({ expiresMs }) => expiresMs)) - nowMs;
    const lease = await this.#leaseFor(lastsMs);
    if (lease.isLeft()) return lease.map(() => undefined);
    // The streams were found missing anew.
    if (restoreCount !== this.#restoreCount) return Right(undefined);
    const writtenMs = clock.monotonicMs();
    const streams = page.map((stream) => toStreamRow(stream, writtenMs));
    return store.putLeased(
      `${STREAM_VERSION_KEY_PREFIX}${host}/${incarnation}-${++this
        .#entryCount}`,
      new TextEncoder().encode(JSON.stringify({ streams })),
      lease.unsafeCoerce(),
    );
  }

  /** Returns a lease that lasts for at least some time, if it may. */
  async #leaseFor(lastsMs: number): AsyncEither<StoreCallFailure, number> {
    const { clock, store } = this.#services;
    const requiredMs = Math.min(lastsMs, MAX_LEASE_MS / 2);
    const calledMs = clock.monotonicMs();
    if (this.#lease && this.#lease.endsMs >= calledMs + requiredMs) {
      return Right(this.#lease.lease);
    }
    const restoreCount = this.#restoreCount;
    const granted = await store.grantLease(
      Math.max(MIN_LEASE_MS, Math.ceil(2 * requiredMs)),
    );
    return granted.map(({ lease, ttlMs }) => {
      if (restoreCount === this.#restoreCount) {
        this.#lease = { lease, endsMs: calledMs + ttlMs };
      }
      return lease;
    });
  }

  #onWriteFailed(
    streams: readonly StreamVersion[],
    { kind, message }: StoreCallFailure,
  ): void {
    const { clock, logger } = this.#services;
    logger.log("warn", "stream-versions-not-stored", {
      streams: streams.length,
      reason: kind,
      detail: message,
    });
    this.#lease = undefined;
    // A write without an answer may still have been made.
    if (kind === "unknown") return;
    this.#retryMs = clock.monotonicMs() + RETRY_DELAY_MS;
    for (const mapKey of streams.map(toMapKey)) {
      const missing = this.#missing.get(mapKey);
      if (!missing) continue;
      this.#missing.set(mapKey, { ...missing, writtenMs: -Infinity });
    }
  }
}

function decode(bytes: Uint8Array): Either<string, readonly StreamRow[]> {
  return attempt(
    () =>
      entrySchema.parse(JSON.parse(new TextDecoder().decode(bytes))).streams,
    toErrorMessage,
  );
}
