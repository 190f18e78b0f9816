/** Streaming histogram of lengths in tokens with exponential forgetting. */

const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 17;
const BUCKET_COUNT = DOUBLINGS * BUCKETS_PER_DOUBLING;
/** Number of samples after which an old one weighs 1/e. */
const MEMORY_SAMPLES = 400;
const WEIGHT_GROWTH = 1 + 1 / MEMORY_SAMPLES;
const RESCALE_AT_WEIGHT = 1e9;

const MIDDLE_TOKENS = Float64Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING),
);

/** Logarithmic buckets; a later sample weighs more than an earlier one. */
export class LengthHistogram {
  readonly #weights = new Float64Array(BUCKET_COUNT);
  /** Weight of each bucket and of all after it. */
  readonly #tails = new Float64Array(BUCKET_COUNT + 1);
  #nextWeight = 1;
  #meanTokens = 0;
  #isStale = false;

  /** @param tokens - Length of one finished request. */
  add(tokens: number): void {
    const bucket = Math.floor(bucketPosition(tokens));
    this.#weights[bucket]! += this.#nextWeight;
    this.#nextWeight *= WEIGHT_GROWTH;
    if (this.#nextWeight > RESCALE_AT_WEIGHT) this.#rescale();
    this.#isStale = true;
  }

  /** Number of samples, old ones counted less. */
  get sampleCount(): number {
    this.#refresh();
    return this.#tails[0]! / this.#nextWeight;
  }

  /** Mean length in tokens; 0 without samples. */
  get meanTokens(): number {
    this.#refresh();
    return this.#meanTokens;
  }

  /**
   * @param tokens - A length.
   * @returns Number of samples that are longer, old ones counted less.
   */
  countAbove(tokens: number): number {
    this.#refresh();
    const position = bucketPosition(tokens);
    const bucket = Math.floor(position);
    const ownPart = (1 - (position - bucket)) * this.#weights[bucket]!;
    return (this.#tails[bucket + 1]! + ownPart) / this.#nextWeight;
  }

  #refresh(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    let sum = 0;
    for (let bucket = BUCKET_COUNT - 1; bucket >= 0; bucket--) {
      const weight = this.#weights[bucket]!;
      this.#tails[bucket] = this.#tails[bucket + 1]! + weight;
      sum += weight * MIDDLE_TOKENS[bucket]!;
    }
    this.#meanTokens = sum / this.#tails[0]!;
  }

  #rescale(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#weights[bucket]! /= this.#nextWeight;
    }
    this.#nextWeight = 1;
  }
}

/** Bucket of a length, with the place inside it as the fraction. */
function bucketPosition(tokens: number): number {
  const position = Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING;
  return Math.min(position, BUCKET_COUNT - 1);
}
