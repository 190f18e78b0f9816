/** When hosts were last heard, directly or by the word of a third one. */

import type { HostId } from "../../../base/common/ids.ts";

/** Silence after which a member is suspected. */
export const SUSPECT_AFTER_MS = 2_000;
/** Silence after which a member is removed. */
export const REMOVE_AFTER_MS = 6_000;

/** Times of the last signs of life, on the monotonic clock. */
export class LivenessTracker {
  readonly #heardMs = new Map<HostId, number>();
  readonly #vouchedMs = new Map<HostId, number>();

  /** Takes note that a host was heard. */
  hear(host: HostId, nowMs: number): void {
    this.#heardMs.set(host, nowMs);
  }

  /** Takes note that a third host hears this one. */
  vouch(host: HostId, nowMs: number): void {
    this.#vouchedMs.set(host, nowMs);
  }

  /** Forgets a host. */
  forget(host: HostId): void {
    this.#heardMs.delete(host);
    this.#vouchedMs.delete(host);
  }

  /** Starts the time of a host that has not been heard yet. */
  expect(host: HostId, nowMs: number): void {
    if (!this.#heardMs.has(host)) this.#heardMs.set(host, nowMs);
  }

  /** @returns Whether a host is silent towards this one. */
  isSilent(host: HostId, nowMs: number): boolean {
    return nowMs - (this.#heardMs.get(host) ?? -Infinity) > SUSPECT_AFTER_MS;
  }

  /** @returns Whether nobody has heard a host for the time of removal. */
  isLost(host: HostId, nowMs: number): boolean {
    const lastMs = Math.max(
      this.#heardMs.get(host) ?? -Infinity,
      this.#vouchedMs.get(host) ?? -Infinity,
    );
    return nowMs - lastMs > REMOVE_AFTER_MS;
  }

  /** Moves all times forward, when this process itself did not run. */
  shift(byMs: number): void {
    for (const times of [this.#heardMs, this.#vouchedMs]) {
      for (const [host, timeMs] of times) times.set(host, timeMs + byMs);
    }
  }
}
