/**
 * Tracks when a host was last known to be alive, either by a message from the
 * host itself or by an indirect probe acknowledgement of another daemon.
 */

import type { HostId } from "../../../base/common/ids.ts";

/** Time without a message from a member after which it is suspected. */
export const SUSPECT_AFTER_MS = 2_000;
/** Time without any evidence of life after which a member is removed. */
export const REMOVE_AFTER_MS = 6_000;

/** Times of the last evidence that hosts are alive, on the monotonic clock. */
export class LivenessTracker {
  readonly #lastReceivedMs = new Map<HostId, number>();
  readonly #lastProbeAckMs = new Map<HostId, number>();

  /** Records that a message was received from a host. */
  recordReceived(host: HostId, nowMs: number): void {
    this.#lastReceivedMs.set(host, nowMs);
  }

  /** Records that another daemon confirmed that it receives from a host. */
  recordProbeAck(host: HostId, nowMs: number): void {
    this.#lastProbeAckMs.set(host, nowMs);
  }

  /** Removes all recorded times of a host. */
  untrack(host: HostId): void {
    this.#lastReceivedMs.delete(host);
    this.#lastProbeAckMs.delete(host);
  }

  /** Starts the timeouts of a host from which nothing has been received yet. */
  track(host: HostId, nowMs: number): void {
    if (!this.#lastReceivedMs.has(host)) this.#lastReceivedMs.set(host, nowMs);
  }

  /**
   * @returns Whether this daemon has received nothing from a host for longer
   * than `SUSPECT_AFTER_MS`.
   */
  isUnresponsive(host: HostId, nowMs: number): boolean {
    return nowMs - (this.#lastReceivedMs.get(host) ?? -Infinity) >
      SUSPECT_AFTER_MS;
  }

  /**
   * @returns Whether neither this daemon nor a probing peer has received
   * anything from a host for longer than `REMOVE_AFTER_MS`.
   */
  hasTimedOut(host: HostId, nowMs: number): boolean {
    const lastMs = Math.max(
      this.#lastReceivedMs.get(host) ?? -Infinity,
      this.#lastProbeAckMs.get(host) ?? -Infinity,
    );
    return nowMs - lastMs > REMOVE_AFTER_MS;
  }

  /**
   * Moves all recorded times forward, for use after a pause of this process.
   *
   * @param offsetMs - The length of the pause, in milliseconds.
   */
  shiftTimes(offsetMs: number): void {
    for (const times of [this.#lastReceivedMs, this.#lastProbeAckMs]) {
      for (const [host, timeMs] of times) times.set(host, timeMs + offsetMs);
    }
  }
}
