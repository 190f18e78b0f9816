/** When to dial which peer: at once, then with growing pauses and jitter. */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type { PeerAddress, PeerTarget } from "../common/peer_links.ts";

const INITIAL_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 8_000;
/** The host with the greater name waits, so that usually one side dials. */
const GREATER_NAME_DIAL_DELAY_MS = 1_000;

interface DialState {
  peer: PeerAddress;
  retryDelayMs: number;
  nextAttemptMs: number;
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
    const targetHosts = new Set(peers.map(({ host }) => host));
    for (const host of this.#states.keys()) {
      if (!targetHosts.has(host)) this.#states.delete(host);
    }
    for (const peer of peers) {
      const current = this.#states.get(peer.host);
      if (current?.peer.address === peer.address) continue;
      if (peer.host === this.#self) continue;
      this.#states.set(peer.host, {
        peer,
        retryDelayMs: INITIAL_RETRY_DELAY_MS,
        nextAttemptMs: this.#clock.monotonicMs() + this.#initialDelayMs(peer),
      });
    }
  }

  /** Takes note that a link came up. */
  resetBackoff(host: HostId): void {
    const state = this.#states.get(host);
    if (state) state.retryDelayMs = INITIAL_RETRY_DELAY_MS;
  }

  /** Takes note that a link broke; the next attempt follows after a pause. */
  backOff(host: HostId): void {
    const state = this.#states.get(host);
    if (!state) return;
    const jitter = 0.5 + this.#random.float() / 2;
    const earliestMs = this.#clock.monotonicMs() + state.retryDelayMs * jitter;
    state.nextAttemptMs = Math.max(state.nextAttemptMs, earliestMs);
    state.retryDelayMs = Math.min(2 * state.retryDelayMs, MAX_RETRY_DELAY_MS);
  }

  /**
   * @param isLinked - Whether a host has a link or one is being opened.
   * @returns Peers to dial now; their next attempt is postponed.
   */
  takeDuePeers(isLinked: (host: HostId) => boolean): PeerAddress[] {
    const nowMs = this.#clock.monotonicMs();
    const due: PeerAddress[] = [];
    for (const [host, state] of this.#states) {
      if (state.nextAttemptMs > nowMs || isLinked(host)) continue;
      due.push(state.peer);
      this.backOff(host);
    }
    return due;
  }

  #initialDelayMs({ host, isSoleDialer: isOneSided }: PeerTarget): number {
    return host < this.#self && !isOneSided ? GREATER_NAME_DIAL_DELAY_MS : 0;
  }
}
