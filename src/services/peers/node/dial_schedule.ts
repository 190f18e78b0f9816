/**
 * Schedule of the dial attempts to peers: the first attempt is made at once or
 * after a short head start for the peer, and further attempts follow with
 * exponential backoff and jitter.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type { PeerAddress, PeerTarget } from "../common/peer_links.ts";

/** Delay before the first retry; it doubles with each failed attempt. */
const INITIAL_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 8_000;
/**
 * Head start that the host with the smaller name has in dialing, so that
 * usually only one side of a pair opens a connection.
 */
const GREATER_NAME_DIAL_DELAY_MS = 1_000;

interface DialState {
  peer: PeerAddress;
  retryDelayMs: number;
  nextAttemptMs: number;
}

/**
 * Holds the peers to which links are kept, each with the time of its next dial
 * attempt.
 */
export class DialSchedule {
  readonly #clock: Clock;
  readonly #random: SeededRandom;
  readonly #self: HostId;
  readonly #states = new Map<HostId, DialState>();

  /**
   * @param clock - The clock that schedules the attempts.
   * @param random - The source of the jitter.
   * @param self - The name of this host.
   */
  constructor(clock: Clock, random: SeededRandom, self: HostId) {
    this.#clock = clock;
    this.#random = random;
    this.#self = self;
  }

  /**
   * Replaces the set of peers. The schedule of a peer whose address changed
   * starts over.
   */
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

  /** Resets the retry delay of a peer after a link to it was established. */
  resetBackoff(host: HostId): void {
    const state = this.#states.get(host);
    if (state) state.retryDelayMs = INITIAL_RETRY_DELAY_MS;
  }

  /**
   * Schedules the next attempt after a link to a peer failed, and doubles the
   * retry delay up to `MAX_RETRY_DELAY_MS`.
   */
  backOff(host: HostId): void {
    const state = this.#states.get(host);
    if (!state) return;
    const jitter = 0.5 + this.#random.float() / 2;
    const earliestMs = this.#clock.monotonicMs() + state.retryDelayMs * jitter;
    state.nextAttemptMs = Math.max(state.nextAttemptMs, earliestMs);
    state.retryDelayMs = Math.min(2 * state.retryDelayMs, MAX_RETRY_DELAY_MS);
  }

  /**
   * Selects the peers that are due for a dial attempt and backs off each of
   * them.
   *
   * @param isLinked - Whether a host has a link or a link to it is being
   * opened.
   * @returns The peers to dial now.
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

  #initialDelayMs({ host, isSoleDialer }: PeerTarget): number {
    return host < this.#self && !isSoleDialer ? GREATER_NAME_DIAL_DELAY_MS : 0;
  }
}
