/**
 * In-memory simulation of the platform's key-value store, with compare-and-swap
 * writes, watches, leases, rate limits and faults, but without network access.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { toDisposable } from "../../src/base/common/lifecycle.ts";
import type {
  LeaseId,
  StoreChange,
  StoreDelete,
  StoreEntry,
  StoreListing,
  StorePut,
  StoreWriteResult,
} from "../../src/services/store/common/store_client.ts";
import { MAX_STORE_VALUE_BYTES } from "../../src/services/store/common/store_client.ts";

const RATE_WINDOW_MS = 1_000;
const MAX_RETAINED_CHANGES = 10_000;

/** Injected faults and limits; may be changed at any time. */
export interface StoreFaults {
  /** Whether the store refuses every call. */
  isDown: boolean;
  /** Delay of each answer, in milliseconds. */
  delayMs: number;
  /** Number of upcoming writes that take effect but whose answer is lost. */
  loseWriteAnswers: number;
  /** Maximum number of writes per second; further writes are refused. */
  maxWritesPerSecond: number;
  /** Maximum number of reads per second; opening a watch counts as one read. */
  maxReadsPerSecond: number;
}

interface Subscription {
  readonly prefix: string;
  readonly onChange: (change: StoreChange) => void;
}

interface StoreSnapshot {
  readonly entries: ReadonlyMap<string, StoreEntry>;
  readonly revision: number;
}

interface Lease {
  readonly ttlMs: number;
  readonly keys: Set<string>;
  timer: Disposable;
}

/** Kind of a call, which determines its rate limit. */
export type CallKind = "read" | "write";

/** The state of the simulated store. */
export class KvStore {
  readonly faults: StoreFaults = {
    isDown: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    maxWritesPerSecond: Infinity,
    maxReadsPerSecond: Infinity,
  };
  readonly #clock: Clock;
  #entries = new Map<string, StoreEntry>();
  #snapshot: StoreSnapshot | undefined;
  readonly #changes: StoreChange[] = [];
  readonly #subscriptions = new Set<Subscription>();
  readonly #leases = new Map<LeaseId, Lease>();
  readonly #recentCalls: Record<CallKind, number[]> = { read: [], write: [] };
  readonly #callCounts: Record<CallKind, number> = { read: 0, write: 0 };
  #revision = 1;
  #oldestRevision = 1;
  #leaseSequence = 1;

  /** @param clock - Clock for leases and rate limits. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Current store revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of calls since the start, including refused calls. */
  get callCounts(): Readonly<Record<CallKind, number>> {
    return this.#callCounts;
  }

  /**
   * Counts a call and checks it against the rate limit.
   *
   * @returns Whether the call is within the limit.
   */
  admitCall(kind: CallKind): boolean {
    this.#callCounts[kind]++;
    const nowMs = this.#clock.monotonicMs();
    const recent = this.#recentCalls[kind];
    while (recent.length > 0 && recent[0]! <= nowMs - RATE_WINDOW_MS) {
      recent.shift();
    }
    const limit = kind === "read"
      ? this.faults.maxReadsPerSecond
      : this.faults.maxWritesPerSecond;
    if (recent.length >= limit) return false;
    recent.push(nowMs);
    return true;
  }

  /** @returns Whether the answer of the current write must be dropped. */
  consumeLostAnswer(): boolean {
    if (this.faults.loseWriteAnswers <= 0) return false;
    this.faults.loseWriteAnswers--;
    return true;
  }

  /** @returns The entry with this key, if it exists. */
  get(key: string): StoreEntry | undefined {
    return this.#entries.get(key);
  }

  /** @returns All entries whose key starts with `prefix`, sorted by key. */
  list(prefix: string): StoreListing {
    const entries = [...this.#entries.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
    return { entries, revision: this.#revision };
  }

  /** Writes a key if its revision is the expected one. */
  put(write: StorePut): StoreWriteResult {
    if (Buffer.byteLength(write.value) > MAX_STORE_VALUE_BYTES) {
      throw new RangeError("the value exceeds the limit of 1 MiB");
    }
    const current = this.#entries.get(write.key);
    if ((current?.revision ?? 0) !== write.expectedRevision) {
      return { kind: "conflict", current };
    }
    const revision = ++this.#revision;
    const entry = { key: write.key, value: write.value, revision };
    this.#entries.set(write.key, entry);
    this.#attachToLease(write);
    this.#publish({ kind: "put", entry });
    return { kind: "written", revision };
  }

  /** Deletes a key if its revision is the expected one. */
  delete(write: StoreDelete): StoreWriteResult {
    const current = this.#entries.get(write.key);
    if ((current?.revision ?? 0) !== write.expectedRevision) {
      return { kind: "conflict", current };
    }
    if (current) this.#remove(write.key);
    return { kind: "written", revision: this.#revision };
  }

  /**
   * Reads the history of the store.
   *
   * @param prefix - Prefix of the keys.
   * @param afterRevision - Store revision after which changes are returned.
   * @returns The changes, or `undefined` if some of them have been compacted.
   */
  changesAfter(
    prefix: string,
    afterRevision: number,
  ): StoreChange[] | undefined {
    if (afterRevision + 1 < this.#oldestRevision) return undefined;
    return this.#changes.filter((change) =>
      getRevision(change) > afterRevision && getKey(change).startsWith(prefix)
    );
  }

  /** Calls a listener for each change under a prefix until disposed. */
  subscribe(
    prefix: string,
    onChange: (change: StoreChange) => void,
  ): Disposable {
    const subscription = { prefix, onChange };
    this.#subscriptions.add(subscription);
    return toDisposable(() => this.#subscriptions.delete(subscription));
  }

  /** Deletes the history, so that watches from earlier revisions fail. */
  compact(): void {
    this.#changes.length = 0;
    this.#oldestRevision = this.#revision + 1;
  }

  /**
   * Saves the current state as the state of a replica that then falls behind.
   */
  takeSnapshot(): void {
    this.#snapshot = {
      entries: new Map(this.#entries),
      revision: this.#revision,
    };
  }

  /** Fails over to the outdated replica, which loses all later changes. */
  failOver(): void {
    if (!this.#snapshot) return;
    this.#entries = new Map(this.#snapshot.entries);
    this.#revision = this.#snapshot.revision;
    this.#changes.length = 0;
    this.#oldestRevision = this.#revision + 1;
  }

  /**
   * @returns The id of a new lease, which expires after `ttlMs` milliseconds.
   */
  grantLease(ttlMs: number): LeaseId {
    const id = String(this.#leaseSequence++) as LeaseId;
    this.#leases.set(id, {
      ttlMs,
      keys: new Set(),
      timer: this.#clock.setTimer(ttlMs, () => this.revokeLease(id)),
    });
    return id;
  }

  /**
   * @returns The time to live in milliseconds, or 0 if the lease has expired.
   */
  renewLease(id: LeaseId): number {
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    lease.timer.dispose();
    lease.timer = this.#clock.setTimer(lease.ttlMs, () => this.revokeLease(id));
    return lease.ttlMs;
  }

  /** Revokes a lease and deletes the keys that are attached to it. */
  revokeLease(id: LeaseId): void {
    const lease = this.#leases.get(id);
    if (!lease) return;
    lease.timer.dispose();
    this.#leases.delete(id);
    for (const key of lease.keys) if (this.#entries.has(key)) this.#remove(key);
  }

  /** Revokes all leases without notifying their holders. */
  expireAllLeases(): void {
    for (const id of [...this.#leases.keys()]) this.revokeLease(id);
  }

  #attachToLease({ key, leaseId }: StorePut): void {
    for (const lease of this.#leases.values()) lease.keys.delete(key);
    if (leaseId !== undefined) this.#leases.get(leaseId)?.keys.add(key);
  }

  #remove(key: string): void {
    const revision = ++this.#revision;
    this.#entries.delete(key);
    this.#publish({ kind: "delete", key, revision });
  }

  #publish(change: StoreChange): void {
    this.#changes.push(change);
    if (this.#changes.length > MAX_RETAINED_CHANGES) {
      const dropped = this.#changes.shift()!;
      this.#oldestRevision = getRevision(dropped) + 1;
    }
    for (const watcher of [...this.#subscriptions]) {
      if (getKey(change).startsWith(watcher.prefix)) watcher.onChange(change);
    }
  }
}

function getRevision(change: StoreChange): number {
  return change.kind === "put" ? change.entry.revision : change.revision;
}

function getKey(change: StoreChange): string {
  return change.kind === "put" ? change.entry.key : change.key;
}
