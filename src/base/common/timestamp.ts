/** Moments whose age is known even after the machine was suspended. */

import type { Clock } from "./clock.ts";

/** A moment on both clocks of a process. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** @returns The present moment. */
export function timestampNow(clock: Clock): Timestamp {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs() };
}

/**
 * @param timestamp - A moment.
 * @param durationMs - How far to move it back, in milliseconds.
 * @returns The earlier moment.
 */
export function timestampBefore(
  timestamp: Timestamp,
  durationMs: number,
): Timestamp {
  return {
    monotonicMs: timestamp.monotonicMs - durationMs,
    wallMs: timestamp.wallMs - durationMs,
  };
}

/**
 * Age of a moment. The monotonic clock stands still while a machine is
 * suspended, and the wall clock may be set back, so the larger one counts.
 *
 * @returns The age in milliseconds; infinite without a moment.
 */
export function ageMs(clock: Clock, timestamp: Timestamp | undefined): number {
  if (!timestamp) return Infinity;
  return Math.max(
    clock.monotonicMs() - timestamp.monotonicMs,
    clock.nowMs() - timestamp.wallMs,
  );
}
