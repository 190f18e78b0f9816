/** Timestamps whose age stays correct after the machine has been suspended. */

import type { Clock } from "./clock.ts";

/** Readings of the monotonic clock and of the wall clock at one time. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** @returns The current time. */
export function timestampNow(clock: Clock): Timestamp {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs() };
}

/**
 * @param timestamp - Reference time.
 * @param durationMs - Duration to subtract, in milliseconds.
 * @returns The timestamp that is earlier by this duration.
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
 * Returns the age of a timestamp as the larger of the ages by both clocks. The
 * monotonic clock stops while the machine is suspended, and the wall clock may
 * be set back.
 *
 * @returns The age in milliseconds; infinite without a timestamp.
 */
export function ageMs(clock: Clock, timestamp: Timestamp | undefined): number {
  if (!timestamp) return Infinity;
  return Math.max(
    clock.monotonicMs() - timestamp.monotonicMs,
    clock.nowMs() - timestamp.wallMs,
  );
}
