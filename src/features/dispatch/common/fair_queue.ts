/**
 * Queue of one group: strict order of classes with a bounded starvation age,
 * and start-time fair queueing between the workspaces of a class.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { MinHeap } from "../../../base/common/min_heap.ts";

/** What the queue needs to know of an item. */
export interface QueueItem {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly priority: number;
  readonly starvationMs: number;
  /** Weight of the workspace. */
  readonly share: number;
  readonly enqueuedMs: number;
  readonly deadlineMs: number;
  readonly workTokens: number;
  readonly sizeBytes: number;
}

interface Flow<T> {
  readonly key: WorkspaceId;
  readonly items: Set<T>;
  share: number;
  tag: number;
  workTokens: number;
}

interface FlowEntry<T> {
  readonly flow: Flow<T>;
  readonly tag: number;
}

interface ClassQueue<T> {
  readonly priority: number;
  readonly starvationMs: number;
  readonly itemsByArrival: Set<T>;
  readonly flows: Map<WorkspaceId, Flow<T>>;
  readonly heap: MinHeap<FlowEntry<T>>;
  virtualTime: number;
  workTokens: number;
}

/** Flows of one class that are remembered without waiting items. */
const MAX_IDLE_FLOWS = 1_000;
/** Work that may pass a starved class, as a multiple of its oldest item. */
const STARVATION_BYPASS_RATIO = 16;
/** Dead entries that the heap of deadlines may hold. */
const MAX_STALE_DEADLINES = 256;

/** Waiting items of one group. */
export class FairQueue<T extends QueueItem> {
  /** Classes, the highest priority first. */
  #classes: ClassQueue<T>[] = [];
  readonly #classByName = new Map<string, ClassQueue<T>>();
  readonly #items = new Set<T>();
  #deadlines = new MinHeap<T>((left, right) =>
    left.deadlineMs - right.deadlineMs
  );
  #sizeBytes = 0;
  /** Work that was served while a starved class waited. */
  #bypassTokens = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#items.size;
  }

  /** Size of all waiting items, in bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Waiting items in order of arrival. */
  get items(): Iterable<T> {
    return this.#items;
  }

  /** @param item - Joins the end of its workspace's flow. */
  push(item: T): void {
    const queue = this.#classOf(item);
    const flow = flowOf(queue, item);
    this.#items.add(item);
    this.#sizeBytes += item.sizeBytes;
    queue.itemsByArrival.add(item);
    queue.workTokens += item.workTokens;
    flow.workTokens += item.workTokens;
    flow.items.add(item);
    if (flow.items.size === 1) {
      flow.tag = Math.max(flow.tag, queue.virtualTime);
      queue.heap.push({ flow, tag: flow.tag });
    }
    if (Number.isFinite(item.deadlineMs)) this.#deadlines.push(item);
  }

  /**
   * Takes an item out.
   *
   * @param item - A waiting item.
   * @param isServed - Whether its flow is charged for it.
   * @returns Whether it was waiting.
   */
  remove(item: T, isServed: boolean): boolean {
    if (!this.#items.delete(item)) return false;
    const queue = this.#classOf(item);
    const flow = flowOf(queue, item);
    this.#sizeBytes -= item.sizeBytes;
    queue.itemsByArrival.delete(item);
    queue.workTokens -= item.workTokens;
    flow.workTokens -= item.workTokens;
    flow.items.delete(item);
    if (isServed) {
      queue.virtualTime = Math.max(queue.virtualTime, flow.tag);
      flow.tag += item.workTokens / flow.share;
      if (flow.items.size > 0) queue.heap.push({ flow, tag: flow.tag });
    }
    this.#compactDeadlines();
    return true;
  }

  /**
   * Corrects what a workspace was charged, once the true work is known.
   *
   * @param className - Class of the item.
   * @param workspace - Its workspace.
   * @param tokens - Work beyond what was charged; may be negative.
   */
  adjustCharge(
    className: string,
    workspace: WorkspaceId,
    tokens: number,
  ): void {
    const queue = this.#classByName.get(className);
    const flow = queue?.flows.get(workspace);
    if (!queue || !flow) return;
    flow.tag += tokens / flow.share;
    if (flow.items.size > 0) queue.heap.push({ flow, tag: flow.tag });
  }

  /** Takes out items whose deadline has passed. */
  removeExpired(nowMs: number): T[] {
    const expired: T[] = [];
    for (;;) {
      const first = this.#deadlines.peek();
      if (!first || first.deadlineMs > nowMs) return expired;
      this.#deadlines.pop();
      if (this.remove(first, false)) expired.push(first);
    }
  }

  /**
   * Offers waiting items in the order in which they are to be served, until
   * one is taken or the offers are used up. Within a class, the heads of a few
   * flows are offered; a lower class is offered only when none waits before.
   * A class that has starved goes first, in its own fair order.
   *
   * @param nowMs - The present.
   * @param lookAhead - Most flows of a class that are offered.
   * @param offer - Says what became of the offer.
   * @returns The item that was taken.
   */
  serveNext(
    nowMs: number,
    lookAhead: number,
    offer: (item: T) => OfferResult,
  ): T | undefined {
    const starved = this.#findStarved(nowMs);
    if (starved) {
      const { taken, mustWait } = this.#serveClass(starved, lookAhead, offer);
      if (taken) this.#bypassTokens = 0;
      if (taken) return taken;
      if (mustWait && !this.#canBypass(starved)) return undefined;
      if (mustWait) return this.#serveByPriority(starved, lookAhead, offer);
    }
    return this.#serveByPriority(undefined, lookAhead, offer);
  }

  /**
   * Work of an item's class that will be served before it.
   *
   * @param item - An item that waits.
   * @returns The work in tokens.
   */
  workAhead(item: T): number {
    const own = this.#classByName.get(item.className);
    const flow = own?.flows.get(item.workspace);
    if (!own || !flow) return 0;
    const debt = Math.max(0, flow.tag - own.virtualTime) * item.share;
    let ahead = Math.max(0, flow.workTokens - item.workTokens);
    const ownWork = flow.workTokens + debt;
    for (const other of own.flows.values()) {
      if (other === flow || other.items.size === 0) continue;
      const fair = ownWork * other.share / item.share;
      ahead += Math.min(other.workTokens, fair);
    }
    return ahead;
  }

  /**
   * @param priority - Priority of a class.
   * @returns Part of the other known classes that come before it.
   */
  shareOfHigherClasses(priority: number): number {
    const above = this.#classes.filter((queue) => queue.priority > priority);
    return above.length / Math.max(1, this.#classes.length - 1);
  }

  /**
   * @param item - An item that waits or may join.
   * @returns Numbers of items that wait in its class and in its flow.
   */
  countWith(item: T): { readonly inClass: number; readonly inFlow: number } {
    const own = this.#classByName.get(item.className);
    return {
      inClass: own?.itemsByArrival.size ?? 0,
      inFlow: own?.flows.get(item.workspace)?.items.size ?? 0,
    };
  }

  /**
   * @param item - An item that waits at the end of its flow.
   * @returns Work before it in its flow, in tokens.
   */
  workAheadInFlow(item: T): number {
    const own = this.#classByName.get(item.className);
    const work = own?.flows.get(item.workspace)?.workTokens ?? 0;
    return Math.max(0, work - item.workTokens);
  }

  #serveClass(
    queue: ClassQueue<T>,
    lookAhead: number,
    offer: (item: T) => OfferResult,
  ): { readonly taken?: T; readonly mustWait: boolean } {
    const passed: FlowEntry<T>[] = [];
    let waiting = 0;
    let taken: T | undefined;
    while (waiting < lookAhead) {
      const entry = popCurrent(queue);
      if (!entry) break;
      const head = entry.flow.items.values().next().value!;
      const result = offer(head);
      if (result === "taken") {
        taken = this.#removeServed(head);
        break;
      }
      passed.push(entry);
      if (result === "wait") waiting++;
    }
    for (const entry of passed) queue.heap.push(entry);
    return { ...(taken ? { taken } : {}), mustWait: waiting > 0 };
  }

  /** Serves classes in order, down to one that waits already. */
  #serveByPriority(
    starved: ClassQueue<T> | undefined,
    lookAhead: number,
    offer: (item: T) => OfferResult,
  ): T | undefined {
    for (const queue of this.#classes) {
      if (starved && queue.priority <= starved.priority) return undefined;
      const { taken, mustWait } = this.#serveClass(queue, lookAhead, offer);
      if (taken && starved) this.#bypassTokens += taken.workTokens;
      if (taken || mustWait) return taken;
    }
    return undefined;
  }

  /** Small work goes on while a starved class waits for much room. */
  #canBypass({ itemsByArrival: arrivals }: ClassQueue<T>): boolean {
    const oldest = arrivals.values().next().value;
    const workTokens = oldest?.workTokens ?? 0;
    return this.#bypassTokens < STARVATION_BYPASS_RATIO * workTokens;
  }

  #removeServed(item: T): T {
    this.remove(item, true);
    return item;
  }

  /** The class whose oldest item has waited longest beyond its limit. */
  #findStarved(nowMs: number): ClassQueue<T> | undefined {
    let starved: ClassQueue<T> | undefined;
    let firstMs = Infinity;
    for (const queue of this.#classes) {
      const oldest = queue.itemsByArrival.values().next().value;
      if (!oldest || nowMs - oldest.enqueuedMs < queue.starvationMs) continue;
      if (oldest.enqueuedMs >= firstMs) continue;
      starved = queue;
      firstMs = oldest.enqueuedMs;
    }
    return starved;
  }

  #classOf(item: T): ClassQueue<T> {
    const known = this.#classByName.get(item.className);
    if (known) return known;
    const queue: ClassQueue<T> = {
      priority: item.priority,
      starvationMs: item.starvationMs,
      itemsByArrival: new Set(),
      flows: new Map(),
      heap: new MinHeap((left, right) => left.tag - right.tag),
      virtualTime: 0,
      workTokens: 0,
    };
    this.#classByName.set(item.className, queue);
    this.#classes.push(queue);
    this.#classes.sort((left, right) => right.priority - left.priority);
    return queue;
  }

  #compactDeadlines(): void {
    if (this.#deadlines.size <= 2 * this.#items.size + MAX_STALE_DEADLINES) {
      return;
    }
    this.#deadlines = new MinHeap((left, right) =>
      left.deadlineMs - right.deadlineMs
    );
    for (const item of this.#items) {
      if (Number.isFinite(item.deadlineMs)) this.#deadlines.push(item);
    }
  }
}

/**
 * What became of an offer: `taken`, `wait` (it keeps its turn), or `skip`
 * (its workspace is at a limit, others go first).
 */
export type OfferResult = "taken" | "wait" | "skip";

function flowOf<T extends QueueItem>(queue: ClassQueue<T>, item: T): Flow<T> {
  const known = queue.flows.get(item.workspace);
  if (known) {
    known.share = item.share;
    return known;
  }
  if (queue.flows.size >= MAX_IDLE_FLOWS) removeIdleFlows(queue);
  const flow: Flow<T> = {
    key: item.workspace,
    items: new Set(),
    share: item.share,
    tag: queue.virtualTime,
    workTokens: 0,
  };
  queue.flows.set(item.workspace, flow);
  return flow;
}

/** Forgets flows without items that owe nothing. */
function removeIdleFlows<T extends QueueItem>(queue: ClassQueue<T>): void {
  for (const flow of queue.flows.values()) {
    if (flow.items.size === 0 && flow.tag <= queue.virtualTime) {
      queue.flows.delete(flow.key);
    }
  }
}

/** Entries whose flow has moved on since they were pushed are dropped. */
function popCurrent<T extends QueueItem>(
  queue: ClassQueue<T>,
): FlowEntry<T> | undefined {
  for (;;) {
    const entry = queue.heap.pop();
    if (!entry) return undefined;
    if (entry.flow.items.size > 0 && entry.tag === entry.flow.tag) return entry;
  }
}
