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
export interface EndpointUse {
  readonly runs: number;
  /** Memory of prompts and expected answers, in tokens. */
  readonly memoryTokens: number;
  /** Prompts that have not given a first event yet, in tokens. */
  readonly unreadTokens: number;
  /** Copies kept for generations elsewhere, in tokens. */
  readonly copyTokens: number;
}

type MutableUse = { -readonly [K in keyof EndpointUse]: number };

/** One row of what a daemon tells its peers. */
export interface UseRow extends EndpointUse {
  readonly endpoint: EndpointId;
}

/** Rows of a silent host count for this long; links notice death sooner. */
const PEER_ROWS_LIFETIME_MS = 12_000;

interface PeerRows {
  readonly rows: Map<EndpointId, EndpointUse>;
  revision: number;
  toldMs: number;
}

/** A request's part of the use of an endpoint. */
export interface UseClaim extends Disposable {
  /** The prompt was read; the first event has come. */
  markRead(): void;
  /** @param memoryTokens - Memory that the request needs by now. */
  resize(memoryTokens: number): void;
}

/** A copy's part of the use of an endpoint. */
export interface CopyClaim extends Disposable {
  /** @param tokens - Size of the copy by now. */
  resize(tokens: number): void;
}

/** Counts uses. */
export class LoadBoard {
  readonly #clock: Clock;
  readonly #own = new Map<EndpointId, MutableUse>();
  /** Plain calls, which are too short to be worth telling peers about. */
  readonly #calls = new Map<EndpointId, number>();
  readonly #peers = new Map<HostId, PeerRows>();
  /** Sums over this daemon and its peers, as they are asked for often. */
  readonly #totals = new Map<EndpointId, MutableUse>();
  readonly #changed = new Emitter<EndpointId>();
  /** Time before which no peer's rows are too old. */
  #nextForgetMs = -Infinity;

  /** Fires when this daemon's own use of an endpoint changes. */
  readonly onDidChangeOwn = this.#changed.event;

  /** @param clock - Clock of the rows' lifetime. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param endpoint - Where a request goes.
   * @param memoryTokens - Memory that it will need.
   * @param unreadTokens - Its prompt, as far as it has to be read.
   * @returns The claim; disposed when the request has ended.
   */
  claim(
    endpoint: EndpointId,
    memoryTokens: number,
    unreadTokens: number,
  ): UseClaim {
    let unread = unreadTokens;
    let memory = memoryTokens;
    let isReleased = false;
    this.#add(endpoint, 1, memory, unread, 0);
    const resize = (tokens: number): void => {
      if (isReleased) return;
      this.#add(endpoint, 0, tokens - memory, 0, 0, false);
      memory = tokens;
    };
    const markRead = (): void => {
      if (unread === 0) return;
      this.#add(endpoint, 0, 0, -unread, 0);
      unread = 0;
    };
    const release = toDisposable(() => {
      isReleased = true;
      this.#add(endpoint, -1, -memory, -unread, 0);
      unread = 0;
    });
    return { markRead, resize, dispose: () => release.dispose() };
  }

  /** @returns The claim of a plain call. */
  claimCall(endpoint: EndpointId): Disposable {
    this.#addCall(endpoint, 1);
    return toDisposable(() => this.#addCall(endpoint, -1));
  }

  /** Counts a copy that an endpoint keeps for a generation elsewhere. */
  claimCopy(endpoint: EndpointId, tokens: number): CopyClaim {
    let memory = tokens;
    let isReleased = false;
    this.#add(endpoint, 0, 0, 0, memory);
    return {
      resize: (changed) => {
        if (isReleased) return;
        this.#add(endpoint, 0, 0, 0, changed - memory, false);
        memory = changed;
      },
      dispose: () => {
        if (isReleased) return;
        isReleased = true;
        this.#add(endpoint, 0, 0, 0, -memory);
      },
    };
  }

  /** @returns This daemon's own rows, for its peers. */
  ownRows(): UseRow[] {
    return [...this.#own].map(([endpoint, use]) => ({ endpoint, ...use }));
  }

  /** @returns This daemon's own use of an endpoint. */
  ownRow(endpoint: EndpointId): UseRow {
    const use = this.#own.get(endpoint) ?? noUse();
    return { endpoint, ...use };
  }

  /** @returns Rows of the peers that have told lately, by host. */
  peerRows(): {
    host: HostId;
    revision: number;
    rows: readonly UseRow[];
  }[] {
    this.#forgetSilentPeers();
    return [...this.#peers].map(([host, { revision, rows }]) => ({
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
   * @param isWhole - Whether these are all rows that it has.
   * @returns Whether they are newer than what was known.
   */
  applyPeerRows(
    host: HostId,
    revision: number,
    rows: readonly UseRow[],
    isWhole: boolean,
  ): boolean {
    const known = this.#peers.get(host);
    if (known && revision <= known.revision) return false;
    if (isWhole && known) this.#subtractRows(known.rows);
    const kept = isWhole ? undefined : known?.rows;
    const next = kept ?? new Map<EndpointId, EndpointUse>();
    for (const { endpoint, ...use } of rows) {
      const earlier = next.get(endpoint);
      if (earlier) this.#addToTotal(endpoint, negative(earlier));
      if (isNone(use)) next.delete(endpoint);
      else {
        next.set(endpoint, use);
        this.#addToTotal(endpoint, use);
      }
    }
    const toldMs = this.#clock.monotonicMs();
    this.#peers.set(host, { rows: next, revision, toldMs });
    return true;
  }

  /** @returns What all daemons use of an endpoint, as far as is known. */
  totalUse(endpoint: EndpointId): EndpointUse {
    this.#forgetSilentPeers();
    const total = { ...(this.#totals.get(endpoint) ?? noUse()) };
    total.runs += this.#calls.get(endpoint) ?? 0;
    return total;
  }

  #forgetSilentPeers(): void {
    const nowMs = this.#clock.monotonicMs();
    // Asked for each endpoint of each choice, while peers fall silent rarely.
    if (nowMs <= this.#nextForgetMs) return;
    this.#nextForgetMs = nowMs + PEER_ROWS_LIFETIME_MS;
    for (const [host, { rows, toldMs }] of this.#peers) {
      const endMs = toldMs + PEER_ROWS_LIFETIME_MS;
      if (nowMs > endMs) {
        this.#subtractRows(rows);
        this.#peers.delete(host);
      } else this.#nextForgetMs = Math.min(this.#nextForgetMs, endMs);
    }
  }

  #subtractRows(rows: ReadonlyMap<EndpointId, EndpointUse>): void {
    for (const [endpoint, use] of rows) {
      this.#addToTotal(endpoint, negative(use));
    }
  }

  #addToTotal(endpoint: EndpointId, use: EndpointUse): void {
    const total = this.#totals.get(endpoint) ?? noUse();
    addTo(total, use);
    if (isNone(total)) this.#totals.delete(endpoint);
    else this.#totals.set(endpoint, total);
  }

  #addCall(endpoint: EndpointId, by: number): void {
    const count = (this.#calls.get(endpoint) ?? 0) + by;
    if (count === 0) this.#calls.delete(endpoint);
    else this.#calls.set(endpoint, count);
  }

  #add(
    endpoint: EndpointId,
    runs: number,
    memoryTokens: number,
    unreadTokens: number,
    copyTokens: number,
    isTold = true,
  ): void {
    const use = this.#own.get(endpoint) ?? noUse();
    const change = { runs, memoryTokens, unreadTokens, copyTokens };
    addTo(use, change);
    this.#addToTotal(endpoint, change);
    if (isNone(use)) this.#own.delete(endpoint);
    else this.#own.set(endpoint, use);
    // Growth is told with the next change or the next whole table.
    if (isTold) this.#changed.fire(endpoint);
  }
}

function noUse(): MutableUse {
  return { runs: 0, memoryTokens: 0, unreadTokens: 0, copyTokens: 0 };
}

function isNone({ runs, copyTokens }: EndpointUse): boolean {
  return runs === 0 && copyTokens === 0;
}

function negative(use: EndpointUse): EndpointUse {
  return {
    runs: -use.runs,
    memoryTokens: -use.memoryTokens,
    unreadTokens: -use.unreadTokens,
    copyTokens: -use.copyTokens,
  };
}

function addTo(total: MutableUse, use: EndpointUse): void {
  total.runs += use.runs;
  total.memoryTokens += use.memoryTokens;
  total.unreadTokens += use.unreadTokens;
  total.copyTokens += use.copyTokens;
}
