/**
 * Streaming estimate of the distribution of output lengths in tokens. For each
 * length bucket it counts how many outputs reached the bucket and how many
 * ended in it (a Kaplan-Meier estimator), so that generations that are still
 * running contribute as soon as they pass a bucket.
 */

const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 17;
const BUCKET_COUNT = DOUBLINGS * BUCKETS_PER_DOUBLING;
/** Number of samples after which the weight of a sample has decayed to 1/e. */
const DECAY_SAMPLES = 400;
const DECAY_FACTOR = 1 - 1 / DECAY_SAMPLES;
/**
 * Prior probability that an output ends in a bucket for which there are no
 * samples.
 */
const PRIOR_HAZARD = 0.2;
/** Weight of the prior probability, in samples. */
const PRIOR_WEIGHT_SAMPLES = 0.5;

const BUCKET_MIDPOINT_TOKENS = Float64Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING),
);

/**
 * Histogram with logarithmic buckets and exponential decay, so that recent
 * outputs weigh more than old ones.
 */
export class LengthHistogram {
  readonly #reachedCounts = new Float64Array(BUCKET_COUNT);
  readonly #endedCounts = new Float64Array(BUCKET_COUNT);
  /** Probability that an output reaches the start of each bucket. */
  readonly #survivalAtStart = new Float64Array(BUCKET_COUNT + 1);
  #meanTokens = 0;
  #isStale = true;

  /**
   * Records the buckets that a running generation has passed.
   *
   * @param fromTokens - Length in tokens that has been recorded already.
   * @param toTokens - Current length in tokens.
   */
  recordProgress(fromTokens: number, toTokens: number): void {
    const last = Math.floor(bucketPosition(toTokens));
    let bucket = Math.floor(bucketPosition(fromTokens));
    for (; bucket < last; bucket++) this.#updateBucket(bucket, 0);
  }

  /**
   * Records a completed output.
   *
   * @param tokens - Final length in tokens.
   * @param countedTokens - Length in tokens that has been recorded already.
   */
  recordCompletion(tokens: number, countedTokens = 0): void {
    this.recordProgress(countedTokens, tokens);
    this.#updateBucket(Math.floor(bucketPosition(tokens)), 1);
  }

  /** Number of samples, with decayed weights. */
  get sampleCount(): number {
    return this.#reachedCounts[0]!;
  }

  /** Mean output length in tokens. */
  get meanTokens(): number {
    this.#recompute();
    return this.#meanTokens;
  }

  /**
   * Returns how many outputs are longer than a given length.
   *
   * @param tokens - Length in tokens.
   * @returns Number of longer outputs, with decayed weights.
   */
  countAbove(tokens: number): number {
    this.#recompute();
    const position = bucketPosition(tokens);
    const bucket = Math.floor(position);
    const start = this.#survivalAtStart[bucket]!;
    const end = this.#survivalAtStart[bucket + 1]!;
    const survival = start - (position - bucket) * (start - end);
    return this.sampleCount * survival;
  }

  #updateBucket(bucket: number, ended: 0 | 1): void {
    this.#reachedCounts[bucket] = this.#reachedCounts[bucket]! * DECAY_FACTOR +
      1;
    this.#endedCounts[bucket] = this.#endedCounts[bucket]! * DECAY_FACTOR +
      ended;
    this.#isStale = true;
  }

  #recompute(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    let survival = 1;
    let mean = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#survivalAtStart[bucket] = survival;
      const hazard =
        (this.#endedCounts[bucket]! + PRIOR_WEIGHT_SAMPLES * PRIOR_HAZARD) /
        (this.#reachedCounts[bucket]! + PRIOR_WEIGHT_SAMPLES);
      mean += survival * hazard * BUCKET_MIDPOINT_TOKENS[bucket]!;
      survival *= 1 - hazard;
    }
    this.#survivalAtStart[BUCKET_COUNT] = survival;
    this.#meanTokens = mean;
  }
}

/**
 * Returns the bucket of a length; the fraction is the relative position inside
 * the bucket.
 */
function bucketPosition(tokens: number): number {
  const position = Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING;
  return Math.min(position, BUCKET_COUNT - 1);
}
