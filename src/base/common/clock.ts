/** The one clock of the project, in milliseconds, and its manual twin for tests. */

import { type Disposable, toDisposable } from "./lifecycle.ts";
import { MinHeap } from "./min_heap.ts";

/** Source of time and of timers. */
export interface Clock {
  /** Wall clock: milliseconds since the Unix epoch; it may jump. */
  nowMs(): number;

  /** Milliseconds since an arbitrary start; it never goes back. */
  monotonicMs(): number;

  /**
   * Runs a callback once, later.
   *
   * @param delayMs - Delay in milliseconds.
   * @param callback - Runs once unless the timer is disposed before.
   * @returns The timer; disposing it cancels the callback.
   */
  setTimer(delayMs: number, callback: () => void): Disposable;
}

/**
 * Waits for a time on a clock.
 *
 * @param clock - The clock to wait on.
 * @param delayMs - The wait in milliseconds.
 */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.setTimer(delayMs, resolve));
}

/**
 * Runs a callback again and again, each time a period after the last one ended.
 *
 * @param clock - The clock to run on.
 * @param periodMs - The period in milliseconds.
 * @param callback - The work of one round.
 * @returns Disposing it stops the rounds.
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

/** Rounds of work that go on only while there is something to do. */
export class PeriodicTask implements Disposable {
  readonly #clock: Clock;
  readonly #periodMs: number;
  readonly #runIteration: () => boolean;
  #timer: Disposable | undefined;

  /**
   * @param clock - The clock to run on.
   * @param periodMs - The period in milliseconds.
   * @param work - The work of one round; returns whether another is needed.
   */
  constructor(clock: Clock, periodMs: number, work: () => boolean) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#runIteration = work;
  }

  /** Lets the rounds run, the first after a period, unless they run already. */
  start(): void {
    this.#timer ??= runPeriodically(this.#clock, this.#periodMs, () => {
      if (!this.#runIteration()) this.dispose();
    });
  }

  /** Stops the rounds until they are started again. */
  dispose(): void {
    this.#timer?.dispose();
    this.#timer = undefined;
  }
}

/**
 * Runs a callback again and again, at the same points of the wall clock on all
 * machines.
 *
 * @param clock - The clock to run on.
 * @param periodMs - The period in milliseconds.
 * @param phaseMs - Offset of the points from the multiples of the period.
 * @param callback - The work of one round.
 * @returns Disposing it stops the rounds.
 */
export function setAlignedTimer(
  clock: Clock,
  periodMs: number,
  phaseMs: number,
  callback: () => void,
): Disposable {
  let timer: Disposable;
  const schedule = (): void => {
    // A timer may fire a little early; half a period keeps it from firing twice.
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

/** A clock that moves only when told to; timers run in order of due time. */
export class ManualClock implements Clock {
  #nowMs: number;
  #sequence = 0;
  readonly #startMs: number;
  readonly #timers = new MinHeap<ManualTimer>(
    (left, right) => left.dueMs - right.dueMs || left.sequence - right.sequence,
  );

  /** @param startMs - First value of `nowMs`, in milliseconds. */
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

  /** Due time of the next timer in wall-clock milliseconds, if there is one. */
  nextDueMs(): number | undefined {
    while (this.#timers.peek()?.isCancelled) this.#timers.pop();
    return this.#timers.peek()?.dueMs;
  }

  /**
   * Moves time forward and runs what falls due, without waiting for promises.
   *
   * @param durationMs - How far to move, in milliseconds.
   */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    while ((this.nextDueMs() ?? Infinity) <= endMs) this.#runNext();
    this.#nowMs = endMs;
  }

  /**
   * Moves time forward and lets promises settle after each timer.
   *
   * @param durationMs - How far to move, in milliseconds.
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

const FLUSH_TURNS = 25;

/** Lets chains of already settled promises run to their end. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < FLUSH_TURNS; turn++) await Promise.resolve();
}
