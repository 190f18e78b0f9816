/** Measures the rate at which queued work is granted. */

/** Time after which the weight of an observation has decayed to 1/e. */
const DECAY_TIME_MS = 90_000;
/** Minimum observation time before a rate is available. */
const MIN_OBSERVED_MS = 10_000;

/**
 * Exponentially decaying average in tokens per second, measured only while work
 * is queued.
 */
export class DrainRate {
  #grantedTokens = 0;
  #observedMs = 0;
  #updatedMs: number;

  /** @param nowMs - Current time in milliseconds. */
  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /**
   * Advances the clock. Time without queued work is not counted, because it
   * yields no information about the rate.
   *
   * @param nowMs - Current time in milliseconds.
   * @param isWorkWaiting - Whether work has been queued since the last call.
   */
  advanceClock(nowMs: number, isWorkWaiting: boolean): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    if (!isWorkWaiting) return;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_MS);
    this.#grantedTokens *= decay;
    this.#observedMs = this.#observedMs * decay + elapsedMs;
  }

  /** Records work that was granted, in tokens. */
  recordGranted(tokens: number): void {
    this.#grantedTokens += tokens;
  }

  /**
   * Rate in tokens per second, or `undefined` if the observation time is too
   * short.
   */
  get tokensPerSecond(): number | undefined {
    if (this.#observedMs < MIN_OBSERVED_MS) return undefined;
    return Math.max(1, this.#grantedTokens / this.#observedMs * 1_000);
  }
}
