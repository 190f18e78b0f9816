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

/** Dependencies of a {@link RetryBudget}. */
export interface RetryBudgetServices {
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** Returns the current limits; default limits apply if omitted. */
  readonly limits?: () => RetryLimits;
}

/** Duration of one bucket of the sliding window. */
const BUCKET_MS = 1_000;
/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 10;
/** Duration of the sliding window. */
export const RETRY_WINDOW_MS = BUCKET_MS * BUCKET_COUNT;
const DEFAULT_LIMITS: RetryLimits = {
  successShare: 0.2,
  minRetriesPerWindow: 100,
};
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

interface Bucket {
  index: number;
  successes: number;
  retries: number;
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
    const { successes, retries } = this.#sum(service);
    const limits = this.#services.limits?.() ?? DEFAULT_LIMITS;
    const { minRetriesPerWindow, successShare } = limits;
    // A fraction of a retry, times all daemons, would be many retries.
    if (retries + 1 > minRetriesPerWindow + successes * successShare) {
      return undefined;
    }
    bucket.retries++;
    return this.backoffMs(attempt);
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

  #currentBucket(service: ServiceId): Bucket {
    const index = this.#currentIndex();
    const window = this.#windows.get(service) ?? [];
    this.#windows.set(service, window);
    const position = index % BUCKET_COUNT;
    const existing = window[position];
    if (existing?.index === index) return existing;
    const bucket = { index, successes: 0, retries: 0 };
    window[position] = bucket;
    return bucket;
  }

  #sum(service: ServiceId): { successes: number; retries: number } {
    const oldest = this.#currentIndex() - BUCKET_COUNT + 1;
    const total = { successes: 0, retries: 0 };
    for (const bucket of this.#windows.get(service) ?? []) {
      if (!bucket || bucket.index < oldest) continue;
      total.successes += bucket.successes;
      total.retries += bucket.retries;
    }
    return total;
  }

  #currentIndex(): number {
    return Math.floor(this.#services.clock.monotonicMs() / BUCKET_MS);
  }
}
