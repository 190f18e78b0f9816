/** Measures the rate at which queued work is granted. */

/** Time constants of a {@link DrainRate}. */
export interface DrainRateOptions {
  /** Time after which the weight of an observation has decayed to 1/e. */
  readonly decayTimeMs: number;
  /** Minimum observation time before a rate is available. */
  readonly minObservedMs: number;
}

const DEFAULT_OPTIONS: DrainRateOptions = {
  decayTimeMs: 90_000,
  minObservedMs: 10_000,
};

/**
 * Exponentially decaying average in tokens per second, measured only while work
 * is queued.
 */
export class DrainRate {
  readonly #options: DrainRateOptions;
  #grantedTokens = 0;
  #observedMs = 0;
  #updatedMs: number;

  /**
   * @param nowMs - Current time in milliseconds.
   * @param options - Time constants.
   */
  constructor(nowMs: number, options: DrainRateOptions = DEFAULT_OPTIONS) {
    this.#updatedMs = nowMs;
    this.#options = options;
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
    const decay = Math.exp(-elapsedMs / this.#options.decayTimeMs);
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
    if (this.#observedMs < this.#options.minObservedMs) return undefined;
    return Math.max(1, this.#grantedTokens / this.#observedMs * 1_000);
  }
}
