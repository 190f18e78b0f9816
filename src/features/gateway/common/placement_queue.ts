/**
 * Generations that wait for room at an engine. Answers the load of bursts, in
 * which all engines are full for seconds: an engine that is given more than fits
 * preempts running generations and reads their prompts again, and a request that
 * waits at one engine cannot use the room that another one gets.
 *
 * Those that can still begin within their objective go first, the most urgent
 * and then the oldest of them; late ones follow when none of these fits. Smaller
 * ones may pass a larger one, but not for long: then an engine is kept for it. A
 * request whose last time to begin has passed is rejected as not run.
 */

import { type Clock, PeriodicTask } from "../../../base/common/clock.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import type {
  EndpointChoice,
  EndpointChooser,
  EndpointCriteria,
} from "./endpoint_chooser.ts";
import type { GatewayService } from "./gateway_configuration.ts";

/** A generation that has no place yet. */
export interface PlacementRequest {
  readonly criteria: EndpointCriteria;
  /** Its prompt, as far as it has to be read. */
  readonly pendingPrefillTokens: number;
  /** Whether a copy is to be kept at another engine. */
  readonly wantsBackup: boolean;
  readonly service: GatewayService;
  /** 0 comes first. */
  readonly priority: number;
  /** Time since which it waits, monotonic. */
  readonly queuedMs: number;
  /** Time at which the first event is due, monotonic. */
  readonly firstEventDueMs: number;
  /** Time from which it is not worth beginning, monotonic. */
  readonly latestStartMs: number;
  onPlaced(choice: EndpointChoice): void;
  /** It cannot be served in time any more. */
  onRejected(reason: string): void;
}

/** Finds places for generations. */
export interface GenerationPlacer {
  /** Requests that wait. */
  readonly length: number;
  /** Smoothed wait of the requests placed lately, in milliseconds. */
  readonly recentWaitMs: number;
  /**
   * Places a request at once or lets it wait.
   *
   * @param request - The request; one of its callbacks is called once.
   * @returns Ends the wait.
   */
  add(request: PlacementRequest): Disposable;
}

interface WaitingRequest extends PlacementRequest {
  readonly number: number;
}

/** Room that frees up elsewhere is known within 50 ms; looks at the queue are cheap. */
const SCAN_PERIOD_MS = 25;
/** Weight of the newest wait: the last dozen count. */
const WAIT_SMOOTHING = 0.15;
/** Time to read a prompt of usual size; a start later than that is late. */
const TYPICAL_PREFILL_MS = 250;
/** Wait after which an engine is kept free; it takes about a second until one fits. */
const RESERVATION_WAIT_MS = 300;

/** An engine that is kept for a request: more than one would stand half empty. */
interface Reservation {
  readonly request: WaitingRequest;
  readonly endpoint: EndpointId;
}

/** The queue of one daemon. */
export class PlacementQueue implements GenerationPlacer, Disposable {
  readonly #clock: Clock;
  readonly #chooser: EndpointChooser;
  /** Oldest first. */
  readonly #waitingRequests = new Set<WaitingRequest>();
  readonly #scans: PeriodicTask;
  #nextNumber = 0;
  #recentWaitMs = 0;

  /**
   * @param clock - Clock of the waits.
   * @param chooser - Knows where there is room.
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

  /** Forgets all that wait. */
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
      // A request that was placed may have come back and placed others.
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
        case "full":
          // A smaller one behind it may fit and be done soon.
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

  /** Keeps the emptiest engine for the request that has waited longest. */
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
  { firstEventDueMs: firstEventDueMs }: WaitingRequest,
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
