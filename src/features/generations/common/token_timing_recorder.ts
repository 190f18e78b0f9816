/** Measures the times of one generation's tokens. */

import type { Clock } from "../../../base/common/clock.ts";
import type {
  OutcomeKind,
  RequestRecorder,
} from "../../../services/metrics/common/metrics.ts";

/** A gap between tokens above this counts as a stall. */
const STALL_THRESHOLD_MS = 500;

/** Times as the caller sees them. */
export class TokenTimingRecorder {
  readonly #clock: Clock;
  readonly #recorder: RequestRecorder;
  readonly #startedMs: number;
  #lastTokenMs: number | undefined;

  /**
   * @param clock - Clock of the times; they start now.
   * @param recorder - Receives them.
   */
  constructor(clock: Clock, recorder: RequestRecorder) {
    this.#clock = clock;
    this.#recorder = recorder;
    this.#startedMs = clock.monotonicMs();
  }

  /** @param waitMs - Time spent waiting for a grant. */
  recordQueueWait(waitMs: number): void {
    this.#recorder.recordQueueWait(waitMs);
  }

  /** @param tokenCount - Tokens that have come together. */
  recordTokens(tokenCount: number): void {
    const nowMs = this.#clock.monotonicMs();
    if (this.#lastTokenMs === undefined) {
      this.#recorder.recordFirstToken(nowMs - this.#startedMs);
    } else {
      const gapMs = nowMs - this.#lastTokenMs;
      this.#recorder.recordTokenGap(gapMs / tokenCount);
      if (gapMs > STALL_THRESHOLD_MS) {
        this.#recorder.recordStall(gapMs - STALL_THRESHOLD_MS);
      }
    }
    this.#lastTokenMs = nowMs;
  }

  /**
   * @param outcome - How the request ended.
   * @param outputTokens - Tokens delivered to the caller.
   */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void {
    this.#recorder.recordEnd(outcome, outputTokens);
  }
}
