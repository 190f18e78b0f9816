/** Rate limiter with a minimum time between operations. */

import type { Clock } from "../../../base/common/clock.ts";

/** Allows one operation per period, and none during the first period. */
export class IntervalLimiter {
  readonly #clock: Clock;
  readonly #periodMs: number;
  #nextMs: number;

  /**
   * @param clock - Clock whose monotonic time is used.
   * @param periodMs - Time between two operations, in milliseconds.
   */
  constructor(clock: Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#nextMs = clock.monotonicMs() + periodMs;
  }

  /** Whether an operation is allowed now. */
  get isAllowed(): boolean {
    return this.#clock.monotonicMs() >= this.#nextMs;
  }

  /** Records that an operation was started. */
  recordUse(): void {
    this.#nextMs = this.#clock.monotonicMs() + this.#periodMs;
  }
}
