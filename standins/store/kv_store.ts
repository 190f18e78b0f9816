/** Stand-in for the platform's key-value service, without sockets. */

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

/** Faults and limits that can be changed at any time. */
export interface StoreFaults {
  /** The store refuses every call. */
  isDown: boolean;
  /** Delay of each answer. */
  delayMs: number;
  /** Number of coming writes whose answer is lost after their effect. */
  loseWriteAnswers: number;
  /** Most writes a second; beyond it calls are refused. */
  maxWritesPerSecond: number;
  /** Most reads a second, a waiting watch counted as one. */
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

/** Kind of a call, for its rate. */
export type CallKind = "read" | "write";

/** Keys, revisions, leases and watches in memory. */
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

  /** @param clock - Clock of leases and rates. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Revision of the last write. */
  get revision(): number {
    return this.#revision;
  }

  /** Calls since the start, refused ones included. */
  get callCounts(): Readonly<Record<CallKind, number>> {
    return this.#callCounts;
  }

  /** @returns Whether the rate allows one more call now. */
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

  /** @returns Whether this write's answer is to be lost. */
  consumeLostAnswer(): boolean {
    if (this.faults.loseWriteAnswers <= 0) return false;
    this.faults.loseWriteAnswers--;
    return true;
  }

  /** @returns The entry of a key. */
  get(key: string): StoreEntry | undefined {
    return this.#entries.get(key);
  }

  /** @returns All entries under a prefix, in order of their keys. */
  list(prefix: string): StoreListing {
    const entries = [...this.#entries.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
    return { entries, revision: this.#revision };
  }

  /** Compare-and-swap of one key. */
  put(write: StorePut): StoreWriteResult {
    if (Buffer.byteLength(write.value) > MAX_STORE_VALUE_BYTES) {
      throw new RangeError("the value is larger than a megabyte");
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

  /** Compare-and-swap delete of one key. */
  delete(write: StoreDelete): StoreWriteResult {
    const current = this.#entries.get(write.key);
    if ((current?.revision ?? 0) !== write.expectedRevision) {
      return { kind: "conflict", current };
    }
    if (current) this.#remove(write.key);
    return { kind: "written", revision: this.#revision };
  }

  /**
   * @param afterRevision - Changes after this one are wanted.
   * @returns The kept changes, or `undefined` when some have been compacted.
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

  /** Calls a listener on each change under a prefix. */
  subscribe(
    prefix: string,
    onChange: (change: StoreChange) => void,
  ): Disposable {
    const subscription = { prefix, onChange };
    this.#subscriptions.add(subscription);
    return toDisposable(() => this.#subscriptions.delete(subscription));
  }

  /** Drops the history, so that old watches are refused. */
  compact(): void {
    this.#changes.length = 0;
    this.#oldestRevision = this.#revision + 1;
  }

  /** Remembers the present state as what a lagging replica holds. */
  takeSnapshot(): void {
    this.#snapshot = {
      entries: new Map(this.#entries),
      revision: this.#revision,
    };
  }

  /** The lagging replica takes over: what came after its state is lost. */
  failOver(): void {
    if (!this.#snapshot) return;
    this.#entries = new Map(this.#snapshot.entries);
    this.#revision = this.#snapshot.revision;
    this.#changes.length = 0;
    this.#oldestRevision = this.#revision + 1;
  }

  /** @returns The id of a new lease. */
  grantLease(ttlMs: number): LeaseId {
    const id = String(this.#leaseSequence++) as LeaseId;
    this.#leases.set(id, {
      ttlMs,
      keys: new Set(),
      timer: this.#clock.setTimer(ttlMs, () => this.revokeLease(id)),
    });
    return id;
  }

  /** @returns The renewed time to live, or 0 when the lease has lapsed. */
  renewLease(id: LeaseId): number {
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    lease.timer.dispose();
    lease.timer = this.#clock.setTimer(lease.ttlMs, () => this.revokeLease(id));
    return lease.ttlMs;
  }

  /** Ends a lease and deletes its keys. */
  revokeLease(id: LeaseId): void {
    const lease = this.#leases.get(id);
    if (!lease) return;
    lease.timer.dispose();
    this.#leases.delete(id);
    for (const key of lease.keys) if (this.#entries.has(key)) this.#remove(key);
  }

  /** All leases end, though their holders believe that they still hold them. */
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
