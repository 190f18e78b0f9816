/**
 * Usage of each endpoint: exact for this daemon, as last reported for its
 * peers. Every daemon learns of a placement within milliseconds, long before
 * the endpoint's own report shows it.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { EndpointId, HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../../base/common/lifecycle.ts";

/** Resources in use on an endpoint. */
export interface EndpointUsage {
  readonly runs: number;
  /** Memory of prompts and expected outputs, in tokens. */
  readonly memoryTokens: number;
  /** Prompts without a first event yet, in tokens. */
  readonly pendingPrefillTokens: number;
  /** Memory of the backups of generations that run elsewhere, in tokens. */
  readonly backupTokens: number;
}

type MutableUsage = { -readonly [K in keyof EndpointUsage]: number };

/** Usage of one endpoint by one daemon, as exchanged between peers. */
export interface UsageRow extends EndpointUsage {
  readonly endpoint: EndpointId;
}

/**
 * Lifetime of a peer's rows without an update; links detect a dead peer sooner.
 */
const PEER_ROWS_LIFETIME_MS = 12_000;

interface PeerRows {
  readonly rows: Map<EndpointId, EndpointUsage>;
  revision: number;
  receivedMs: number;
}

/** Share of one request in the usage of an endpoint. */
export interface UsageClaim extends Disposable {
  /** Releases the pending prefill, as the first event has arrived. */
  markPrefilled(): void;
  /** @param memoryTokens - Memory that the request now requires, in tokens. */
  resize(memoryTokens: number): void;
}

/** Share of one backup in the usage of an endpoint. */
export interface BackupClaim extends Disposable {
  /** @param tokens - Current size of the backup, in tokens. */
  resize(tokens: number): void;
}

/** Tracks the usage of endpoints by this daemon and its peers. */
export class LoadTable {
  readonly #clock: Clock;
  readonly #localUsage = new Map<EndpointId, MutableUsage>();
  /**
   * Number of calls by endpoint; calls are too short to be announced to peers.
   */
  readonly #callCounts = new Map<EndpointId, number>();
  readonly #peerRows = new Map<HostId, PeerRows>();
  /** Sums over this daemon and its peers, kept because they are read often. */
  readonly #totals = new Map<EndpointId, MutableUsage>();
  readonly #localUsageChanged = new Emitter<EndpointId>();
  /** Monotonic time before which the rows of no peer expire. */
  #nextExpiryMs = -Infinity;

  /** Fires when this daemon's usage of an endpoint changes. */
  readonly onDidChangeLocalUsage = this.#localUsageChanged.event;

  /** @param clock - Clock for the lifetime of rows. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Claims capacity for a generation.
   *
   * @param endpoint - Id of the endpoint.
   * @param memoryTokens - Memory that the generation will require, in tokens.
   * @param pendingPrefillTokens - Tokens of its prompt that have to be
   * prefilled.
   * @returns The claim, to be disposed of when the generation has ended.
   */
  claim(
    endpoint: EndpointId,
    memoryTokens: number,
    pendingPrefillTokens: number,
  ): UsageClaim {
    let pendingPrefill = pendingPrefillTokens;
    let memory = memoryTokens;
    let isReleased = false;
    this.#addLocal(endpoint, 1, memory, pendingPrefill, 0);
    const resize = (tokens: number): void => {
      if (isReleased) return;
      this.#addLocal(endpoint, 0, tokens - memory, 0, 0, false);
      memory = tokens;
    };
    const markPrefilled = (): void => {
      if (pendingPrefill === 0) return;
      this.#addLocal(endpoint, 0, 0, -pendingPrefill, 0);
      pendingPrefill = 0;
    };
    const release = toDisposable(() => {
      isReleased = true;
      this.#addLocal(endpoint, -1, -memory, -pendingPrefill, 0);
      pendingPrefill = 0;
    });
    return { markPrefilled, resize, dispose: () => release.dispose() };
  }

  /** @returns A claim for a call that is not a generation. */
  claimCall(endpoint: EndpointId): Disposable {
    this.#addCall(endpoint, 1);
    return toDisposable(() => this.#addCall(endpoint, -1));
  }

  /**
   * Claims memory for the backup of a generation that runs elsewhere.
   *
   * @param endpoint - Id of the endpoint that keeps the backup.
   * @param tokens - Size of the backup, in tokens.
   * @returns The claim, to be disposed of when the backup is released.
   */
  claimBackup(endpoint: EndpointId, tokens: number): BackupClaim {
    let memory = tokens;
    let isReleased = false;
    this.#addLocal(endpoint, 0, 0, 0, memory);
    return {
      resize: (newTokens) => {
        if (isReleased) return;
        this.#addLocal(endpoint, 0, 0, 0, newTokens - memory, false);
        memory = newTokens;
      },
      dispose: () => {
        if (isReleased) return;
        isReleased = true;
        this.#addLocal(endpoint, 0, 0, 0, -memory);
      },
    };
  }

  /** @returns The rows of this daemon, for its peers. */
  localRows(): UsageRow[] {
    return [...this.#localUsage].map(([endpoint, usage]) => ({
      endpoint,
      ...usage,
    }));
  }

  /** @returns The row of this daemon for an endpoint. */
  localRow(endpoint: EndpointId): UsageRow {
    const usage = this.#localUsage.get(endpoint) ?? emptyUsage();
    return { endpoint, ...usage };
  }

  /** @returns The rows of all peers that have sent them recently, by host. */
  peerRows(): {
    host: HostId;
    revision: number;
    rows: readonly UsageRow[];
  }[] {
    this.#removeExpiredPeers();
    return [...this.#peerRows].map(([host, { revision, rows }]) => ({
      host,
      revision,
      rows: [...rows].map(([endpoint, usage]) => ({ endpoint, ...usage })),
    }));
  }

  /**
   * Applies rows received from a peer.
   *
   * @param host - The peer.
   * @param revision - Revision of the rows; it increases with each update.
   * @param rows - The rows; rows of other endpoints stay unchanged.
   * @param isFull - Whether these are all rows of the peer.
   * @returns Whether the rows were newer than the previous ones.
   */
  applyPeerRows(
    host: HostId,
    revision: number,
    rows: readonly UsageRow[],
    isFull: boolean,
  ): boolean {
    const previous = this.#peerRows.get(host);
    if (previous && revision <= previous.revision) return false;
    if (isFull && previous) this.#subtractRows(previous.rows);
    const retainedRows = isFull ? undefined : previous?.rows;
    const updatedRows = retainedRows ?? new Map<EndpointId, EndpointUsage>();
    for (const { endpoint, ...usage } of rows) {
      const previousUsage = updatedRows.get(endpoint);
      if (previousUsage) this.#addToTotal(endpoint, negate(previousUsage));
      if (isEmptyUsage(usage)) updatedRows.delete(endpoint);
      else {
        updatedRows.set(endpoint, usage);
        this.#addToTotal(endpoint, usage);
      }
    }
    const receivedMs = this.#clock.monotonicMs();
    this.#peerRows.set(host, {
      rows: updatedRows,
      revision,
      receivedMs,
    });
    return true;
  }

  /**
   * @returns The usage of an endpoint by all daemons, as far as it is known
   * here.
   */
  totalUsage(endpoint: EndpointId): EndpointUsage {
    this.#removeExpiredPeers();
    const total = { ...(this.#totals.get(endpoint) ?? emptyUsage()) };
    total.runs += this.#callCounts.get(endpoint) ?? 0;
    return total;
  }

  /**
   * @returns Tokens of prompts without a first event yet on an endpoint, as
   * {@link LoadTable.totalUsage} has them; cheap enough for each event.
   */
  pendingPrefillTokens(endpoint: EndpointId): number {
    return this.#totals.get(endpoint)?.pendingPrefillTokens ?? 0;
  }

  #removeExpiredPeers(): void {
    const nowMs = this.#clock.monotonicMs();
    // Runs for each endpoint of each choice, while peers rarely expire.
    if (nowMs <= this.#nextExpiryMs) return;
    this.#nextExpiryMs = nowMs + PEER_ROWS_LIFETIME_MS;
    for (const [host, { rows, receivedMs }] of this.#peerRows) {
      const expiryMs = receivedMs + PEER_ROWS_LIFETIME_MS;
      if (nowMs > expiryMs) {
        this.#subtractRows(rows);
        this.#peerRows.delete(host);
      } else this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiryMs);
    }
  }

  #subtractRows(rows: ReadonlyMap<EndpointId, EndpointUsage>): void {
    for (const [endpoint, usage] of rows) {
      this.#addToTotal(endpoint, negate(usage));
    }
  }

  #addToTotal(endpoint: EndpointId, usage: EndpointUsage): void {
    const total = this.#totals.get(endpoint) ?? emptyUsage();
    addUsage(total, usage);
    if (isEmptyUsage(total)) this.#totals.delete(endpoint);
    else this.#totals.set(endpoint, total);
  }

  #addCall(endpoint: EndpointId, delta: number): void {
    const count = (this.#callCounts.get(endpoint) ?? 0) + delta;
    if (count === 0) this.#callCounts.delete(endpoint);
    else this.#callCounts.set(endpoint, count);
  }

  #addLocal(
    endpoint: EndpointId,
    runs: number,
    memoryTokens: number,
    pendingPrefillTokens: number,
    backupTokens: number,
    shouldNotify = true,
  ): void {
    const usage = this.#localUsage.get(endpoint) ?? emptyUsage();
    const change = { runs, memoryTokens, pendingPrefillTokens, backupTokens };
    addUsage(usage, change);
    this.#addToTotal(endpoint, change);
    if (isEmptyUsage(usage)) this.#localUsage.delete(endpoint);
    else this.#localUsage.set(endpoint, usage);
    // Growth is sent with the next change or the next full table.
    if (shouldNotify) this.#localUsageChanged.fire(endpoint);
  }
}

function emptyUsage(): MutableUsage {
  return { runs: 0, memoryTokens: 0, pendingPrefillTokens: 0, backupTokens: 0 };
}

function isEmptyUsage({ runs, backupTokens }: EndpointUsage): boolean {
  return runs === 0 && backupTokens === 0;
}

function negate(usage: EndpointUsage): EndpointUsage {
  return {
    runs: -usage.runs,
    memoryTokens: -usage.memoryTokens,
    pendingPrefillTokens: -usage.pendingPrefillTokens,
    backupTokens: -usage.backupTokens,
  };
}

function addUsage(total: MutableUsage, usage: EndpointUsage): void {
  total.runs += usage.runs;
  total.memoryTokens += usage.memoryTokens;
  total.pendingPrefillTokens += usage.pendingPrefillTokens;
  total.backupTokens += usage.backupTokens;
}
