/** Measures the token latencies of one generation. */

import type { Clock } from "../../../base/common/clock.ts";
import type {
  OutcomeKind,
  RequestRecorder,
} from "../../../services/metrics/common/metrics.ts";

/** Token gaps longer than this count as stalls. */
const STALL_THRESHOLD_MS = 500;

/** Records latencies as observed by the caller. */
export class TokenTimingRecorder {
  readonly #clock: Clock;
  readonly #recorder: RequestRecorder;
  readonly #startedMs: number;
  #lastTokenMs: number | undefined;

  /**
   * @param clock - Clock of the measurements, which start immediately.
   * @param recorder - Recorder that receives the measurements.
   */
  constructor(clock: Clock, recorder: RequestRecorder) {
    this.#clock = clock;
    this.#recorder = recorder;
    this.#startedMs = clock.monotonicMs();
  }

  /** @param waitMs - Time in milliseconds spent waiting for a grant. */
  recordQueueWait(waitMs: number): void {
    this.#recorder.recordQueueWait(waitMs);
  }

  /** @param tokenCount - Number of tokens that arrived at the same time. */
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
   * Records the end of the request.
   *
   * @param outcome - Outcome of the request.
   * @param outputTokens - Number of tokens delivered to the caller.
   */
  recordEnd(outcome: OutcomeKind, outputTokens: number): void {
    this.#recorder.recordEnd(outcome, outputTokens);
  }
}
