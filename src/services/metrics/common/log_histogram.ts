/**
 * Histogram with a fixed number of buckets whose width is proportional to the
 * value (logarithmic buckets with linear sub-buckets).
 */

/** With 8 buckets per doubling, a bucket is at most 1/8 of its value wide. */
const SUB_BUCKETS_PER_DOUBLING = 8;
const SUB_BUCKET_BITS = 3;
const MAX_UNIT_BITS = 27;
const MAX_UNITS = 2 ** MAX_UNIT_BITS - 1;

/** Number of buckets of every histogram. */
export const BUCKET_COUNT = (MAX_UNIT_BITS - SUB_BUCKET_BITS + 1) *
  SUB_BUCKETS_PER_DOUBLING;

/** Contents of a histogram in the form that is sent as JSON. */
export interface HistogramSnapshot {
  readonly sum: number;
  readonly max: number;
  /** Alternating bucket indexes and counts. Empty buckets are omitted. */
  readonly buckets: readonly number[];
}

/**
 * @param units - Non-negative integer number of units.
 * @returns The index of the bucket that contains the number.
 */
function toBucketIndex(units: number): number {
  if (units < SUB_BUCKETS_PER_DOUBLING) return units;
  const shift = 31 - Math.clz32(units) - SUB_BUCKET_BITS;
  return shift * SUB_BUCKETS_PER_DOUBLING + (units >> shift);
}

/** @returns The smallest number of units that belongs to the bucket. */
function toLowestUnits(bucket: number): number {
  if (bucket < SUB_BUCKETS_PER_DOUBLING) return bucket;
  const shift = Math.floor(bucket / SUB_BUCKETS_PER_DOUBLING) - 1;
  return (bucket - shift * SUB_BUCKETS_PER_DOUBLING) * 2 ** shift;
}

/** Counts values with constant memory and constant cost per recorded value. */
export class LogHistogram {
  readonly #unitsPerValue: number;
  readonly #counts = new Uint32Array(BUCKET_COUNT);
  #count = 0;
  #sum = 0;
  #max = 0;

  /** @param unitsPerValue - Units in a value of 1, the finest resolution. */
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

  /** @param value - Value to count. Negative values and NaN count as 0. */
  record(value: number): void {
    const counted = value > 0 ? value : 0;
    const units = Math.min(counted * this.#unitsPerValue, MAX_UNITS) | 0;
    this.#counts[toBucketIndex(units)]!++;
    this.#count++;
    this.#sum += counted;
    if (counted > this.#max) this.#max = counted;
  }

  /** @param other - Histogram with the same resolution to add to this one. */
  add(other: LogHistogram): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#counts[bucket]! += other.#counts[bucket]!;
    }
    this.#addTotals(other.#count, other.#sum, other.#max);
  }

  /** @param snapshot - Snapshot of a histogram with the same resolution. */
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
   * @param fraction - Fraction of the values, such as 0.99.
   * @returns The quantile, at most 1/8 too large; 0 if the histogram is empty.
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

  /** @returns The exclusive upper bound of the values in the bucket. */
  upperBound(bucket: number): number {
    return toLowestUnits(bucket + 1) / this.#unitsPerValue;
  }

  /** @returns The number of values in the bucket. */
  countOf(bucket: number): number {
    return this.#counts[bucket] ?? 0;
  }

  /** @returns The contents in JSON form. */
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
