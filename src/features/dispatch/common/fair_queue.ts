/**
 * Queue of one group. Classes are served in strict priority order with a limit
 * on starvation; the workspaces within a class are served by start-time fair
 * queueing.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { MinHeap } from "../../../base/common/min_heap.ts";

/** Properties of an item that determine its position in the queue. */
export interface QueueItem {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly priority: number;
  /** Waiting time in milliseconds after which the class is starved. */
  readonly starvationMs: number;
  /** Weight of the workspace. */
  readonly share: number;
  readonly enqueuedMs: number;
  readonly deadlineMs: number;
  /** Expected work in tokens, which is charged to the workspace. */
  readonly workTokens: number;
  readonly sizeBytes: number;
}

/** Queued items of one workspace within a class. */
interface Flow<T> {
  readonly key: WorkspaceId;
  readonly items: Set<T>;
  share: number;
  /** Start tag of the next item, in virtual time. */
  tag: number;
  workTokens: number;
}

/** Heap entry of a flow; stale if the tag of the flow has changed since. */
interface FlowEntry<T> {
  readonly flow: Flow<T>;
  readonly tag: number;
}

/** Queued items of one class. */
interface ClassQueue<T> {
  readonly priority: number;
  readonly starvationMs: number;
  readonly itemsByArrival: Set<T>;
  readonly flows: Map<WorkspaceId, Flow<T>>;
  readonly heap: MinHeap<FlowEntry<T>>;
  virtualTime: number;
  workTokens: number;
}

/** Maximum number of flows per class before idle flows are removed. */
const MAX_IDLE_FLOWS = 1_000;
/**
 * Maximum work that may bypass a starved class, as a multiple of the work of
 * its oldest item.
 */
const STARVATION_BYPASS_RATIO = 16;
/**
 * Number of stale entries that the deadline heap may contain before it is
 * rebuilt.
 */
const MAX_STALE_DEADLINES = 256;

/** Queued items of one group. */
export class FairQueue<T extends QueueItem> {
  /** Classes in descending order of priority. */
  #classes: ClassQueue<T>[] = [];
  readonly #classByName = new Map<string, ClassQueue<T>>();
  readonly #items = new Set<T>();
  #deadlines = new MinHeap<T>((left, right) =>
    left.deadlineMs - right.deadlineMs
  );
  #sizeBytes = 0;
  /**
   * Work in tokens served from higher classes while a starved class was
   * waiting.
   */
  #bypassTokens = 0;

  /** Number of queued items. */
  get size(): number {
    return this.#items.size;
  }

  /** Total size of the queued items in bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Queued items in order of arrival. */
  get items(): Iterable<T> {
    return this.#items;
  }

  /** Appends an item to the flow of its workspace. */
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
   * Removes an item from the queue.
   *
   * @param item - Item to remove.
   * @param isServed - Whether the work of the item is charged to its flow.
   * @returns Whether the item was queued.
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
   * Corrects the work charged to a workspace after the actual work has been
   * measured.
   *
   * @param className - Class of the item.
   * @param workspace - Workspace of the item.
   * @param tokens - Difference between the actual and the charged work, in
   * tokens; may be negative.
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

  /** Removes and returns the items whose deadline has passed. */
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
   * Offers queued items in scheduling order until one is taken or no more may
   * be offered. Within a class, the first items of up to `lookAhead` flows are
   * offered. A lower class is offered only if no offered item of a higher class
   * has to wait. A starved class is served first, in its own fair order.
   *
   * @param nowMs - Current time in milliseconds.
   * @param lookAhead - Maximum number of waiting flows that are offered per
   * class.
   * @param offer - Tries to place an item and returns the result.
   * @returns The item that was taken, or `undefined` if there is none.
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
   * Returns the work of the item's class that is expected to be served before
   * the item.
   *
   * @param item - Queued item.
   * @returns Work in tokens.
   */
  workAhead(item: T): number {
    const classQueue = this.#classByName.get(item.className);
    const flow = classQueue?.flows.get(item.workspace);
    if (!classQueue || !flow) return 0;
    const debt = Math.max(0, flow.tag - classQueue.virtualTime) * item.share;
    let aheadTokens = Math.max(0, flow.workTokens - item.workTokens);
    const flowTokens = flow.workTokens + debt;
    for (const other of classQueue.flows.values()) {
      if (other === flow || other.items.size === 0) continue;
      const fairTokens = flowTokens * other.share / item.share;
      aheadTokens += Math.min(other.workTokens, fairTokens);
    }
    return aheadTokens;
  }

  /**
   * Returns how much of the queue has precedence over a class.
   *
   * @param priority - Priority of the class.
   * @returns Fraction of the other known classes that have a higher priority.
   */
  shareOfHigherClasses(priority: number): number {
    const above = this.#classes.filter((queue) => queue.priority > priority);
    return above.length / Math.max(1, this.#classes.length - 1);
  }

  /**
   * Returns the number of queued items that compete with an item.
   *
   * @param item - Item that is queued or about to be queued.
   * @returns Number of items in the same class and in the same flow.
   */
  countWith(item: T): { readonly inClass: number; readonly inFlow: number } {
    const classQueue = this.#classByName.get(item.className);
    return {
      inClass: classQueue?.itemsByArrival.size ?? 0,
      inFlow: classQueue?.flows.get(item.workspace)?.items.size ?? 0,
    };
  }

  /**
   * Returns the work that precedes an item in its flow.
   *
   * @param item - Item at the end of its flow.
   * @returns Work in tokens.
   */
  workAheadInFlow(item: T): number {
    const classQueue = this.#classByName.get(item.className);
    const flowTokens = classQueue?.flows.get(item.workspace)?.workTokens ?? 0;
    return Math.max(0, flowTokens - item.workTokens);
  }

  #serveClass(
    queue: ClassQueue<T>,
    lookAhead: number,
    offer: (item: T) => OfferResult,
  ): { readonly taken?: T; readonly mustWait: boolean } {
    const offered: FlowEntry<T>[] = [];
    let waitingCount = 0;
    let taken: T | undefined;
    while (waitingCount < lookAhead) {
      const entry = popCurrent(queue);
      if (!entry) break;
      const head = entry.flow.items.values().next().value!;
      const result = offer(head);
      if (result === "taken") {
        taken = this.#removeServed(head);
        break;
      }
      offered.push(entry);
      if (result === "wait") waitingCount++;
    }
    for (const entry of offered) queue.heap.push(entry);
    return { ...(taken ? { taken } : {}), mustWait: waitingCount > 0 };
  }

  /**
   * Serves the classes in priority order until an item is taken or has to wait.
   * If a class is starved, only classes above it are served.
   */
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

  /**
   * Returns whether higher classes may be served while a starved class waits
   * for a large amount of free memory.
   */
  #canBypass({ itemsByArrival }: ClassQueue<T>): boolean {
    const oldest = itemsByArrival.values().next().value;
    const workTokens = oldest?.workTokens ?? 0;
    return this.#bypassTokens < STARVATION_BYPASS_RATIO * workTokens;
  }

  #removeServed(item: T): T {
    this.remove(item, true);
    return item;
  }

  /** Returns the starved class whose oldest item arrived first. */
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
    const existing = this.#classByName.get(item.className);
    if (existing) return existing;
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
 * Result of an offer: `taken`, `wait` (the item keeps its position), or `skip`
 * (the workspace has reached a limit, so other flows are served first).
 */
export type OfferResult = "taken" | "wait" | "skip";

function flowOf<T extends QueueItem>(queue: ClassQueue<T>, item: T): Flow<T> {
  const existing = queue.flows.get(item.workspace);
  if (existing) {
    existing.share = item.share;
    return existing;
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

/** Removes flows that have neither queued items nor an outstanding charge. */
function removeIdleFlows<T extends QueueItem>(queue: ClassQueue<T>): void {
  for (const flow of queue.flows.values()) {
    if (flow.items.size === 0 && flow.tag <= queue.virtualTime) {
      queue.flows.delete(flow.key);
    }
  }
}

/**
 * Removes and returns the next flow, discarding entries whose flow is empty or
 * has a different tag.
 */
function popCurrent<T extends QueueItem>(
  queue: ClassQueue<T>,
): FlowEntry<T> | undefined {
  for (;;) {
    const entry = queue.heap.pop();
    if (!entry) return undefined;
    if (entry.flow.items.size > 0 && entry.tag === entry.flow.tag) return entry;
  }
}
