/**
 * Finds the endpoint for one generation: waits until one has capacity, and
 * takes the right to send to it where it names a limit.
 */

import type { Disposable } from "../../../../base/common/lifecycle.ts";
import type {
  EndpointChoice,
  EndpointCriteria,
} from "../placement/endpoint_chooser.ts";
import type {
  PlacementDetails,
  RejectionDetails,
} from "../placement/placement_queue.ts";
import {
  CUT_OFF_REASON,
  type RequestContext,
} from "../requests/request_context.ts";

/**
 * Share of the remaining time that a generation may wait for a placement. A
 * caller that is refused early can try elsewhere.
 */
const MAX_WAIT_SHARE = 0.25;
/**
 * Maximum wait for a placement as a multiple of the route's objective. On a
 * full fleet, generations that waited longer are rarely placed.
 */
const MAX_WAIT_OBJECTIVES = 2;

/** Receives the result of a placement. */
export interface GenerationPlacementListener {
  /** The endpoint is to be used now. */
  onPlaced(choice: EndpointChoice): void;
  /**
   * No endpoint will have capacity in time.
   *
   * @param reason - Reason for the log and the caller.
   * @param retryAfterMs - Time after which the caller may return, in
   * milliseconds, if the placer has said so.
   */
  onRejected(reason: string, retryAfterMs?: number): void;
}

/**
 * @param context - State of the request.
 * @param memoryTokens - Memory that the generation will use, in tokens.
 * @returns What the endpoints of a generation must have at any time.
 */
export function createCriteria(
  context: RequestContext,
  memoryTokens: number,
): EndpointCriteria {
  const { fields, route } = context.request;
  const promptTokens = fields.prompt?.promptTokens ?? 0;
  const { criteria } = context.eligibility;
  return {
    service: criteria.service,
    memoryTokens,
    outputTokens: Math.max(0, memoryTokens - promptTokens),
    gapObjectiveMs: route.eventGapObjectiveMs,
    excluded: criteria.excluded,
    get softwareVersion() {
      return criteria.softwareVersion;
    },
    get regions() {
      return criteria.regions;
    },
  };
}

/** One search for an endpoint. */
interface Search {
  readonly startedMs: number;
  /** Monotonic time after which a start is no longer worthwhile. */
  readonly latestStartMs: number;
}

/** Placement of one generation. */
export class GenerationPlacement {
  readonly #context: RequestContext;
  readonly #criteria: EndpointCriteria;
  readonly #listener: GenerationPlacementListener;
  /** Only one search is current: with two, both would take up capacity. */
  #search: Search | undefined;
  #queued: Disposable | undefined;

  /**
   * @param context - State of the request.
   * @param criteria - The generation's requirements.
   * @param listener - Receives the result of each search.
   */
  constructor(
    context: RequestContext,
    criteria: EndpointCriteria,
    listener: GenerationPlacementListener,
  ) {
    this.#context = context;
    this.#criteria = criteria;
    this.#listener = listener;
  }

  /** Starts a search, in place of an earlier one. */
  start(): void {
    const { request, services } = this.#context;
    const refusal = this.#context.isCutOff
      ? CUT_OFF_REASON
      : this.#context.eligibility.blockedReason;
    if (refusal !== undefined) {
      this.#search = undefined;
      this.#listener.onRejected(refusal);
      return;
    }
    const { deadlineMs, route } = request;
    const startedMs = services.clock.monotonicMs();
    const maxWaitMs = Math.min(
      (deadlineMs - startedMs) * MAX_WAIT_SHARE,
      route.objectiveMs * MAX_WAIT_OBJECTIVES,
    );
    this.#search = { startedMs, latestStartMs: startedMs + maxWaitMs };
    this.#continue(this.#search);
  }

  /** Ends a search whose result is no longer required. */
  cancel(): void {
    this.#search = undefined;
    this.#queued?.dispose();
  }

  #continue(search: Search): void {
    this.#queued?.dispose();
    const limited = this.#context.rights.nextLimitedEndpoint();
    if (limited) {
      const { clock } = this.#context.services;
      const choice = { endpoint: limited, cost: 0, candidates: 1 };
      const leftMs = search.latestStartMs - clock.monotonicMs();
      this.#context.guard.follow(this.#takeRight(search, choice, leftMs));
    } else this.#queue(search);
  }

  #queue(search: Search): void {
    const { canResume, disposables, priority, request, services } =
      this.#context;
    const { clock, placer } = services;
    const { exchange, fields, route, service } = request;
    this.#queued = disposables.add(placer.add({
      criteria: this.#criteria,
      wantsBackup: !canResume,
      pendingPrefillTokens: fields.prompt?.promptTokens ?? 0,
      service,
      priority,
      queuedMs: clock.monotonicMs(),
      firstEventDueMs: exchange.receivedMs + route.objectiveMs,
      latestStartMs: search.latestStartMs,
      onPlaced: (choice, details) =>
        this.#context.guard.attempt(() =>
          this.#onPlaced(search, choice, details)
        ),
      onRejected: (reason, details) =>
        this.#context.guard.attempt(() => {
          const blocked = this.#context.eligibility.blockedReason;
          this.#reject(search, blocked ?? reason, details);
        }),
    }));
  }

  #onPlaced(
    search: Search,
    choice: EndpointChoice,
    details: PlacementDetails,
  ): void {
    const { endpoint } = choice;
    const { eligibility, rights, services } = this.#context;
    // Another daemon that chose it does not know of holds of this one.
    if (endpoint.isWithheld(services.clock.monotonicMs())) {
      this.#continue(search);
    } else if (!eligibility.isAllowed(endpoint)) {
      // The rules have changed since it was requested.
      this.#continue(search);
    } else if (rights.isNeeded(endpoint)) {
      this.#context.guard.follow(this.#takeRight(search, choice, 0, details));
    } else this.#complete(search, choice, details);
  }

  async #takeRight(
    search: Search,
    choice: EndpointChoice,
    maxWaitMs: number,
    details: PlacementDetails = {},
  ): Promise<void> {
    const { eligibility, rights } = this.#context;
    const { endpoint } = choice;
    const isOnlyOne = rights.nextLimitedEndpoint() === endpoint;
    const isGranted = await rights.take(endpoint, rights.patienceMs(maxWaitMs));
    if (search !== this.#search || this.#context.hasEnded) return;
    const mayUse = isGranted && eligibility.mayStillUse(endpoint);
    if (mayUse) this.#complete(search, choice, details);
    else if (isGranted || !isOnlyOne) this.#continue(search);
    else this.#reject(search, "the limits of all endpoints are used up", {});
  }

  #complete(
    search: Search,
    choice: EndpointChoice,
    details: PlacementDetails,
  ): void {
    if (search !== this.#search) return;
    this.#search = undefined;
    const { services } = this.#context;
    this.#context.log("info", "stream-placed", {
      endpoint: choice.endpoint.id,
      placer: choice.grant?.placer,
      cost: Number(choice.cost.toFixed(2)),
      speed: Number(
        (1 / services.paces.relativeTime(choice.endpoint)).toFixed(2),
      ),
      candidates: choice.candidates,
      memoryTokens: this.#criteria.memoryTokens,
      waitedMs: Math.round(services.clock.monotonicMs() - search.startedMs),
      waiting: services.placer.length,
      ...detailFields(details),
    });
    this.#listener.onPlaced(choice);
  }

  #reject(search: Search, reason: string, details: RejectionDetails): void {
    if (search !== this.#search) return;
    this.#search = undefined;
    const { clock, metrics } = this.#context.services;
    const { isEarly, retryAfterMs } = details;
    metrics.count("generations_rejected", rejectionKind(isEarly));
    this.#context.log("info", "placement-rejected", {
      reason,
      isEarly,
      priority: this.#context.priority,
      memoryTokens: this.#criteria.memoryTokens,
      waitedMs: Math.round(clock.monotonicMs() - search.startedMs),
      retryAfterMs: roundOptional(retryAfterMs),
      ...detailFields(details),
    });
    this.#listener.onRejected(reason, retryAfterMs);
  }
}

/** @returns The reason of the metric; the placer knows of capacity alone. */
function rejectionKind(isEarly: boolean | undefined): string {
  if (isEarly === undefined) return "other";
  return isEarly ? "early" : "late";
}

/** @returns What the placer knew, for the log. */
function detailFields(
  { expectedWaitMs, reserve }: PlacementDetails,
): Readonly<Record<string, number | undefined>> {
  return {
    expectedWaitMs: roundOptional(expectedWaitMs),
    reserveTokens: roundOptional(reserve?.tokens),
    reserveForPriority: reserve?.forPriority,
  };
}

function roundOptional(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
