/** Largest value within a span of time. */

import type { Clock } from "./clock.ts";

/** Keeps the largest of the values recorded within a span. */
export class RecentMaximum {
  readonly #clock: Clock;
  readonly #spanMs: number;
  /** Each value is the largest from its time on; in descending order. */
  #values: { readonly value: number; readonly atMs: number }[] = [];

  /**
   * @param clock - Clock that measures the span.
   * @param spanMs - Duration of the span in milliseconds.
   */
  constructor(clock: Clock, spanMs: number) {
    this.#clock = clock;
    this.#spanMs = spanMs;
  }

  /** Records the value that is in force from now on. */
  record(value: number): void {
    const replaced = this.#values.find((entry) => entry.value <= value);
    const atMs = replaced?.atMs ?? this.#clock.monotonicMs();
    this.#values = this.#values.filter((entry) => entry.value > value);
    this.#values.push({ value, atMs });
  }

  /** @returns The largest value in force within the span, or 0. */
  max(): number {
    const oldestMs = this.#clock.monotonicMs() - this.#spanMs;
    // A value is in force until the next one is recorded.
    while ((this.#values[1]?.atMs ?? Infinity) <= oldestMs) {
      this.#values.shift();
    }
    return this.#values[0]?.value ?? 0;
  }
}
