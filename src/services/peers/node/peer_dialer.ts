/** When to dial which peer: at once, then with growing pauses and jitter. */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type { PeerAddress, PeerTarget } from "../common/peer_links.ts";

const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 8_000;
/** The host with the greater name waits, so that usually one side dials. */
const GREATER_NAME_DELAY_MS = 1_000;

interface DialState {
  peer: PeerAddress;
  pauseMs: number;
  dueMs: number;
}

/** The peers that links are kept to, with the time of the next attempt. */
export class DialSchedule {
  readonly #clock: Clock;
  readonly #random: SeededRandom;
  readonly #self: HostId;
  readonly #states = new Map<HostId, DialState>();

  /**
   * @param clock - Clock of the pauses.
   * @param random - Source of the jitter.
   * @param self - This host.
   */
  constructor(clock: Clock, random: SeededRandom, self: HostId) {
    this.#clock = clock;
    this.#random = random;
    this.#self = self;
  }

  /** Replaces the peers; one with a new address is dialled anew. */
  setPeers(peers: readonly PeerTarget[]): void {
    const wanted = new Set(peers.map(({ host }) => host));
    for (const host of this.#states.keys()) {
      if (!wanted.has(host)) this.#states.delete(host);
    }
    for (const peer of peers) {
      const known = this.#states.get(peer.host);
      if (known?.peer.address === peer.address) continue;
      if (peer.host === this.#self) continue;
      this.#states.set(peer.host, {
        peer,
        pauseMs: FIRST_PAUSE_MS,
        dueMs: this.#clock.monotonicMs() + this.#firstDelayMs(peer),
      });
    }
  }

  /** Takes note that a link came up. */
  reset(host: HostId): void {
    const state = this.#states.get(host);
    if (state) state.pauseMs = FIRST_PAUSE_MS;
  }

  /** Takes note that a link broke; the next attempt follows after a pause. */
  postpone(host: HostId): void {
    const state = this.#states.get(host);
    if (!state) return;
    const jitter = 0.5 + this.#random.float() / 2;
    const earliestMs = this.#clock.monotonicMs() + state.pauseMs * jitter;
    state.dueMs = Math.max(state.dueMs, earliestMs);
    state.pauseMs = Math.min(2 * state.pauseMs, MAX_PAUSE_MS);
  }

  /**
   * @param isLinked - Whether a host has a link or one is being opened.
   * @returns Peers to dial now; their next attempt is postponed.
   */
  takeDue(isLinked: (host: HostId) => boolean): PeerAddress[] {
    const nowMs = this.#clock.monotonicMs();
    const due: PeerAddress[] = [];
    for (const [host, state] of this.#states) {
      if (state.dueMs > nowMs || isLinked(host)) continue;
      due.push(state.peer);
      this.postpone(host);
    }
    return due;
  }

  #firstDelayMs({ host, isOneSided }: PeerTarget): number {
    return host < this.#self && !isOneSided ? GREATER_NAME_DELAY_MS : 0;
  }
}
