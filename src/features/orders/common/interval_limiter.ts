/** Lets single things through at a steady rate. */

import type { Clock } from "../../../base/common/clock.ts";

/** Allows one thing in each period, and none in the first. */
export class IntervalLimiter {
  readonly #clock: Clock;
  readonly #intervalMs: number;
  #nextAllowedMs: number;

  /**
   * @param clock - Its monotonic time is used.
   * @param intervalMs - Time between two things, in milliseconds.
   */
  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
    this.#nextAllowedMs = clock.monotonicMs() + intervalMs;
  }

  /** Whether one thing may pass now. */
  get isAllowed(): boolean {
    return this.#clock.monotonicMs() >= this.#nextAllowedMs;
  }

  /** Takes note that one thing has passed. */
  recordUse(): void {
    this.#nextAllowedMs = this.#clock.monotonicMs() + this.#intervalMs;
  }
}
