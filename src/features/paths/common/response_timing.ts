/**
 * Tells since when the end of a response may have been on its way. Data that
 * arrives after an interruption (a pause of this process, a caller that accepts
 * no more, a path that carried nothing) may have been sent at any time of it,
 * and so may an end that arrives with it.
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  ageMs,
  type Timestamp,
  timestampNow,
} from "../../../base/common/timestamp.ts";

/** Time without data that counts as an interruption. */
const MIN_INTERRUPTION_MS = 250;
/** Time after an interruption within which what has piled up is read. */
const MAX_BACKLOG_MS = 1_000;

interface Interruption {
  readonly since: Timestamp;
  readonly until: Timestamp;
}

/** Times at which the parts of one response arrive. */
export class ResponseTiming {
  readonly #clock: Clock;
  #heardAt: Timestamp;
  #interruption: Interruption | undefined;

  /** @param clock - Clock for the times of arrival. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#heardAt = timestampNow(clock);
  }

  /** Records that a part has arrived. */
  recordArrival(): void {
    const heardAt = this.#heardAt;
    this.#heardAt = timestampNow(this.#clock);
    if (ageMs(this.#clock, heardAt) < MIN_INTERRUPTION_MS) return;
    // What had piled up was not read to its end.
    const earlier = this.#recentInterruption(heardAt);
    this.#interruption = {
      since: earlier?.since ?? heardAt,
      until: this.#heardAt,
    };
  }

  /** @returns The earliest time at which an end that arrives now was sent. */
  earliestEnd(): Timestamp {
    const heardAt = this.#heardAt;
    this.recordArrival();
    return this.#recentInterruption(this.#heardAt)?.since ?? heardAt;
  }

  #recentInterruption(at: Timestamp): Interruption | undefined {
    const interruption = this.#interruption;
    if (!interruption) return undefined;
    const sinceMs = at.monotonicMs - interruption.until.monotonicMs;
    return sinceMs < MAX_BACKLOG_MS ? interruption : undefined;
  }
}
