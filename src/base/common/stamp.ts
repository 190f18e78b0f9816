/** Moments whose age is known even after the machine was suspended. */

import type { Clock } from "./clock.ts";

/** A moment on both clocks of a process. */
export interface Stamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** @returns The present moment. */
export function stampNow(clock: Clock): Stamp {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs() };
}

/**
 * @param stamp - A moment.
 * @param byMs - How far to move it back, in milliseconds.
 * @returns The earlier moment.
 */
export function stampBefore(stamp: Stamp, byMs: number): Stamp {
  return {
    monotonicMs: stamp.monotonicMs - byMs,
    wallMs: stamp.wallMs - byMs,
  };
}

/**
 * Age of a moment. The monotonic clock stands still while a machine is
 * suspended, and the wall clock may be set back, so the larger one counts.
 *
 * @returns The age in milliseconds; infinite without a moment.
 */
export function ageMs(clock: Clock, stamp: Stamp | undefined): number {
  if (!stamp) return Infinity;
  return Math.max(
    clock.monotonicMs() - stamp.monotonicMs,
    clock.nowMs() - stamp.wallMs,
  );
}
