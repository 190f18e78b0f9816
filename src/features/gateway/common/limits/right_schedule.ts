/**
 * Schedule of the rights to send to one endpoint at a limited rate. Each right
 * is for one request at one time, which may lie ahead: a caller that can wait
 * for it is served then, and all others know at once that they are not.
 */

/**
 * Rights that may be taken at once after a pause, in addition to the one that
 * is due.
 */
const MAX_UNUSED_RIGHTS = 2;
/** Bounds the hints to callers, as most of those refused never return. */
const MAX_RETRY_AFTER_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Result of asking for a right. */
export type RightOffer =
  /** The request may be sent once after this time, in milliseconds. */
  | { readonly kind: "granted"; readonly waitMs: number }
  | {
    readonly kind: "denied";
    /** Time until a right is free, in milliseconds. */
    readonly freeInMs: number;
    /**
     * Time after which this caller finds a right if all those refused before
     * it come back first, in milliseconds.
     */
    readonly retryAfterMs: number;
  };

/** Rights of one endpoint. */
export class RightSchedule {
  /** Monotonic time from which the next right counts, in milliseconds. */
  #nextMs: number;
  /** Monotonic time of the latest hint to a caller, in milliseconds. */
  #hintedMs = -Infinity;

  /**
   * A new schedule has no unused rights, as another one may have granted some
   * just before.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  constructor(nowMs: number) {
    this.#nextMs = nowMs;
  }

  /** Monotonic time of the first right that is not granted, in milliseconds. */
  get nextMs(): number {
    return this.#nextMs;
  }

  /**
   * Grants no further right before a time.
   *
   * @param atMs - Monotonic time in milliseconds.
   */
  deferTo(atMs: number): void {
    this.#nextMs = Math.max(this.#nextMs, atMs);
  }

  /**
   * Takes the next right if it comes in time.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param ratePerS - Rights a second; more than 0.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @param maxUnused - Rights that may be taken at once after a pause, in
   * addition to the one that is due.
   * @returns The right, or when to come back.
   */
  take(
    nowMs: number,
    ratePerS: number,
    maxWaitMs: number,
    maxUnused = MAX_UNUSED_RIGHTS,
  ): RightOffer {
    const intervalMs = MS_PER_SECOND / ratePerS;
    const oldestMs = nowMs - maxUnused * intervalMs;
    const dueMs = Math.max(this.#nextMs, oldestMs);
    const waitMs = Math.max(0, dueMs - nowMs);
    if (waitMs <= maxWaitMs) {
      this.#nextMs = dueMs + intervalMs;
      return { kind: "granted", waitMs };
    }
    this.#hintedMs = Math.min(
      Math.max(this.#hintedMs + intervalMs, dueMs),
      nowMs + MAX_RETRY_AFTER_MS,
    );
    const retryAfterMs = Math.max(waitMs, this.#hintedMs - nowMs);
    return { kind: "denied", freeInMs: waitMs, retryAfterMs };
  }
}
