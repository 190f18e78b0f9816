/**
 * Streaming estimate of the distribution of lengths in tokens. It counts, for
 * each bucket of lengths, how many answers reached it and how many ended in it
 * (Kaplan-Meier), so that running answers count as soon as they pass a bucket.
 */

const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 17;
const BUCKET_COUNT = DOUBLINGS * BUCKETS_PER_DOUBLING;
/** Number of answers after which an old one weighs 1/e. */
const MEMORY_SAMPLES = 400;
const KEPT_SHARE = 1 - 1 / MEMORY_SAMPLES;
/** Chance to end in a bucket of which nothing is known. */
const UNKNOWN_HAZARD = 0.2;
const UNKNOWN_SAMPLES = 0.5;

const MIDDLE_TOKENS = Float64Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING),
);

/** Logarithmic buckets; a later answer weighs more than an earlier one. */
export class LengthHistogram {
  readonly #reached = new Float64Array(BUCKET_COUNT);
  readonly #ended = new Float64Array(BUCKET_COUNT);
  /** Chance to reach the start of each bucket. */
  readonly #survival = new Float64Array(BUCKET_COUNT + 1);
  #meanTokens = 0;
  #isStale = true;

  /**
   * Counts buckets that a running answer has passed.
   *
   * @param fromTokens - Length up to which it has been counted.
   * @param toTokens - Its length now.
   */
  advance(fromTokens: number, toTokens: number): void {
    const last = Math.floor(bucketPosition(toTokens));
    let bucket = Math.floor(bucketPosition(fromTokens));
    for (; bucket < last; bucket++) this.#count(bucket, 0);
  }

  /**
   * Counts an answer that has come to its end.
   *
   * @param tokens - Its length.
   * @param countedTokens - Length up to which it has been counted.
   */
  add(tokens: number, countedTokens = 0): void {
    this.advance(countedTokens, tokens);
    this.#count(Math.floor(bucketPosition(tokens)), 1);
  }

  /** Number of answers, old ones counted less. */
  get sampleCount(): number {
    return this.#reached[0]!;
  }

  /** Mean length in tokens. */
  get meanTokens(): number {
    this.#refresh();
    return this.#meanTokens;
  }

  /**
   * @param tokens - A length.
   * @returns Number of answers that are longer, old ones counted less.
   */
  countAbove(tokens: number): number {
    this.#refresh();
    const position = bucketPosition(tokens);
    const bucket = Math.floor(position);
    const start = this.#survival[bucket]!;
    const end = this.#survival[bucket + 1]!;
    const survival = start - (position - bucket) * (start - end);
    return this.sampleCount * survival;
  }

  #count(bucket: number, ended: 0 | 1): void {
    this.#reached[bucket] = this.#reached[bucket]! * KEPT_SHARE + 1;
    this.#ended[bucket] = this.#ended[bucket]! * KEPT_SHARE + ended;
    this.#isStale = true;
  }

  #refresh(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    let survival = 1;
    let mean = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#survival[bucket] = survival;
      const hazard = (this.#ended[bucket]! + UNKNOWN_SAMPLES * UNKNOWN_HAZARD) /
        (this.#reached[bucket]! + UNKNOWN_SAMPLES);
      mean += survival * hazard * MIDDLE_TOKENS[bucket]!;
      survival *= 1 - hazard;
    }
    this.#survival[BUCKET_COUNT] = survival;
    this.#meanTokens = mean;
  }
}

/** Bucket of a length, with the place inside it as the fraction. */
function bucketPosition(tokens: number): number {
  const position = Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING;
  return Math.min(position, BUCKET_COUNT - 1);
}
