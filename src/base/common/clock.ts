/**
 * Clock interface in milliseconds, timers that are based on it, and a clock for
 * tests that is advanced manually.
 */

import { type Disposable, toDisposable } from "./lifecycle.ts";
import { MinHeap } from "./min_heap.ts";

/** Source of the current time and of timers. */
export interface Clock {
  /** Returns the wall-clock time in milliseconds since the Unix epoch; may jump. */
  nowMs(): number;

  /** Returns the milliseconds since an arbitrary point; never decreases. */
  monotonicMs(): number;

  /**
   * Runs a callback once after a delay.
   *
   * @param delayMs - Delay in milliseconds.
   * @param callback - Function to run unless the timer is disposed first.
   * @returns The timer; disposing it cancels the callback.
   */
  setTimer(delayMs: number, callback: () => void): Disposable;
}

/**
 * Waits for a delay.
 *
 * @param clock - Clock that measures the delay.
 * @param delayMs - Delay in milliseconds.
 */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.setTimer(delayMs, resolve));
}

/**
 * Runs a callback periodically. The first run is one period after the call.
 *
 * @param clock - Clock that schedules the runs.
 * @param periodMs - Period in milliseconds.
 * @param callback - Function to run in each period.
 * @returns The timer; disposing it stops the runs.
 */
export function runPeriodically(
  clock: Clock,
  periodMs: number,
  callback: () => void,
): Disposable {
  let timer: Disposable;
  const runIteration = (): void => {
    timer = clock.setTimer(periodMs, runIteration);
    callback();
  };
  timer = clock.setTimer(periodMs, runIteration);
  return toDisposable(() => timer.dispose());
}

/** Periodic task that stops itself when no work is left. */
export class PeriodicTask implements Disposable {
  readonly #clock: Clock;
  readonly #periodMs: number;
  readonly #runIteration: () => boolean;
  #timer: Disposable | undefined;

  /**
   * @param clock - Clock that schedules the iterations.
   * @param periodMs - Period in milliseconds.
   * @param runIteration - Runs one iteration and returns whether to continue.
   */
  constructor(clock: Clock, periodMs: number, runIteration: () => boolean) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#runIteration = runIteration;
  }

  /**
   * Starts the iterations if they are not running. The first one runs after one
   * period.
   */
  start(): void {
    this.#timer ??= runPeriodically(this.#clock, this.#periodMs, () => {
      if (!this.#runIteration()) this.dispose();
    });
  }

  /** Stops the iterations. They can be started again. */
  dispose(): void {
    this.#timer?.dispose();
    this.#timer = undefined;
  }
}

/**
 * Runs a callback periodically at multiples of the period in wall-clock time,
 * so that all hosts run it at the same time.
 *
 * @param clock - Clock that schedules the runs.
 * @param periodMs - Period in milliseconds.
 * @param phaseMs - Offset from the multiples of the period, in milliseconds.
 * @param callback - Function to run in each period.
 * @returns The timer; disposing it stops the runs.
 */
export function setAlignedTimer(
  clock: Clock,
  periodMs: number,
  phaseMs: number,
  callback: () => void,
): Disposable {
  let timer: Disposable;
  const schedule = (): void => {
    // A timer may fire slightly early. Skipping half a period prevents a second
    // run for the same multiple.
    const earliestMs = clock.nowMs() + periodMs / 2 - phaseMs;
    const dueMs = Math.ceil(earliestMs / periodMs) * periodMs + phaseMs;
    timer = clock.setTimer(dueMs - clock.nowMs(), () => {
      schedule();
      callback();
    });
  };
  schedule();
  return toDisposable(() => timer.dispose());
}

interface ManualTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/**
 * Clock that advances only by explicit calls. Timers run in order of their due
 * time.
 */
export class ManualClock implements Clock {
  #nowMs: number;
  #sequence = 0;
  readonly #startMs: number;
  readonly #timers = new MinHeap<ManualTimer>(
    (left, right) => left.dueMs - right.dueMs || left.sequence - right.sequence,
  );

  /** @param startMs - Initial wall-clock time in milliseconds. */
  constructor(startMs = 1_700_000_000_000) {
    this.#nowMs = startMs;
    this.#startMs = startMs;
  }

  /** {@inheritDoc Clock.nowMs} */
  nowMs(): number {
    return this.#nowMs;
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.#nowMs - this.#startMs;
  }

  /** {@inheritDoc Clock.setTimer} */
  setTimer(delayMs: number, callback: () => void): Disposable {
    const timer: ManualTimer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      callback,
      isCancelled: false,
    };
    this.#timers.push(timer);
    return toDisposable(() => {
      timer.isCancelled = true;
    });
  }

  /** Returns the wall-clock due time of the next timer in ms, if one is set. */
  nextDueMs(): number | undefined {
    while (this.#timers.peek()?.isCancelled) this.#timers.pop();
    return this.#timers.peek()?.dueMs;
  }

  /**
   * Advances the clock and runs the timers that become due, without waiting for
   * promises.
   *
   * @param durationMs - Duration in milliseconds.
   */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    while ((this.nextDueMs() ?? Infinity) <= endMs) this.#runNext();
    this.#nowMs = endMs;
  }

  /**
   * Advances the clock and lets promises settle after each timer.
   *
   * @param durationMs - Duration in milliseconds.
   */
  async advanceAsync(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await flushPromises();
    while ((this.nextDueMs() ?? Infinity) <= endMs) {
      this.#runNext();
      await flushPromises();
    }
    this.#nowMs = endMs;
    await flushPromises();
  }

  #runNext(): void {
    const timer = this.#timers.pop();
    if (!timer) return;
    this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
    timer.callback();
  }
}

/** Number of microtask turns in which pending promise callbacks can run. */
const FLUSH_TURNS = 25;

/** Runs the pending callbacks of promises that are already settled. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < FLUSH_TURNS; turn++) await Promise.resolve();
}
