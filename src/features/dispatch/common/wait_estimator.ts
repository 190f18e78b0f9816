/** Forecast of how long a request will wait, from measured drain rates. */

import { DrainRate } from "./drain_rate.ts";
import type { FairQueue, QueueItem } from "./fair_queue.ts";

const MAX_RATES = 512;

/** What the forecast reads of the queue. */
type QueueView = Pick<
  FairQueue<QueueItem>,
  "countWith" | "workAhead" | "workAheadInFlow"
>;

/** Rates at which the waiting work of classes and workspaces is granted. */
export class WaitEstimator {
  readonly #queue: QueueView;
  readonly #rates = new Map<string, DrainRate>();

  /** @param queue - The queue that drains. */
  constructor(queue: QueueView) {
    this.#queue = queue;
  }

  /**
   * Lets time pass for the class and the workspace of an item. To be called
   * before the item joins or leaves the queue.
   *
   * @param item - The item.
   * @param nowMs - The present.
   */
  advanceClock(item: QueueItem, nowMs: number): void {
    const { inClass, inFlow } = this.#queue.countWith(item);
    this.#rateOf(classKey(item), nowMs).advanceClock(nowMs, inClass > 0);
    this.#rateOf(flowKey(item), nowMs).advanceClock(nowMs, inFlow > 0);
  }

  /** Counts an item that was granted after a wait. */
  recordGrant(item: QueueItem): void {
    this.#rates.get(classKey(item))?.recordGranted(item.workTokens);
    this.#rates.get(flowKey(item))?.recordGranted(item.workTokens);
  }

  /**
   * The workspace's own rate shows what others go on to take from the class.
   *
   * @param item - An item that waits.
   * @returns Its wait in milliseconds; 0 when nothing is known.
   */
  estimateWaitMs(item: QueueItem): number {
    const classRate = this.#rates.get(classKey(item))?.tokensPerSecond;
    const flowRate = this.#rates.get(flowKey(item))?.tokensPerSecond;
    const byClass = classRate === undefined
      ? 0
      : this.#queue.workAhead(item) / classRate;
    const byFlow = flowRate === undefined
      ? 0
      : this.#queue.workAheadInFlow(item) / flowRate;
    return Math.max(byClass, byFlow) * 1_000;
  }

  #rateOf(key: string, nowMs: number): DrainRate {
    const known = this.#rates.get(key);
    if (known) return known;
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
