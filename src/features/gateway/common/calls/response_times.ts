/**
 * Recent response times of calls, by service and kind of call. They decide
 * after which time a call is slower than nearly all of its kind.
 */

import type { JsHistogram } from "hdr-histogram-js";
import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { RouteKind } from "../configuration/gateway_configuration.ts";

/** Fraction of the response times that are below the delay of a hedge. */
const HEDGE_QUANTILE = 0.95;
/** Number of complete responses below which the quantile is not known. */
const MIN_SAMPLES = 50;
/** Time after which a response time counts half. */
const HALF_LIFE_MS = 60_000;
/**
 * Weight of a new response time. Counts are integers, so it is a power of two
 * and a single value lasts for ten half-lives.
 */
const SAMPLE_WEIGHT = 1_024;
/** Number of half-lives after which no weight is left of a usual number of values. */
const MAX_HALF_LIVES = 20;
/**
 * Time for which a quantile is used. Computing it visits all buckets, which
 * took about 1 ms on a busy machine.
 */
const QUANTILE_LIFETIME_MS = 1_000;
const UNITS_PER_MS = 10;
/** Ten minutes; longer times are counted as this one. */
const MAX_UNITS = 6_000_000;
const SIGNIFICANT_DIGITS = 2;
/** Maximum number of services and kinds; each one uses about 20 KB. */
const MAX_SERIES = 200;

type HistogramFactory = () => JsHistogram;

/** Kind of call. */
export type CallKind = RouteKind["kind"];

/** Response times of one service and kind of call. */
class ResponseTimeSeries {
  readonly #create: HistogramFactory;
  #complete: JsHistogram;
  /** Times of calls that were given up without a complete response. */
  #censored: JsHistogram;
  #decayedMs: number;
  #quantile:
    | { readonly ms: number | undefined; readonly atMs: number }
    | undefined;

  constructor(create: HistogramFactory, nowMs: number) {
    this.#create = create;
    this.#complete = create();
    this.#censored = create();
    this.#decayedMs = nowMs;
  }

  record(elapsedMs: number, isComplete: boolean, nowMs: number): void {
    this.#decay(nowMs);
    const units = Math.round(Math.max(0, elapsedMs) * UNITS_PER_MS);
    const histogram = isComplete ? this.#complete : this.#censored;
    histogram.recordValueWithCount(Math.min(units, MAX_UNITS), SAMPLE_WEIGHT);
  }

  delayMs(nowMs: number): number | undefined {
    this.#decay(nowMs);
    const cached = this.#quantile;
    if (cached && nowMs - cached.atMs < QUANTILE_LIFETIME_MS) return cached.ms;
    const ms = this.#computeDelayMs();
    this.#quantile = { ms, atMs: nowMs };
    return ms;
  }

  #computeDelayMs(): number | undefined {
    if (this.#complete.totalCount < MIN_SAMPLES * SAMPLE_WEIGHT) {
      return undefined;
    }
    const units = censoredQuantile(
      countsOf(this.#complete),
      countsOf(this.#censored),
      HEDGE_QUANTILE,
    );
    return units / UNITS_PER_MS;
  }

  #decay(nowMs: number): void {
    const halfLives = Math.floor((nowMs - this.#decayedMs) / HALF_LIFE_MS);
    if (halfLives === 0) return;
    this.#decayedMs += halfLives * HALF_LIFE_MS;
    this.#complete = this.#scaled(this.#complete, halfLives);
    this.#censored = this.#scaled(this.#censored, halfLives);
  }

  #scaled(histogram: JsHistogram, halfLives: number): JsHistogram {
    const scaled = this.#create();
    if (halfLives > MAX_HALF_LIVES) return scaled;
    for (const { value, count } of countsOf(histogram)) {
      const remaining = Math.floor(count / 2 ** halfLives);
      if (remaining > 0) scaled.recordValueWithCount(value, remaining);
    }
    return scaled;
  }
}

interface ValueCount {
  readonly value: number;
  readonly count: number;
}

/** @returns The values of a histogram in ascending order. */
function countsOf(histogram: JsHistogram): ValueCount[] {
  const iterator = histogram.recordedValuesIterator;
  iterator.reset();
  const counts: ValueCount[] = [];
  while (iterator.hasNext()) {
    // The iterator returns the same object for each value.
    const { valueIteratedTo, countAtValueIteratedTo } = iterator.next();
    const value = Math.min(valueIteratedTo, MAX_UNITS);
    counts.push({ value, count: countAtValueIteratedTo });
  }
  return counts;
}

/**
 * Kaplan-Meier estimate of a quantile. A censored value, which is only known to
 * be exceeded, counts among the values at risk up to itself. To count it as a
 * complete one would underestimate the quantile, so that hedges would lead to
 * earlier and more hedges.
 *
 * @param complete - Complete values in ascending order; at least one.
 * @param censored - Censored values in ascending order.
 * @param fraction - Fraction of the values, such as 0.95.
 * @returns The quantile, or the largest value of all if the quantile is beyond
 * it.
 */
function censoredQuantile(
  complete: readonly ValueCount[],
  censored: readonly ValueCount[],
  fraction: number,
): number {
  let atRisk = totalOf(complete) + totalOf(censored);
  let shareAbove = 1;
  let index = 0;
  for (const { value, count } of complete) {
    for (; index < censored.length && censored[index]!.value < value; index++) {
      atRisk -= censored[index]!.count;
    }
    shareAbove *= 1 - count / atRisk;
    atRisk -= count;
    if (shareAbove <= 1 - fraction) return value;
  }
  return Math.max(
    complete[complete.length - 1]!.value,
    censored[censored.length - 1]?.value ?? 0,
  );
}

function totalOf(counts: readonly ValueCount[]): number {
  return counts.reduce((total, { count }) => total + count, 0);
}

/** Decaying histograms of response times. */
export class ResponseTimes {
  readonly #clock: Clock;
  readonly #series = new BoundedMap<string, ResponseTimeSeries>(MAX_SERIES);
  #create: HistogramFactory | undefined;
  #loading: Promise<void> | undefined;

  /** @param clock - Clock for the age of the response times. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Loads the histogram library, which took 116 ms on a busy machine. A host on
   * which no call is hedged starts without it.
   *
   * @returns Once response times are recorded; earlier ones are dropped.
   */
  load(): Promise<void> {
    this.#loading ??= import("hdr-histogram-js").then(({ build }) => {
      this.#create = () =>
        build({
          bitBucketSize: 32,
          lowestDiscernibleValue: 1,
          highestTrackableValue: MAX_UNITS,
          numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
          useWebAssembly: false,
        }) as JsHistogram;
    });
    return this.#loading;
  }

  /**
   * Records the time to a complete response.
   *
   * @param service - Service of the call.
   * @param kind - Kind of the call.
   * @param elapsedMs - Time since the call was started, in milliseconds.
   */
  recordComplete(service: ServiceId, kind: CallKind, elapsedMs: number): void {
    this.#record(service, kind, elapsedMs, true);
  }

  /**
   * Records that a call was given up; its response would have taken longer.
   *
   * @param service - Service of the call.
   * @param kind - Kind of the call.
   * @param elapsedMs - Time since the call was started, in milliseconds.
   */
  recordCensored(service: ServiceId, kind: CallKind, elapsedMs: number): void {
    this.#record(service, kind, elapsedMs, false);
  }

  /**
   * @param service - Service of the call.
   * @param kind - Kind of the call.
   * @returns The 95th percentile of the response times in milliseconds, or
   * `undefined` if there are fewer than 50 recent ones.
   */
  hedgeDelayMs(service: ServiceId, kind: CallKind): number | undefined {
    const series = this.#series.get(keyOf(service, kind));
    return series?.delayMs(this.#clock.monotonicMs());
  }

  #record(
    service: ServiceId,
    kind: CallKind,
    elapsedMs: number,
    isComplete: boolean,
  ): void {
    if (!this.#create) {
      void this.load();
      return;
    }
    const nowMs = this.#clock.monotonicMs();
    const key = keyOf(service, kind);
    let series = this.#series.get(key);
    if (!series) {
      series = new ResponseTimeSeries(this.#create, nowMs);
      this.#series.set(key, series);
    }
    series.record(elapsedMs, isComplete, nowMs);
  }
}

function keyOf(service: ServiceId, kind: CallKind): string {
  return `${service} ${kind}`;
}
