/**
 * What is in use at each endpoint: by this daemon exactly, by the others as they
 * last told. A placement by any daemon is known to all within milliseconds, long
 * before an endpoint's own report shows it.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../base/common/lifecycle.ts";

/** What is in use at an endpoint. */
export interface EndpointUsage {
  readonly runs: number;
  /** Memory of prompts and expected answers, in tokens. */
  readonly memoryTokens: number;
  /** Prompts that have not given a first event yet, in tokens. */
  readonly pendingPrefillTokens: number;
  /** Copies kept for generations elsewhere, in tokens. */
  readonly backupTokens: number;
}

type MutableUsage = { -readonly [K in keyof EndpointUsage]: number };

/** One row of what a daemon tells its peers. */
export interface UsageRow extends EndpointUsage {
  readonly endpoint: EndpointId;
}

/** Rows of a silent host count for this long; links notice death sooner. */
const PEER_ROWS_LIFETIME_MS = 12_000;

interface PeerRows {
  readonly rows: Map<EndpointId, EndpointUsage>;
  revision: number;
  receivedMs: number;
}

/** A request's part of the use of an endpoint. */
export interface UsageClaim extends Disposable {
  /** The prompt was read; the first event has come. */
  markPrefilled(): void;
  /** @param memoryTokens - Memory that the request needs by now. */
  resize(memoryTokens: number): void;
}

/** A copy's part of the use of an endpoint. */
export interface BackupClaim extends Disposable {
  /** @param tokens - Size of the copy by now. */
  resize(tokens: number): void;
}

/** Counts uses. */
export class LoadTable {
  readonly #clock: Clock;
  readonly #localUsage = new Map<EndpointId, MutableUsage>();
  /** Plain calls, which are too short to be worth telling peers about. */
  readonly #callCounts = new Map<EndpointId, number>();
  readonly #peerRows = new Map<HostId, PeerRows>();
  /** Sums over this daemon and its peers, as they are asked for often. */
  readonly #totals = new Map<EndpointId, MutableUsage>();
  readonly #localUsageChanged = new Emitter<EndpointId>();
  /** Time before which no peer's rows are too old. */
  #nextExpiryMs = -Infinity;

  /** Fires when this daemon's own use of an endpoint changes. */
  readonly onDidChangeLocalUsage = this.#localUsageChanged.event;

  /** @param clock - Clock of the rows' lifetime. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param endpoint - Where a request goes.
   * @param memoryTokens - Memory that it will need.
   * @param pendingPrefillTokens - Its prompt, as far as it has to be read.
   * @returns The claim; disposed when the request has ended.
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
    return {
      markPrefilled: markPrefilled,
      resize,
      dispose: () => release.dispose(),
    };
  }

  /** @returns The claim of a plain call. */
  claimCall(endpoint: EndpointId): Disposable {
    this.#addCall(endpoint, 1);
    return toDisposable(() => this.#addCall(endpoint, -1));
  }

  /** Counts a copy that an endpoint keeps for a generation elsewhere. */
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

  /** @returns This daemon's own rows, for its peers. */
  localRows(): UsageRow[] {
    return [...this.#localUsage].map(([endpoint, use]) => ({
      endpoint,
      ...use,
    }));
  }

  /** @returns This daemon's own use of an endpoint. */
  localRow(endpoint: EndpointId): UsageRow {
    const usage = this.#localUsage.get(endpoint) ?? emptyUsage();
    return { endpoint, ...usage };
  }

  /** @returns Rows of the peers that have told lately, by host. */
  peerRows(): {
    host: HostId;
    revision: number;
    rows: readonly UsageRow[];
  }[] {
    this.#removeExpiredPeers();
    return [...this.#peerRows].map(([host, { revision, rows }]) => ({
      host,
      revision,
      rows: [...rows].map(([endpoint, use]) => ({ endpoint, ...use })),
    }));
  }

  /**
   * Takes in rows of a peer.
   *
   * @param host - The peer.
   * @param revision - Number of the rows, which grows.
   * @param rows - Its rows; others stay as they were.
   * @param isFull - Whether these are all rows that it has.
   * @returns Whether they are newer than what was known.
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
    const toldMs = this.#clock.monotonicMs();
    this.#peerRows.set(host, {
      rows: updatedRows,
      revision,
      receivedMs: toldMs,
    });
    return true;
  }

  /** @returns What all daemons use of an endpoint, as far as is known. */
  totalUsage(endpoint: EndpointId): EndpointUsage {
    this.#removeExpiredPeers();
    const total = { ...(this.#totals.get(endpoint) ?? emptyUsage()) };
    total.runs += this.#callCounts.get(endpoint) ?? 0;
    return total;
  }

  #removeExpiredPeers(): void {
    const nowMs = this.#clock.monotonicMs();
    // Asked for each endpoint of each choice, while peers fall silent rarely.
    if (nowMs <= this.#nextExpiryMs) return;
    this.#nextExpiryMs = nowMs + PEER_ROWS_LIFETIME_MS;
    for (const [host, { rows, receivedMs: toldMs }] of this.#peerRows) {
      const expiryMs = toldMs + PEER_ROWS_LIFETIME_MS;
      if (nowMs > expiryMs) {
        this.#subtractRows(rows);
        this.#peerRows.delete(host);
      } else this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiryMs);
    }
  }

  #subtractRows(rows: ReadonlyMap<EndpointId, EndpointUsage>): void {
    for (const [endpoint, use] of rows) {
      this.#addToTotal(endpoint, negate(use));
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
    const change = {
      runs,
      memoryTokens,
      pendingPrefillTokens: pendingPrefillTokens,
      backupTokens: backupTokens,
    };
    addUsage(usage, change);
    this.#addToTotal(endpoint, change);
    if (isEmptyUsage(usage)) this.#localUsage.delete(endpoint);
    else this.#localUsage.set(endpoint, usage);
    // Growth is told with the next change or the next whole table.
    if (shouldNotify) this.#localUsageChanged.fire(endpoint);
  }
}

function emptyUsage(): MutableUsage {
  return { runs: 0, memoryTokens: 0, pendingPrefillTokens: 0, backupTokens: 0 };
}

function isEmptyUsage(
  { runs, backupTokens: copyTokens }: EndpointUsage,
): boolean {
  return runs === 0 && copyTokens === 0;
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
