/**
 * Decides whether the entry daemon, the only owner of retries, may try a
 * request again, and after what wait.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { ServiceId } from "../../../base/common/ids.ts";
import type { SeededRandom } from "../../../base/common/random.ts";

/** How many retries a window allows. */
export interface RetryLimits {
  /** Retries as a share of the window's successes. */
  readonly successShare: number;
  /** Retries without any success. */
  readonly minRetriesPerWindow: number;
}

/** What the budget works with. */
export interface RetryBudgetServices {
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** Limits of the present; the defaults when left out. */
  readonly limits?: () => RetryLimits;
}

const BUCKET_MS = 1_000;
const BUCKET_COUNT = 10;
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
 * One budget for each service. The retries of the last seconds stay below a
 * floor plus a share of the successes of the same time, so that a failing
 * service sees little more than its usual load.
 */
export class RetryBudget {
  readonly #services: RetryBudgetServices;
  readonly #windows = new Map<ServiceId, Bucket[]>();

  /** @param services - What the budget works with. */
  constructor(services: RetryBudgetServices) {
    this.#services = services;
  }

  /**
   * Takes note that a request of a service succeeded.
   *
   * @param service - The service.
   */
  recordSuccess(service: ServiceId): void {
    this.#currentBucket(service).successes++;
  }

  /**
   * Asks for leave to try once more.
   *
   * @param service - The service.
   * @param attempt - Number of attempts that have failed, from 1.
   * @returns The wait before the retry, in milliseconds, or `undefined` when
   * the budget is used up.
   */
  tryRetry(service: ServiceId, attempt: number): number | undefined {
    const bucket = this.#currentBucket(service);
    const { successes, retries } = this.#sum(service);
    const limits = this.#services.limits?.() ?? DEFAULT_LIMITS;
    const { minRetriesPerWindow, successShare } = limits;
    if (retries >= minRetriesPerWindow + successes * successShare) {
      return undefined;
    }
    bucket.retries++;
    return this.backoffMs(attempt);
  }

  /**
   * @param attempt - Number of attempts that have failed, from 1.
   * @returns A random wait whose bound doubles with each attempt, in
   * milliseconds.
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
    const known = window[position];
    if (known?.index === index) return known;
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
