/** When hosts were last heard, directly or by the word of a third one. */

import type { HostId } from "../../../base/common/ids.ts";

/** Silence after which a member is suspected. */
export const SUSPECT_AFTER_MS = 2_000;
/** Silence after which a member is removed. */
export const REMOVE_AFTER_MS = 6_000;

/** Times of the last signs of life, on the monotonic clock. */
export class LivenessTracker {
  readonly #lastReceivedMs = new Map<HostId, number>();
  readonly #lastProbeAckMs = new Map<HostId, number>();

  /** Takes note that a host was heard. */
  recordReceived(host: HostId, nowMs: number): void {
    this.#lastReceivedMs.set(host, nowMs);
  }

  /** Takes note that a third host hears this one. */
  recordProbeAck(host: HostId, nowMs: number): void {
    this.#lastProbeAckMs.set(host, nowMs);
  }

  /** Forgets a host. */
  untrack(host: HostId): void {
    this.#lastReceivedMs.delete(host);
    this.#lastProbeAckMs.delete(host);
  }

  /** Starts the time of a host that has not been heard yet. */
  track(host: HostId, nowMs: number): void {
    if (!this.#lastReceivedMs.has(host)) this.#lastReceivedMs.set(host, nowMs);
  }

  /** @returns Whether a host is silent towards this one. */
  isUnresponsive(host: HostId, nowMs: number): boolean {
    return nowMs - (this.#lastReceivedMs.get(host) ?? -Infinity) >
      SUSPECT_AFTER_MS;
  }

  /** @returns Whether nobody has heard a host for the time of removal. */
  hasTimedOut(host: HostId, nowMs: number): boolean {
    const lastMs = Math.max(
      this.#lastReceivedMs.get(host) ?? -Infinity,
      this.#lastProbeAckMs.get(host) ?? -Infinity,
    );
    return nowMs - lastMs > REMOVE_AFTER_MS;
  }

  /** Moves all times forward, when this process itself did not run. */
  shiftTimes(offsetMs: number): void {
    for (const times of [this.#lastReceivedMs, this.#lastProbeAckMs]) {
      for (const [host, timeMs] of times) times.set(host, timeMs + offsetMs);
    }
  }
}
