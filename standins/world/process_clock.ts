/** Clock of one simulated process, which can be frozen, thawed and killed. */

import type { Clock } from "../../src/base/common/clock.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
  toDisposable,
} from "../../src/base/common/lifecycle.ts";

/**
 * Controls a simulated process through its timers. All activity of such a
 * process starts from a timer of its clock, so holding back or disposing the
 * timers freezes or kills it.
 */
export class ProcessClock implements Clock {
  readonly #clock: Clock;
  readonly #timers = new Set<Disposable>();
  #heldCallbacks: (() => void)[] = [];
  #isFrozen = false;
  #isKilled = false;

  /** @param clock - Clock of the simulation. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the process was killed. */
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

  /** Holds back the callbacks of all due timers until the process is thawed. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /** Resumes the process, and runs the callbacks that were held back. */
  thaw(): void {
    this.#isFrozen = false;
    const heldCallbacks = this.#heldCallbacks;
    this.#heldCallbacks = [];
    for (const run of heldCallbacks) this.setTimer(0, run);
  }

  /** Disposes all timers; later timers are ignored. */
  kill(): void {
    this.#isKilled = true;
    this.#heldCallbacks = [];
    for (const timer of this.#timers) timer.dispose();
    this.#timers.clear();
  }
}
