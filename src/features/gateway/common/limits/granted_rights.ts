/** The rights that one granter gives away for one process of an endpoint. */

import { type RightOffer, RightSchedule } from "./right_schedule.ts";

/** Time without questions after which another hub may have been asked. */
const MIN_PAUSE_MS = 500;
/** Longest time that another granter may have granted a right ahead. */
const MAX_AHEAD_MS = 2_000;

/** Rights of one process, with their number. */
export class GrantedRights {
  readonly #schedule: RightSchedule;
  /** Monotonic time of the latest question in milliseconds. */
  #askedMs = -Infinity;
  /** Monotonic time of the first question after a pause in milliseconds. */
  #resumedMs = -Infinity;
  /** Rights that were granted. */
  granted = 0;
  /** Rights that were denied. */
  denied = 0;

  /** @param nowMs - Monotonic time in milliseconds. */
  constructor(nowMs: number) {
    this.#schedule = new RightSchedule(nowMs);
  }

  /** Monotonic time of the first right that is not granted, in milliseconds. */
  get nextMs(): number {
    return this.#schedule.nextMs;
  }

  /** {@inheritDoc RightSchedule.deferTo} */
  deferTo(atMs: number): void {
    this.#schedule.deferTo(atMs);
  }

  /**
   * Notes a question for a right.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param isUnknown - Whether the daemon that asks does not say what another
   * granter has granted.
   * @param hubsChangedMs - Monotonic time in milliseconds from which no other
   * one has granted rights.
   */
  recordQuestion(
    nowMs: number,
    isUnknown: boolean,
    hubsChangedMs: number,
  ): void {
    if (nowMs - this.#askedMs > MIN_PAUSE_MS) this.#resumedMs = nowMs;
    this.#askedMs = nowMs;
    if (isUnknown && nowMs < this.#resumedMs + MAX_AHEAD_MS) {
      this.#schedule.deferTo(hubsChangedMs + MAX_AHEAD_MS);
    }
  }

  /** Takes a right and counts it; see {@link RightSchedule.take}. */
  take(...values: Parameters<RightSchedule["take"]>): RightOffer {
    const offer = this.#schedule.take(...values);
    this[offer.kind]++;
    return offer;
  }
}
