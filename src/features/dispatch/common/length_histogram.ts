/**
 * Streaming estimate of the distribution of lengths in tokens. It counts, for
 * each bucket of lengths, how many answers reached it and how many ended in it
 * (Kaplan-Meier), so that running answers count as soon as they pass a bucket.
 */

const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 17;
const BUCKET_COUNT = DOUBLINGS * BUCKETS_PER_DOUBLING;
/** Number of answers after which an old one weighs 1/e. */
const DECAY_SAMPLES = 400;
const DECAY_FACTOR = 1 - 1 / DECAY_SAMPLES;
/** Chance to end in a bucket of which nothing is known. */
const PRIOR_HAZARD = 0.2;
const PRIOR_WEIGHT_SAMPLES = 0.5;

const BUCKET_MIDPOINT_TOKENS = Float64Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING),
);

/** Logarithmic buckets; a later answer weighs more than an earlier one. */
export class LengthHistogram {
  readonly #reachedCounts = new Float64Array(BUCKET_COUNT);
  readonly #endedCounts = new Float64Array(BUCKET_COUNT);
  /** Chance to reach the start of each bucket. */
  readonly #survivalAtStart = new Float64Array(BUCKET_COUNT + 1);
  #meanTokens = 0;
  #isStale = true;

  /**
   * Counts buckets that a running answer has passed.
   *
   * @param fromTokens - Length up to which it has been counted.
   * @param toTokens - Its length now.
   */
  recordProgress(fromTokens: number, toTokens: number): void {
    const last = Math.floor(bucketPosition(toTokens));
    let bucket = Math.floor(bucketPosition(fromTokens));
    for (; bucket < last; bucket++) this.#updateBucket(bucket, 0);
  }

  /**
   * Counts an answer that has come to its end.
   *
   * @param tokens - Its length.
   * @param countedTokens - Length up to which it has been counted.
   */
  recordCompletion(tokens: number, countedTokens = 0): void {
    this.recordProgress(countedTokens, tokens);
    this.#updateBucket(Math.floor(bucketPosition(tokens)), 1);
  }

  /** Number of answers, old ones counted less. */
  get sampleCount(): number {
    return this.#reachedCounts[0]!;
  }

  /** Mean length in tokens. */
  get meanTokens(): number {
    this.#recompute();
    return this.#meanTokens;
  }

  /**
   * @param tokens - A length.
   * @returns Number of answers that are longer, old ones counted less.
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

/** Bucket of a length, with the place inside it as the fraction. */
function bucketPosition(tokens: number): number {
  const position = Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING;
  return Math.min(position, BUCKET_COUNT - 1);
}
