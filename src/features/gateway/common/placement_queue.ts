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

import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import type { Choice, EndpointChooser, Need } from "./endpoint_choice.ts";
import type { GatewayService } from "./gateway_configuration.ts";

/** A generation that has no place yet. */
export interface PlacementRequest {
  readonly need: Need;
  /** Its prompt, as far as it has to be read. */
  readonly unreadTokens: number;
  /** Whether a copy is to be kept at another engine. */
  readonly wantsBackup: boolean;
  readonly service: GatewayService;
  /** 0 comes first. */
  readonly priority: number;
  /** Time since which it waits, monotonic. */
  readonly sinceMs: number;
  /** Time at which the first event is due, monotonic. */
  readonly objectiveDueMs: number;
  /** Time from which it is not worth beginning, monotonic. */
  readonly lastStartMs: number;
  onPlaced(choice: Choice): void;
  /** It cannot be served in time any more. */
  onHopeless(reason: string): void;
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

interface Waiting extends PlacementRequest {
  readonly number: number;
}

/** Room that frees up elsewhere is known within 50 ms; looks at the queue are cheap. */
const LOOK_PERIOD_MS = 25;
/** Weight of the newest wait: the last dozen count. */
const WAIT_SMOOTHING = 0.15;
/** Time to read a prompt of usual size; a start later than that is late. */
const READING_MS = 250;
/** Wait after which an engine is kept free; it takes about a second until one fits. */
const RESERVE_AFTER_MS = 300;
/** Engines kept at a time; more would stand half empty while small requests wait. */
const MAX_RESERVATIONS = 1;

/** Engines that are kept for some of those that wait. */
class Reservations {
  readonly #kept = new Map<Waiting, EndpointId>();
  readonly #all = new Set<EndpointId>();

  get all(): ReadonlySet<EndpointId> {
    return this.#all;
  }

  add(waiting: Waiting, endpoint: EndpointId): void {
    this.#kept.set(waiting, endpoint);
    this.#all.add(endpoint);
  }

  /** @returns The engines that a request must not use. */
  keptFromOthers(waiting: Waiting): ReadonlySet<EndpointId> {
    const own = this.#kept.get(waiting);
    if (own === undefined) return this.#all;
    return new Set([...this.#all].filter((endpoint) => endpoint !== own));
  }
}

/** The queue of one daemon. */
export class PlacementQueue implements GenerationPlacer, Disposable {
  readonly #clock: Clock;
  readonly #chooser: EndpointChooser;
  #waiting: Waiting[] = [];
  #timer: Disposable | undefined;
  #count = 0;
  #recentWaitMs = 0;

  /**
   * @param clock - Clock of the waits.
   * @param chooser - Knows where there is room.
   */
  constructor(clock: Clock, chooser: EndpointChooser) {
    this.#clock = clock;
    this.#chooser = chooser;
  }

  /** {@inheritDoc GenerationPlacer.length} */
  get length(): number {
    return this.#waiting.length;
  }

  /** {@inheritDoc GenerationPlacer.recentWaitMs} */
  get recentWaitMs(): number {
    return this.#recentWaitMs;
  }

  /** {@inheritDoc GenerationPlacer.add} */
  add(request: PlacementRequest): Disposable {
    const waiting: Waiting = { ...request, number: this.#count++ };
    this.#waiting.push(waiting);
    this.#look();
    return toDisposable(() => this.#remove(waiting));
  }

  /** Forgets all that wait. */
  dispose(): void {
    this.#timer?.dispose();
    this.#waiting = [];
  }

  #look(): void {
    const nowMs = this.#clock.monotonicMs();
    const order = [...this.#waiting].sort((left, right) =>
      compare(left, right, nowMs)
    );
    const reservations = this.#reserve(nowMs);
    for (const waiting of order) {
      if (nowMs > waiting.lastStartMs) {
        this.#remove(waiting);
        waiting.onHopeless("no engine had room in time");
        continue;
      }
      const choice = this.#chooser.chooseWithRoom(
        waiting.need,
        waiting.service,
        reservations.keptFromOthers(waiting),
      );
      switch (choice.kind) {
        case "full":
          // A smaller one behind it may fit and be done soon.
          break;
        case "none":
          this.#remove(waiting);
          waiting.onHopeless("no endpoint is available");
          break;
        case "chosen":
          this.#remove(waiting);
          this.#noteWait(nowMs - waiting.sinceMs);
          waiting.onPlaced(choice.choice);
      }
    }
    if (this.#waiting.length === 0) {
      this.#timer?.dispose();
      this.#timer = undefined;
    } else {
      this.#timer ??= setPeriodic(
        this.#clock,
        LOOK_PERIOD_MS,
        () => this.#look(),
      );
    }
  }

  /** Keeps the emptiest engines for those that have waited longest. */
  #reserve(nowMs: number): Reservations {
    const reservations = new Reservations();
    const byAge = this.#waiting.filter((waiting) =>
      nowMs - waiting.sinceMs >= RESERVE_AFTER_MS && !isLate(waiting, nowMs)
    ).sort((left, right) => left.number - right.number);
    for (const waiting of byAge.slice(0, MAX_RESERVATIONS)) {
      const { need } = waiting;
      const endpoint = this.#chooser.emptiest(need, reservations.all);
      if (endpoint) reservations.add(waiting, endpoint.id);
    }
    return reservations;
  }

  #noteWait(waitMs: number): void {
    this.#recentWaitMs += (waitMs - this.#recentWaitMs) * WAIT_SMOOTHING;
  }

  #remove(waiting: Waiting): void {
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
  }
}

function isLate({ objectiveDueMs }: Waiting, nowMs: number): boolean {
  return nowMs + READING_MS > objectiveDueMs;
}

function compare(left: Waiting, right: Waiting, nowMs: number): number {
  const isLeftLate = isLate(left, nowMs);
  if (isLeftLate !== isLate(right, nowMs)) return isLeftLate ? 1 : -1;
  return left.priority - right.priority || left.number - right.number;
}
