/**
 * Estimates how long a queued request will wait, based on the measured drain
 * rates of the queue.
 */

import { DrainRate } from "./drain_rate.ts";
import type { FairQueue, QueueItem } from "./fair_queue.ts";

/** Maximum number of tracked rates; the oldest one is removed first. */
const MAX_RATES = 512;

/** Subset of the queue that the estimator reads. */
type QueueView = Pick<
  FairQueue<QueueItem>,
  "countWith" | "workAhead" | "workAheadInFlow"
>;

/**
 * Measures the rate at which queued work is granted, for each class and for
 * each workspace within a class.
 */
export class WaitEstimator {
  readonly #queue: QueueView;
  readonly #rates = new Map<string, DrainRate>();

  /** @param queue - Queue whose drain rates are measured. */
  constructor(queue: QueueView) {
    this.#queue = queue;
  }

  /**
   * Advances the clock of the rates for an item's class and workspace. Must be
   * called before the item joins or leaves the queue.
   *
   * @param item - Queue item.
   * @param nowMs - Current time in milliseconds.
   */
  advanceClock(item: QueueItem, nowMs: number): void {
    const { inClass, inFlow } = this.#queue.countWith(item);
    this.#rateOf(classKey(item), nowMs).advanceClock(nowMs, inClass > 0);
    this.#rateOf(flowKey(item), nowMs).advanceClock(nowMs, inFlow > 0);
  }

  /** Records that an item was granted after it had waited in the queue. */
  recordGrant(item: QueueItem): void {
    this.#rates.get(classKey(item))?.recordGranted(item.workTokens);
    this.#rates.get(flowKey(item))?.recordGranted(item.workTokens);
  }

  /**
   * Estimates the remaining wait of an item. The estimate is the larger of the
   * class's and the workspace's, because the workspace's own rate reflects the
   * share that other workspaces take from the class.
   *
   * @param item - Queued item.
   * @returns Estimated wait in milliseconds; 0 if no rate has been measured
   * yet.
   */
  estimateWaitMs(item: QueueItem): number {
    const classRate = this.#rates.get(classKey(item))?.tokensPerSecond;
    const flowRate = this.#rates.get(flowKey(item))?.tokensPerSecond;
    const classWaitSeconds = classRate === undefined
      ? 0
      : this.#queue.workAhead(item) / classRate;
    const flowWaitSeconds = flowRate === undefined
      ? 0
      : this.#queue.workAheadInFlow(item) / flowRate;
    return Math.max(classWaitSeconds, flowWaitSeconds) * 1_000;
  }

  #rateOf(key: string, nowMs: number): DrainRate {
    const existing = this.#rates.get(key);
    if (existing) return existing;
    if (this.#rates.size >= MAX_RATES) {
      this.#rates.delete(this.#rates.keys().next().value!);
    }
    const rate = new DrainRate(nowMs);
    this.#rates.set(key, rate);
    return rate;
  }
}

function classKey({ className }: QueueItem): string {
  return className;
}

function flowKey({ className, workspace }: QueueItem): string {
  return `${className}|${workspace}`;
}
