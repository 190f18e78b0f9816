/**
 * Distinguishes an interruption of the reads of this host from a disruption of the store
 * that lasted long enough for entries of living writers to lapse.
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  ageMs,
  type Timestamp,
  timestampBefore,
  timestampNow,
} from "../../../base/common/timestamp.ts";

/** Intervals without a write after which the store removes an entry. */
const INTERVALS_PER_ENTRY = 3;
/** Intervals within which each living writer writes; writes may be late. */
const INTERVALS_PER_WRITE = 1.25;
/**
 * Time after the start of a call without an answer within which the store counts
 * as unavailable still. It may have returned at any time since, and what follows
 * from the return must not wait for the time limit of the call as well.
 */
const MAX_RETURN_DELAY_MS = 800;

/** A call to which the store gave no answer. */
interface UnansweredCall {
  readonly calledAt: Timestamp;
  readonly failedAt: Timestamp;
}

/**
 * Records the answers and failures of the reads of this host, and the answers
 * that confirm what peers have read.
 *
 * A single call without an answer shows that its connection was lost: the next
 * call opens another one, and if the store answers it, nothing shows that the
 * store was unavailable. Two in a row show that it was, or that no path led to
 * it.
 */
export class StoreAvailability {
  readonly #clock: Clock;
  readonly #writeIntervalMs: number;
  /** First answer since the store was last unavailable. */
  #availableSince: Timestamp | undefined;
  #lastAnswer: Timestamp | undefined;
  #lastFailure: Timestamp | undefined;
  /** Last call without an answer. */
  #lastCall: UnansweredCall | undefined;
  /** Number of calls without an answer since the last answer. */
  #unansweredCount = 0;
  /** Last time at which the store was unavailable. */
  #unavailableAt: Timestamp | undefined;
  /**
   * Last answer before the store was unavailable at which all living writers
   * had written; `undefined` if none is known.
   */
  #interruptedSince: Timestamp | undefined;

  /**
   * @param clock - Clock for the lengths of interruptions.
   * @param writeIntervalMs - Interval in milliseconds at which writers renew
   * entries that lapse; 0 if it is unknown.
   */
  constructor(clock: Clock, writeIntervalMs: number) {
    this.#clock = clock;
    this.#writeIntervalMs = writeIntervalMs;
  }

  /** Time of the last failure, if there was one. */
  get lastFailure(): Timestamp | undefined {
    return this.#lastFailure;
  }

  /**
   * Last time at which the store was unavailable, if entries of living writers
   * may have lapsed by now, since it has not been seen to answer before for long
   * enough.
   */
  get lastDisruption(): Timestamp | undefined {
    return this.#mayHaveLapsedSince(this.#interruptedSince)
      ? this.#unavailableAt
      : undefined;
  }

  /**
   * Records that the store has answered a read of this host or of a peer.
   *
   * @param at - Time at which the store was available.
   */
  recordAnswer(at: Timestamp): void {
    const { monotonicMs } = at;
    if (monotonicMs < (this.#lastAnswer?.monotonicMs ?? -Infinity)) return;
    const calledMs = this.#lastCall?.calledAt.monotonicMs ?? -Infinity;
    if (this.#unansweredCount > 0 && monotonicMs >= calledMs) {
      if (this.#mayHaveLapsedSince(this.#lastAnswer)) this.#endAvailability();
      this.#unansweredCount = 0;
    }
    this.#lastAnswer = at;
    this.#availableSince ??= at;
  }

  /**
   * Records that a read had no answer.
   *
   * @param calledAt - Time at which the read began.
   */
  recordFailure(calledAt: Timestamp): void {
    this.#lastFailure = timestampNow(this.#clock);
    this.#lastCall = { calledAt, failedAt: this.#lastFailure };
    this.#unansweredCount++;
    const isConnectionLost = this.#unansweredCount === 1 &&
      this.#hasBeenAvailable();
    if (!isConnectionLost) this.#endAvailability();
  }

  /**
   * Records that the store has stated that it was unavailable, or that it may
   * lack what was written last, so that entries may have lapsed before.
   */
  recordOutage(at: Timestamp): void {
    this.#lastFailure = at;
    this.#unavailableAt = at;
    this.#interruptedSince = undefined;
    this.#availableSince = undefined;
  }

  #endAvailability(): void {
    if (this.#hasBeenAvailable()) this.#interruptedSince = this.#lastAnswer;
    this.#availableSince = undefined;
    this.#unavailableAt = this.#lastCall && unavailableTimeOf(this.#lastCall);
  }

  /**
   * @returns Whether entries may have lapsed by now if the store was unavailable
   * since an answer; true without one.
   */
  #mayHaveLapsedSince(answer: Timestamp | undefined): boolean {
    const minLapseMs = this.#writeIntervalMs *
      (INTERVALS_PER_ENTRY - INTERVALS_PER_WRITE);
    return ageMs(this.#clock, answer) >= minLapseMs;
  }

  /**
   * @returns Whether all living writers have written since the store was last
   * unavailable, until the last answer.
   */
  #hasBeenAvailable(): boolean {
    if (!this.#availableSince || !this.#lastAnswer) return false;
    // Without an interval, entries may lapse in any interruption.
    if (this.#writeIntervalMs === 0) return false;
    const availableMs = this.#lastAnswer.monotonicMs -
      this.#availableSince.monotonicMs;
    return availableMs >= this.#writeIntervalMs * INTERVALS_PER_WRITE;
  }
}

/** @returns The last time at which a call shows that the store was unavailable. */
function unavailableTimeOf(
  { calledAt, failedAt }: UnansweredCall,
): Timestamp {
  const tookMs = failedAt.monotonicMs - calledAt.monotonicMs;
  return timestampBefore(failedAt, Math.max(0, tookMs - MAX_RETURN_DELAY_MS));
}
