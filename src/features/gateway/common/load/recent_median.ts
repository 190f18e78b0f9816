/** Median of the latest few samples of a figure that may change suddenly. */

/**
 * Number of samples considered: a change shows after three samples, and one
 * outlier among fast ones moves the median by one rank only.
 */
const SAMPLE_COUNT = 5;
/** A single sample proves nothing. */
const MIN_SAMPLES = 2;
/**
 * Silence, in milliseconds, after which only the latest of the older samples
 * still counts, so that an endpoint that was avoided is judged anew.
 */
const SILENCE_MS = 1_000;

/** Ring of samples with their median. */
export class RecentMedian {
  readonly #values = new Float64Array(SAMPLE_COUNT);
  #count = 0;
  #next = 0;
  #median: number | undefined;
  #isStale = false;

  /** Monotonic time of the latest sample in milliseconds. */
  latestMs = -Infinity;

  /**
   * Records a sample.
   *
   * @param value - The sample; positive.
   * @param nowMs - Monotonic time in milliseconds.
   */
  record(value: number, nowMs: number): void {
    if (nowMs - this.latestMs > SILENCE_MS) {
      this.#count = Math.min(this.#count, 1);
    }
    this.#values[this.#next] = value;
    this.#next = (this.#next + 1) % SAMPLE_COUNT;
    this.#count = Math.min(this.#count + 1, SAMPLE_COUNT);
    this.latestMs = nowMs;
    this.#isStale = true;
  }

  /**
   * The median, the lower one of an even number of samples; `undefined` if
   * there are too few samples.
   */
  get median(): number | undefined {
    if (this.#count < MIN_SAMPLES) return undefined;
    if (this.#isStale) {
      const sorted = Float64Array.from(
        { length: this.#count },
        (_, back) =>
          this.#values[(this.#next + SAMPLE_COUNT - 1 - back) % SAMPLE_COUNT]!,
      ).sort();
      this.#median = sorted[(this.#count - 1) >> 1];
      this.#isStale = false;
    }
    return this.#median;
  }
}
