/** Histogram with a fixed number of buckets whose width grows with the value. */

/** Buckets in each doubling of the value; a bucket is at most 1/8 wide. */
const SUB_BUCKETS_PER_DOUBLING = 8;
const SUB_BUCKET_BITS = 3;
const MAX_UNIT_BITS = 27;
const MAX_UNITS = 2 ** MAX_UNIT_BITS - 1;

/** Number of buckets of every histogram. */
export const BUCKET_COUNT = (MAX_UNIT_BITS - SUB_BUCKET_BITS + 1) *
  SUB_BUCKETS_PER_DOUBLING;

/** A histogram in a form for JSON: pairs of bucket index and count. */
export interface HistogramSnapshot {
  readonly sum: number;
  readonly max: number;
  /** Index, count, index, count and so on; empty buckets are left out. */
  readonly buckets: readonly number[];
}

/**
 * @param units - A whole number of units, at least 0.
 * @returns The bucket that counts it.
 */
function toBucketIndex(units: number): number {
  if (units < SUB_BUCKETS_PER_DOUBLING) return units;
  const shift = 31 - Math.clz32(units) - SUB_BUCKET_BITS;
  return shift * SUB_BUCKETS_PER_DOUBLING + (units >> shift);
}

/** @returns First unit that belongs to a bucket. */
function toLowestUnits(bucket: number): number {
  if (bucket < SUB_BUCKETS_PER_DOUBLING) return bucket;
  const shift = Math.floor(bucket / SUB_BUCKETS_PER_DOUBLING) - 1;
  return (bucket - shift * SUB_BUCKETS_PER_DOUBLING) * 2 ** shift;
}

/** Counts values; memory and the cost of a record do not depend on them. */
export class LogHistogram {
  readonly #unitsPerValue: number;
  readonly #counts = new Uint32Array(BUCKET_COUNT);
  #count = 0;
  #sum = 0;
  #max = 0;

  /** @param unitsPerValue - Finest resolution: units in a value of 1. */
  constructor(unitsPerValue: number) {
    this.#unitsPerValue = unitsPerValue;
  }

  /** Number of recorded values. */
  get count(): number {
    return this.#count;
  }

  /** Sum of the recorded values. */
  get sum(): number {
    return this.#sum;
  }

  /** Largest recorded value. */
  get max(): number {
    return this.#max;
  }

  /** @param value - A value; below 0 and not a number count as 0. */
  record(value: number): void {
    const counted = value > 0 ? value : 0;
    const units = Math.min(counted * this.#unitsPerValue, MAX_UNITS) | 0;
    this.#counts[toBucketIndex(units)]!++;
    this.#count++;
    this.#sum += counted;
    if (counted > this.#max) this.#max = counted;
  }

  /** @param other - A histogram of the same resolution, added to this one. */
  add(other: LogHistogram): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#counts[bucket]! += other.#counts[bucket]!;
    }
    this.#addTotals(other.#count, other.#sum, other.#max);
  }

  /** @param snapshot - Figures of a histogram of the same resolution. */
  addSnapshot(snapshot: HistogramSnapshot): void {
    let count = 0;
    for (let index = 0; index + 1 < snapshot.buckets.length; index += 2) {
      const bucket = snapshot.buckets[index]!;
      const added = snapshot.buckets[index + 1]!;
      if (bucket < 0 || bucket >= BUCKET_COUNT) continue;
      this.#counts[bucket]! += added;
      count += added;
    }
    this.#addTotals(count, snapshot.sum, snapshot.max);
  }

  /**
   * @param fraction - Share of the values, such as 0.99.
   * @returns The value that this share does not exceed, within 1/8; 0 when
   * nothing was recorded.
   */
  quantile(fraction: number): number {
    const rank = Math.max(1, Math.ceil(fraction * this.#count));
    let counted = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      counted += this.#counts[bucket]!;
      if (counted >= rank) return Math.min(this.upperBound(bucket), this.#max);
    }
    return 0;
  }

  /** @returns The value at which a bucket ends. */
  upperBound(bucket: number): number {
    return toLowestUnits(bucket + 1) / this.#unitsPerValue;
  }

  /** @returns How many values a bucket counts. */
  countOf(bucket: number): number {
    return this.#counts[bucket] ?? 0;
  }

  /** @returns The figures for JSON. */
  toSnapshot(): HistogramSnapshot {
    const buckets: number[] = [];
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      const count = this.#counts[bucket]!;
      if (count > 0) buckets.push(bucket, count);
    }
    return { sum: this.#sum, max: this.#max, buckets };
  }

  #addTotals(count: number, sum: number, max: number): void {
    this.#count += count;
    this.#sum += sum;
    this.#max = Math.max(this.#max, max);
  }
}
