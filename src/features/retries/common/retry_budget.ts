/**
 * Decides whether a request may be retried and after which delay. Only the
 * entry daemon, which received the request from the caller, retries it.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { ServiceId } from "../../../base/common/ids.ts";
import type { SeededRandom } from "../../../base/common/random.ts";

/** Limits on the number of retries per window. */
export interface RetryLimits {
  /** Number of retries allowed per successful request in the window. */
  readonly successShare: number;
  /** Number of retries allowed even if no request succeeded. */
  readonly minRetriesPerWindow: number;
}

/** Limits on the number of hedges of a service, each of which is a retry. */
export interface HedgeLimits {
  /** Number of hedges allowed per successful request in the window. */
  readonly successShare: number;
  /** Number of hedges allowed in the window, however many requests succeed. */
  readonly maxHedgesPerWindow: number;
}

/** Dependencies of a {@link RetryBudget}. */
export interface RetryBudgetServices {
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** Returns the current limits; default limits apply if omitted. */
  readonly limits?: () => RetryLimits;
  /**
   * Returns the current limits of the hedges of a service; `undefined` if its
   * calls are not hedged. No calls are hedged if omitted.
   */
  readonly hedgeLimits?: (service: ServiceId) => HedgeLimits | undefined;
}

/** Duration of one bucket of the sliding window. */
const BUCKET_MS = 1_000;
/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 10;
/**
 * Number of buckets that are kept. The oldest one is partly within the window;
 * hedges in it still count, so that no window holds more than their limit.
 */
const KEPT_BUCKET_COUNT = BUCKET_COUNT + 1;
/** Duration of the sliding window. */
export const RETRY_WINDOW_MS = BUCKET_MS * BUCKET_COUNT;
const DEFAULT_LIMITS: RetryLimits = {
  successShare: 0.2,
  minRetriesPerWindow: 100,
};
/** Share of the budget that hedges may use; the rest is left for true retries. */
const MAX_HEDGE_SHARE_OF_BUDGET = 0.5;
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

interface Bucket {
  index: number;
  successes: number;
  /** Retries, including hedges. */
  retries: number;
  hedges: number;
}

/** Sums over the window. */
interface WindowTotals {
  readonly successes: number;
  readonly retries: number;
  readonly hedges: number;
}

/**
 * Retry budget per service. The retries within a sliding window are limited to
 * a fixed minimum plus a share of the successful requests in the same window,
 * so that retries add little load to a failing service.
 */
export class RetryBudget {
  readonly #services: RetryBudgetServices;
  readonly #windows = new Map<ServiceId, Bucket[]>();

  /** @param services - Dependencies of the budget. */
  constructor(services: RetryBudgetServices) {
    this.#services = services;
  }

  /**
   * Records a successful request.
   *
   * @param service - Service that handled the request.
   */
  recordSuccess(service: ServiceId): void {
    this.#currentBucket(service).successes++;
  }

  /**
   * Consumes one retry from the budget if available.
   *
   * @param service - Service to which the request is sent.
   * @param attempt - Number of failed attempts, starting at 1.
   * @returns The delay before the retry in milliseconds, or `undefined` if the
   * budget is exhausted.
   */
  tryRetry(service: ServiceId, attempt: number): number | undefined {
    const bucket = this.#currentBucket(service);
    const totals = this.#sum(service);
    // A fraction of a retry, times all daemons, would be many retries.
    if (totals.retries + 1 > this.#allowedRetries(totals)) return undefined;
    bucket.retries++;
    return this.backoffMs(attempt);
  }

  /** @returns Whether the calls of a service are hedged at all. */
  allowsHedges(service: ServiceId): boolean {
    return this.#services.hedgeLimits?.(service) !== undefined;
  }

  /**
   * Returns whether one more hedge is within the budget, within the half of it
   * that hedges may use, and within the limits of the service.
   *
   * @param service - Service of the call.
   */
  canHedge(service: ServiceId): boolean {
    const limits = this.#services.hedgeLimits?.(service);
    if (!limits) return false;
    const totals = this.#sum(service);
    const allowedRetries = this.#allowedRetries(totals);
    const allowedHedges = Math.min(
      allowedRetries * MAX_HEDGE_SHARE_OF_BUDGET,
      totals.successes * limits.successShare,
      limits.maxHedgesPerWindow,
    );
    return totals.retries + 1 <= allowedRetries &&
      totals.hedges + 1 <= allowedHedges;
  }

  /**
   * Charges a hedge to the budget.
   *
   * @param service - Service of the call.
   */
  recordHedge(service: ServiceId): void {
    const bucket = this.#currentBucket(service);
    bucket.retries++;
    bucket.hedges++;
  }

  /**
   * Returns an exponential backoff delay with jitter.
   *
   * @param attempt - Number of failed attempts, starting at 1.
   * @returns A random delay in milliseconds whose upper bound doubles with each
   * attempt.
   */
  backoffMs(attempt: number): number {
    const boundMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (attempt - 1),
    );
    return boundMs * (0.5 + this.#services.random.float() / 2);
  }

  #allowedRetries({ successes }: WindowTotals): number {
    const limits = this.#services.limits?.() ?? DEFAULT_LIMITS;
    return limits.minRetriesPerWindow + successes * limits.successShare;
  }

  #currentBucket(service: ServiceId): Bucket {
    const index = this.#currentIndex();
    const window = this.#windows.get(service) ?? [];
    this.#windows.set(service, window);
    const position = index % KEPT_BUCKET_COUNT;
    const existing = window[position];
    if (existing?.index === index) return existing;
    const bucket = { index, successes: 0, retries: 0, hedges: 0 };
    window[position] = bucket;
    return bucket;
  }

  #sum(service: ServiceId): WindowTotals {
    const oldest = this.#currentIndex() - BUCKET_COUNT + 1;
    const total = { successes: 0, retries: 0, hedges: 0 };
    for (const bucket of this.#windows.get(service) ?? []) {
      if (!bucket || bucket.index < oldest - 1) continue;
      total.hedges += bucket.hedges;
      if (bucket.index < oldest) continue;
      total.successes += bucket.successes;
      total.retries += bucket.retries;
    }
    return total;
  }

  #currentIndex(): number {
    return Math.floor(this.#services.clock.monotonicMs() / BUCKET_MS);
  }
}
