/**
 * Queue of generations that wait for free capacity on an engine. It handles
 * bursts, in which all engines are full for seconds: an engine that is given
 * more than fits preempts running generations and prefills their prompts again,
 * and a request that waits at one engine cannot use capacity that becomes free
 * on another.
 *
 * The most urgent priority goes first; among equals, requests that can still
 * start within their objective, then those with a brief output, and then the
 * oldest. A priority that is placed
 * much less often than all others comes first with one request. Smaller requests
 * may overtake a larger one for a limited time, after which an engine is
 * reserved for it. While capacity is scarce, less urgent requests leave some
 * memory of each engine to urgent ones, and a request that is not expected to
 * start in time is rejected at once. All rejections are as not run.
 */

import { type Clock, PeriodicTask } from "../../../../base/common/clock.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../../base/common/lifecycle.ts";
import type { EndpointId, ServiceId } from "../../../../base/common/ids.ts";
import type { RandomSource } from "../../../dispatch/common/group_dispatcher.ts";
import type {
  CapacityReservations,
  EndpointChoice,
  EndpointChooser,
  EndpointCriteria,
} from "./endpoint_chooser.ts";
import type { GatewayService } from "../configuration/gateway_configuration.ts";
import {
  type ArrivingRequest,
  isShort,
  outputTokensOf,
  UrgentCapacity,
  type UrgentReserve,
} from "./urgent_capacity.ts";
import {
  spreadRetryAfterMs,
  WaitEstimate,
  WaitForecast,
} from "./wait_estimate.ts";

/** What a placer knew when it placed or rejected a request. */
export interface PlacementDetails {
  /** Wait that was expected for the request, in milliseconds, if known. */
  readonly expectedWaitMs?: number | undefined;
  /** Memory that was kept free for urgent requests of the service. */
  readonly reserve?: UrgentReserve | undefined;
}

/** What a placer knew when it rejected a request. */
export interface RejectionDetails extends PlacementDetails {
  /** Whether the request was rejected before its latest start time. */
  readonly isEarly?: boolean | undefined;
  /** Time after which the caller may return, in milliseconds. */
  readonly retryAfterMs?: number | undefined;
}

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
  onPlaced(choice: EndpointChoice, details: PlacementDetails): void;
  /**
   * Called with the reason when the request can no longer be served in time.
   */
  onRejected(reason: string, details: RejectionDetails): void;
}

/** Assigns endpoints to generations. */
export interface GenerationPlacer {
  /** Number of waiting requests. */
  readonly length: number;
  /** Smoothed waiting time of recently placed requests, in milliseconds. */
  readonly recentWaitMs: number;
  /** Largest reserve in force here, in tokens of each engine of its service. */
  readonly reserveTokens: number;
  /** @returns Whether a request of a service had to wait in the last seconds. */
  isScarce(service: ServiceId): boolean;
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
  readonly work: ArrivingRequest;
  /** Whether it could not start within its objective even when it was queued. */
  readonly wasOverdue: boolean;
  /** Expected wait when it was first found to wait, in milliseconds. */
  expectedWaitMs: number | undefined;
  /** Whether a later request was placed that fitted when this one did not. */
  wasOvertaken: boolean;
}

/**
 * Priority of a generation that is moved from an engine that leaves. It goes
 * before all that wait, and is none of the priorities that callers have.
 */
export const MIGRATION_PRIORITY = -1;
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
 * Output below which a generation returns its memory within a fraction of a
 * second. It goes before longer ones of its priority, which it hardly delays.
 */
const BRIEF_OUTPUT_TOKENS = 64;
/**
 * Waiting time after which an engine is reserved; it then takes about a second
 * until the request fits.
 */
const RESERVATION_WAIT_MS = 300;

/** Placement queue of one daemon. */
export class PlacementQueue implements GenerationPlacer, Disposable {
  readonly #clock: Clock;
  readonly #chooser: EndpointChooser;
  readonly #random: RandomSource;
  readonly #urgentCapacity: UrgentCapacity;
  readonly #waitEstimate = new WaitEstimate();
  /** Waiting requests, oldest first. */
  readonly #waitingRequests = new Set<WaitingRequest>();
  readonly #scans: PeriodicTask;
  /**
   * Request for which an engine is reserved. Only one is reserved at a time, as
   * each reserved engine stays partly idle.
   */
  #reservationHolder: WaitingRequest | undefined;
  #nextNumber = 0;
  #recentWaitMs = 0;

  /**
   * @param clock - Clock for waiting times.
   * @param chooser - Chooses endpoints with free capacity.
   * @param random - Spreads retry delays.
   */
  constructor(clock: Clock, chooser: EndpointChooser, random: RandomSource) {
    this.#clock = clock;
    this.#chooser = chooser;
    this.#random = random;
    this.#urgentCapacity = new UrgentCapacity(clock);
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

  /** {@inheritDoc GenerationPlacer.reserveTokens} */
  get reserveTokens(): number {
    return this.#urgentCapacity.largestReserveTokens;
  }

  /** {@inheritDoc GenerationPlacer.isScarce} */
  isScarce(service: ServiceId): boolean {
    return this.#urgentCapacity.isScarce(service);
  }

  /** {@inheritDoc GenerationPlacer.add} */
  add(request: PlacementRequest): Disposable {
    const nowMs = this.#clock.monotonicMs();
    const { criteria, pendingPrefillTokens, priority, service } = request;
    const { memoryTokens } = criteria;
    const work = {
      service: service.id,
      priority,
      memoryTokens,
      promptTokens: pendingPrefillTokens,
    };
    const waiting: WaitingRequest = {
      ...request,
      number: this.#nextNumber++,
      work,
      wasOverdue: isOverdue(request, nowMs),
      expectedWaitMs: undefined,
      wasOvertaken: false,
    };
    if (priority !== MIGRATION_PRIORITY) {
      this.#urgentCapacity.recordArrival(work);
    }
    this.#waitingRequests.add(waiting);
    this.#waitEstimate.recordQueued(work, nowMs);
    this.#placeWaiting();
    if (this.#waitingRequests.size > 0) this.#scans.start();
    return toDisposable(() => this.#remove(waiting));
  }

  /** Discards all waiting requests and stops the scans. */
  dispose(): void {
    this.#scans.dispose();
    this.#waitingRequests.clear();
  }

  #placeWaiting(): void {
    const nowMs = this.#clock.monotonicMs();
    const preferred = this.#findStarved();
    const order = [...this.#waitingRequests].sort((left, right) =>
      compareRequests(left, right, nowMs, preferred)
    );
    const reservedEngine = this.#reserve(nowMs);
    const forecast = new WaitForecast(this.#waitEstimate);
    const passedOver: WaitingRequest[] = [];
    for (const waiting of order) {
      // A callback may have queued another request and thereby placed some of
      // these.
      if (!this.#waitingRequests.has(waiting)) continue;
      if (nowMs > waiting.latestStartMs) {
        this.#rejectForCapacity(waiting, "no engine had room in time", false);
        continue;
      }
      const choice = this.#chooser.chooseWithCapacity(
        waiting.criteria,
        waiting.service,
        this.#reservationsAgainst(waiting, reservedEngine),
      );
      switch (choice.kind) {
        case "held":
          if (nowMs + choice.forMs <= waiting.latestStartMs) break;
          this.#reject(waiting, "all endpoints want no requests for now");
          break;
        case "full": {
          const { work } = waiting;
          if (choice.isShort) {
            this.#urgentCapacity.recordShortage(work.service);
          }
          const expectedWaitMs = forecast.expectedWaitMs(work);
          waiting.expectedWaitMs ??= expectedWaitMs;
          const isExempt = waiting === this.#reservationHolder ||
            preferred.has(waiting);
          if (!isExempt && this.#isHopeless(waiting, expectedWaitMs, nowMs)) {
            waiting.expectedWaitMs = expectedWaitMs;
            const reason = "no engine will have room in time";
            this.#rejectForCapacity(waiting, reason, true);
            break;
          }
          // A smaller request behind it may fit and finish soon.
          passedOver.push(waiting);
          if (!preferred.has(waiting)) forecast.add(work);
          break;
        }
        case "none":
          this.#reject(waiting, "no endpoint is available");
          break;
        case "chosen":
          for (const passed of passedOver) {
            if (passed.service.id === waiting.service.id) {
              passed.wasOvertaken = true;
            }
          }
          this.#place(waiting, choice.choice, nowMs);
      }
    }
  }

  #place(
    waiting: WaitingRequest,
    choice: EndpointChoice,
    nowMs: number,
  ): void {
    const { service, priority } = waiting.work;
    this.#waitEstimate.recordPlaced(waiting.work, nowMs);
    this.#waitingRequests.delete(waiting);
    this.#urgentCapacity.recordPlacement(service, priority);
    this.#recordWait(nowMs - waiting.queuedMs);
    waiting.onPlaced(choice, this.#detailsOf(waiting));
  }

  #reject(
    waiting: WaitingRequest,
    reason: string,
    details: RejectionDetails = {},
  ): void {
    this.#remove(waiting);
    waiting.onRejected(reason, { ...this.#detailsOf(waiting), ...details });
  }

  #rejectForCapacity(
    waiting: WaitingRequest,
    reason: string,
    isEarly: boolean,
  ): void {
    const waitMs = Math.max(waiting.expectedWaitMs ?? 0, this.#recentWaitMs);
    const retryAfterMs = spreadRetryAfterMs(waitMs, this.#random);
    this.#reject(waiting, reason, { isEarly, retryAfterMs });
  }

  #remove(waiting: WaitingRequest): void {
    if (!this.#waitingRequests.delete(waiting)) return;
    this.#waitEstimate.recordLeft(waiting.work, this.#clock.monotonicMs());
  }

  #detailsOf({ expectedWaitMs, work }: WaitingRequest): PlacementDetails {
    const reserve = this.#urgentCapacity.reserveOf(work.service);
    return { expectedWaitMs, reserve };
  }

  /**
   * Returns whether a request is not expected to start in its useful time.
   * While more arrives than is placed, a request that becomes overdue is
   * overtaken by all later ones of its priority, and then not placed at all.
   */
  #isHopeless(
    waiting: WaitingRequest,
    expectedWaitMs: number | undefined,
    nowMs: number,
  ): boolean {
    // The next in line starts as soon as an engine has enough memory.
    if (expectedWaitMs === undefined || expectedWaitMs === 0) return false;
    const startMs = nowMs + expectedWaitMs;
    if (startMs > waiting.latestStartMs) return true;
    if (waiting.wasOverdue || !isOverdue(waiting, startMs)) return false;
    const { priority, service } = waiting.work;
    const rate = this.#waitEstimate.tokensPerSecond(service, priority);
    return rate !== undefined &&
      this.#urgentCapacity.arrivingTokensPerSecond(service, priority) > rate;
  }

  /** @returns The oldest waiting request of each starved priority. */
  #findStarved(): ReadonlySet<WaitingRequest> {
    const preferred = new Set<WaitingRequest>();
    if (this.#waitingRequests.size < 2) return preferred;
    const seen = new Set<string>();
    for (const waiting of this.#waitingRequests) {
      const { priority, service } = waiting.work;
      const key = `${service} ${priority}`;
      if (seen.has(key)) continue;
      seen.add(key);
      if (this.#urgentCapacity.isStarved(service, priority)) {
        preferred.add(waiting);
      }
    }
    return preferred;
  }

  #reservationsAgainst(
    waiting: WaitingRequest,
    reservedEngine: EndpointId | undefined,
  ): CapacityReservations {
    const holder = this.#reservationHolder;
    const reserve = this.#urgentCapacity.reserveAgainst(waiting.work);
    // Neither an urgent request nor one that returns the memory soon waits for
    // the holder.
    const mayUseEngine = !holder || holder === waiting ||
      waiting.priority < holder.priority ||
      isShort(waiting.work, outputTokensOf(holder.work));
    return {
      endpoints: new Set(
        reservedEngine && !mayUseEngine ? [reservedEngine] : [],
      ),
      memoryTokens: holder === waiting ? 0 : reserve?.tokens ?? 0,
    };
  }

  /**
   * Reserves the engine with the least memory in use for the largest request
   * that was overtaken, or else for the one that has waited longest. The request keeps
   * the reservation, as the engine has to finish other runs first.
   */
  #reserve(nowMs: number): EndpointId | undefined {
    const holder = this.#reservationHolder;
    const isHolding = holder && this.#waitingRequests.has(holder) &&
      !isOverdue(holder, nowMs);
    if (!isHolding) {
      this.#reservationHolder = this.#findReservationHolder(nowMs);
    }
    const criteria = this.#reservationHolder?.criteria;
    return criteria && this.#chooser.leastUsed(criteria)?.id;
  }

  #findReservationHolder(nowMs: number): WaitingRequest | undefined {
    let oldest: WaitingRequest | undefined;
    let largest: WaitingRequest | undefined;
    for (const waiting of this.#waitingRequests) {
      const isRecent = nowMs - waiting.queuedMs < RESERVATION_WAIT_MS;
      if (isRecent || isOverdue(waiting, nowMs)) continue;
      oldest ??= waiting;
      if (!waiting.wasOvertaken) continue;
      const { memoryTokens } = waiting.work;
      if (memoryTokens > (largest?.work.memoryTokens ?? 0)) largest = waiting;
    }
    return largest ?? oldest;
  }

  #recordWait(waitMs: number): void {
    this.#recentWaitMs += (waitMs - this.#recentWaitMs) * WAIT_SMOOTHING;
  }
}

function isOverdue(
  { firstEventDueMs }: PlacementRequest,
  nowMs: number,
): boolean {
  return nowMs + TYPICAL_PREFILL_MS > firstEventDueMs;
}

function isBrief({ work }: WaitingRequest): boolean {
  return outputTokensOf(work) < BRIEF_OUTPUT_TOKENS;
}

function compareRequests(
  left: WaitingRequest,
  right: WaitingRequest,
  nowMs: number,
  preferred: ReadonlySet<WaitingRequest>,
): number {
  const isLeftPreferred = preferred.has(left);
  if (isLeftPreferred !== preferred.has(right)) return isLeftPreferred ? -1 : 1;
  if (left.priority !== right.priority) return left.priority - right.priority;
  const isLeftOverdue = isOverdue(left, nowMs);
  if (isLeftOverdue !== isOverdue(right, nowMs)) return isLeftOverdue ? 1 : -1;
  const isLeftBrief = isBrief(left);
  if (isLeftBrief !== isBrief(right)) return isLeftBrief ? -1 : 1;
  return left.number - right.number;
}
