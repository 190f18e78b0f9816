/**
 * Estimates how long queued generations wait, from the rate at which engine
 * memory has become free while others waited.
 */

import type { ServiceId } from "../../../../base/common/ids.ts";
import {
  DrainRate,
  type DrainRateOptions,
} from "../../../dispatch/common/drain_rate.ts";
import type { RandomSource } from "../../../dispatch/common/group_dispatcher.ts";

/**
 * Shortages last for seconds and engines come and go meanwhile, so that only
 * the last seconds with a queue count.
 */
const RATE_OPTIONS: DrainRateOptions = {
  decayTimeMs: 6_000,
  minObservedMs: 1_000,
};
/** Minimum retry delay; a full engine finishes some of its work in this time. */
const MIN_RETRY_AFTER_MS = 400;
/**
 * Maximum retry delay. Shortages end within seconds, and an estimate from a low
 * rate is uncertain.
 */
const MAX_RETRY_AFTER_MS = 10_000;
const MIN_RETRY_SPREAD = 0.5;
const MAX_RETRY_SPREAD = 1.5;

/** A request, as far as waits depend on it. */
export interface QueuedWork {
  readonly service: ServiceId;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Memory that it is expected to need, in tokens. */
  readonly memoryTokens: number;
}

interface PriorityState {
  readonly rate: DrainRate;
  waitingCount: number;
}

/** Measures the rates at which the waiting requests of a queue are placed. */
export class WaitEstimate {
  readonly #services = new Map<ServiceId, Map<number, PriorityState>>();

  /** Records that a request joins the queue. */
  recordQueued({ service, priority }: QueuedWork, nowMs: number): void {
    const states = this.#services.get(service) ??
      new Map<number, PriorityState>();
    this.#services.set(service, states);
    const state = states.get(priority) ??
      { rate: new DrainRate(nowMs, RATE_OPTIONS), waitingCount: 0 };
    states.set(priority, state);
    advance(state, nowMs);
    state.waitingCount++;
  }

  /** Records that a request leaves the queue without a placement. */
  recordLeft({ service, priority }: QueuedWork, nowMs: number): void {
    const state = this.#services.get(service)?.get(priority);
    if (!state) return;
    advance(state, nowMs);
    state.waitingCount--;
  }

  /**
   * Records that a request leaves the queue because it was placed. Its memory
   * counts for the rate of each priority that is at least as urgent and waits:
   * it would have had this memory next.
   */
  recordPlaced(work: QueuedWork, nowMs: number): void {
    for (const [priority, state] of this.#services.get(work.service) ?? []) {
      if (priority > work.priority || state.waitingCount === 0) continue;
      advance(state, nowMs);
      state.rate.recordGranted(work.memoryTokens);
    }
    this.recordLeft(work, nowMs);
  }

  /**
   * @returns Rate at which memory becomes free for the requests of a priority,
   * in tokens per second, or `undefined` before enough was observed.
   */
  tokensPerSecond(service: ServiceId, priority: number): number | undefined {
    return this.#services.get(service)?.get(priority)?.rate.tokensPerSecond;
  }
}

function advance({ rate, waitingCount }: PriorityState, nowMs: number): void {
  rate.advanceClock(nowMs, waitingCount > 0);
}

/**
 * Expected waits of the requests of a queue, read in its order. Only requests of
 * the same priority count: the rate of a priority was measured while more urgent
 * ones took their share, and small requests fit where those do not.
 */
export class WaitForecast {
  readonly #estimate: WaitEstimate;
  readonly #aheadTokens = new Map<ServiceId, Map<number, number>>();

  /** @param estimate - Measured rates. */
  constructor(estimate: WaitEstimate) {
    this.#estimate = estimate;
  }

  /**
   * @returns Time until the next request of a priority finds memory, in
   * milliseconds, or `undefined` if no rate is known.
   */
  expectedWaitMs({ priority, service }: QueuedWork): number | undefined {
    const rate = this.#estimate.tokensPerSecond(service, priority);
    if (rate === undefined) return undefined;
    const aheadTokens = this.#aheadTokens.get(service)?.get(priority) ?? 0;
    return aheadTokens / rate * 1_000;
  }

  /** Counts a request that continues to wait and precedes the next ones. */
  add({ memoryTokens, priority, service }: QueuedWork): void {
    const ahead = this.#aheadTokens.get(service) ?? new Map<number, number>();
    this.#aheadTokens.set(service, ahead);
    ahead.set(priority, (ahead.get(priority) ?? 0) + memoryTokens);
  }
}

/**
 * Returns the retry delay for a rejected request, spread at random so that the
 * callers rejected in one burst do not return together.
 *
 * @param waitMs - Expected or recent wait, in milliseconds.
 * @param random - Source of the spread.
 * @returns The delay in milliseconds.
 */
export function spreadRetryAfterMs(
  waitMs: number,
  random: RandomSource,
): number {
  const boundedMs = Math.min(
    Math.max(waitMs, MIN_RETRY_AFTER_MS),
    MAX_RETRY_AFTER_MS,
  );
  const spread = MIN_RETRY_SPREAD +
    (MAX_RETRY_SPREAD - MIN_RETRY_SPREAD) * random.float();
  return boundedMs * spread;
}
