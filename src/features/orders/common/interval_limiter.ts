/** Lets single things through at a steady rate. */

import type { Clock } from "../../../base/common/clock.ts";

/** Allows one thing in each period, and none in the first. */
export class IntervalLimiter {
  readonly #clock: Clock;
  readonly #periodMs: number;
  #nextMs: number;

  /**
   * @param clock - Its monotonic time is used.
   * @param periodMs - Time between two things, in milliseconds.
   */
  constructor(clock: Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#nextMs = clock.monotonicMs() + periodMs;
  }

  /** Whether one thing may pass now. */
  get isAllowed(): boolean {
    return this.#clock.monotonicMs() >= this.#nextMs;
  }

  /** Takes note that one thing has passed. */
  recordUse(): void {
    this.#nextMs = this.#clock.monotonicMs() + this.#periodMs;
  }
}
