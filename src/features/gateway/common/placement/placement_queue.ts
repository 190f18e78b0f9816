/**
 * Queue of generations that wait for free capacity on an engine. It handles
 * bursts, in which all engines are full for seconds: an engine that is given
 * more than fits preempts running generations and prefills their prompts again,
 * and a request that waits at one engine cannot use capacity that becomes free
 * on another.
 *
 * Requests that can still start within their objective go first, by priority
 * and then by age; overdue requests follow when none of these fits. Smaller
 * requests may overtake a larger one for a limited time, after which an engine
 * is reserved for it. A request whose latest start time has passed is rejected
 * as not run.
 */

import { type Clock, PeriodicTask } from "../../../../base/common/clock.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../../base/common/lifecycle.ts";
import type { EndpointId } from "../../../../base/common/ids.ts";
import type {
  EndpointChoice,
  EndpointChooser,
  EndpointCriteria,
} from "./endpoint_chooser.ts";
import type { GatewayService } from "../configuration/gateway_configuration.ts";

/** A generation that requires a placement. */
export interface PlacementRequest {
  readonly criteria: EndpointCriteria;
  /** Tokens of its prompt that have to be prefilled. */
  readonly pendingPrefillTokens: number;
  /** Whether a backup is requested on another engine. */
  readonly wantsBackup: boolean;
  readonly service: GatewayService;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the request was queued, in milliseconds. */
  readonly queuedMs: number;
  /** Monotonic time at which the first event is due, in milliseconds. */
  readonly firstEventDueMs: number;
  /**
   * Monotonic time after which a start is no longer worthwhile, in
   * milliseconds.
   */
  readonly latestStartMs: number;
  onPlaced(choice: EndpointChoice): void;
  /**
   * Called with the reason when the request can no longer be served in time.
   */
  onRejected(reason: string): void;
}

/** Assigns endpoints to generations. */
export interface GenerationPlacer {
  /** Number of waiting requests. */
  readonly length: number;
  /** Smoothed waiting time of recently placed requests, in milliseconds. */
  readonly recentWaitMs: number;
  /**
   * Places a request at once or queues it.
   *
   * @param request - The request; exactly one of its callbacks is called, once.
   * @returns A disposable that withdraws the request.
   */
  add(request: PlacementRequest): Disposable;
}

interface WaitingRequest extends PlacementRequest {
  readonly number: number;
}

/**
 * Period of the scans. Capacity that is freed by another daemon shows here
 * within 50 ms, and scans are cheap.
 */
const SCAN_PERIOD_MS = 25;
/**
 * Weight of the newest waiting time in the average: about the last twelve
 * count.
 */
const WAIT_SMOOTHING = 0.15;
/**
 * Prefill time of a typical prompt. A request with less time than this left
 * until its objective is overdue.
 */
const TYPICAL_PREFILL_MS = 250;
/**
 * Waiting time after which an engine is reserved; it then takes about a second
 * until the request fits.
 */
const RESERVATION_WAIT_MS = 300;

/**
 * An engine reserved for a request. Only one is reserved at a time, as each
 * reserved engine stays partly idle.
 */
interface Reservation {
  readonly request: WaitingRequest;
  readonly endpoint: EndpointId;
}

/** Placement queue of one daemon. */
export class PlacementQueue implements GenerationPlacer, Disposable {
  readonly #clock: Clock;
  readonly #chooser: EndpointChooser;
  /** Waiting requests, oldest first. */
  readonly #waitingRequests = new Set<WaitingRequest>();
  readonly #scans: PeriodicTask;
  #nextNumber = 0;
  #recentWaitMs = 0;

  /**
   * @param clock - Clock for waiting times.
   * @param chooser - Chooses endpoints with free capacity.
   */
  constructor(clock: Clock, chooser: EndpointChooser) {
    this.#clock = clock;
    this.#chooser = chooser;
    this.#scans = new PeriodicTask(clock, SCAN_PERIOD_MS, () => {
      this.#placeWaiting();
      return this.#waitingRequests.size > 0;
    });
  }

  /** {@inheritDoc GenerationPlacer.length} */
  get length(): number {
    return this.#waitingRequests.size;
  }

  /** {@inheritDoc GenerationPlacer.recentWaitMs} */
  get recentWaitMs(): number {
    return this.#recentWaitMs;
  }

  /** {@inheritDoc GenerationPlacer.add} */
  add(request: PlacementRequest): Disposable {
    const waiting: WaitingRequest = { ...request, number: this.#nextNumber++ };
    this.#waitingRequests.add(waiting);
    this.#placeWaiting();
    if (this.#waitingRequests.size > 0) this.#scans.start();
    return toDisposable(() => this.#waitingRequests.delete(waiting));
  }

  /** Discards all waiting requests and stops the scans. */
  dispose(): void {
    this.#scans.dispose();
    this.#waitingRequests.clear();
  }

  #placeWaiting(): void {
    const nowMs = this.#clock.monotonicMs();
    const order = [...this.#waitingRequests].sort((left, right) =>
      compareRequests(left, right, nowMs)
    );
    const reservation = this.#reserve(nowMs);
    for (const waiting of order) {
      // A callback may have queued another request and thereby placed some of
      // these.
      if (!this.#waitingRequests.has(waiting)) continue;
      if (nowMs > waiting.latestStartMs) {
        this.#waitingRequests.delete(waiting);
        waiting.onRejected("no engine had room in time");
        continue;
      }
      const choice = this.#chooser.chooseWithCapacity(
        waiting.criteria,
        waiting.service,
        reservation?.request === waiting ? undefined : reservation?.endpoint,
      );
      switch (choice.kind) {
        case "held":
          if (nowMs + choice.forMs <= waiting.latestStartMs) break;
          this.#waitingRequests.delete(waiting);
          waiting.onRejected("all endpoints want no requests for now");
          break;
        case "full":
          // A smaller request behind it may fit and finish soon.
          break;
        case "none":
          this.#waitingRequests.delete(waiting);
          waiting.onRejected("no endpoint is available");
          break;
        case "chosen":
          this.#waitingRequests.delete(waiting);
          this.#recordWait(nowMs - waiting.queuedMs);
          waiting.onPlaced(choice.choice);
      }
    }
  }

  /**
   * Reserves the engine with the least memory in use for the request that has
   * waited longest.
   */
  #reserve(nowMs: number): Reservation | undefined {
    for (const waiting of this.#waitingRequests) {
      const isRecent = nowMs - waiting.queuedMs < RESERVATION_WAIT_MS;
      if (isRecent || isOverdue(waiting, nowMs)) continue;
      const endpoint = this.#chooser.leastUsed(waiting.criteria);
      return endpoint && { request: waiting, endpoint: endpoint.id };
    }
    return undefined;
  }

  #recordWait(waitMs: number): void {
    this.#recentWaitMs += (waitMs - this.#recentWaitMs) * WAIT_SMOOTHING;
  }
}

function isOverdue(
  { firstEventDueMs }: WaitingRequest,
  nowMs: number,
): boolean {
  return nowMs + TYPICAL_PREFILL_MS > firstEventDueMs;
}

function compareRequests(
  left: WaitingRequest,
  right: WaitingRequest,
  nowMs: number,
): number {
  const isLeftOverdue = isOverdue(left, nowMs);
  if (isLeftOverdue !== isOverdue(right, nowMs)) return isLeftOverdue ? 1 : -1;
  return left.priority - right.priority || left.number - right.number;
}
