/** Clock of one simulated process, which can be frozen or killed. */

import type { Clock } from "../../src/base/common/clock.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
  toDisposable,
} from "../../src/base/common/lifecycle.ts";

/**
 * All that a process does in-process starts from a timer of its clock; so a
 * process without timers does nothing.
 */
export class ProcessClock implements Clock {
  readonly #clock: Clock;
  readonly #timers = new Set<Disposable>();
  #heldCallbacks: (() => void)[] = [];
  #isFrozen = false;
  #isKilled = false;

  /** @param clock - The clock of the world. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the process is dead. */
  get isKilled(): boolean {
    return this.#isKilled;
  }

  /** {@inheritDoc Clock.nowMs} */
  nowMs(): number {
    return this.#clock.nowMs();
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  /** {@inheritDoc Clock.setTimer} */
  setTimer(delayMs: number, callback: () => void): Disposable {
    if (this.#isKilled) return NOOP_DISPOSABLE;
    let isCancelled = false;
    const runUnlessCancelled = (): void => {
      if (!isCancelled && !this.#isKilled) callback();
    };
    const timer = this.#clock.setTimer(delayMs, () => {
      this.#timers.delete(timer);
      if (this.#isFrozen) this.#heldCallbacks.push(runUnlessCancelled);
      else runUnlessCancelled();
    });
    this.#timers.add(timer);
    return toDisposable(() => {
      isCancelled = true;
      this.#timers.delete(timer);
      timer.dispose();
    });
  }

  /** The process does nothing until it is thawed. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /** The process goes on and runs what fell due in between. */
  thaw(): void {
    this.#isFrozen = false;
    const heldCallbacks = this.#heldCallbacks;
    this.#heldCallbacks = [];
    for (const run of heldCallbacks) this.setTimer(0, run);
  }

  /** The process never does anything again. */
  kill(): void {
    this.#isKilled = true;
    this.#heldCallbacks = [];
    for (const timer of this.#timers) timer.dispose();
    this.#timers.clear();
  }
}
