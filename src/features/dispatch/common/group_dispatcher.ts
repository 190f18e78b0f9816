/**
 * Deterministic core of the dispatcher of one group. The current time is passed
 * in and decisions are passed to a listener; the dispatcher performs no input
 * or output.
 */

import type { EndpointId } from "../../../base/common/ids.ts";
import type {
  CacheEventPage,
  Endpoint,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";
import type { GrantId, RefusalReason } from "./dispatcher.ts";
import { EndpointState } from "./endpoint_state.ts";
import { FairQueue, type OfferResult, type QueueItem } from "./fair_queue.ts";
import type { GroupPolicy } from "./group_policy.ts";
import type {
  GrantInUse,
  GrantRelease,
  GroupDispatchListener,
  GroupRequest,
} from "./group_requests.ts";
import type { LengthModel } from "./length_model.ts";
import {
  createEmptyProfile,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";
import { EndpointSelector, type Placement } from "./endpoint_selector.ts";
import { MAX_GROUP_ENDPOINTS, PrefixIndex } from "./prefix_index.ts";
import { WaitEstimator } from "./wait_estimator.ts";
import { WorkspaceLimits } from "./workspace_limits.ts";

/** Minimum retry hint, also used while no drain rate has been measured. */
const MIN_RETRY_MS = 2_000;
const MAX_RETRY_MS = 120_000;
/**
 * Retry hints are randomized by up to this fraction in both directions, so that
 * refused callers do not return at the same time.
 */
const RETRY_JITTER = 0.25;
/**
 * Maximum fraction of a group's endpoints that may be ejected at the same time.
 */
const MAX_EJECTED_SHARE = 0.5;
/**
 * Fraction of each endpoint that is used during a takeover, until all grants in
 * use have been reported.
 */
const TAKEOVER_SHARE = 0.5;

const NO_ENDPOINT_DETAIL = "no endpoint of the group is available";

/** Source of randomness for retry hints. */
export interface RandomSource {
  /** @returns A number in `[0, 1)`. */
  float(): number;
}

/** Dependencies and configuration of a {@link GroupDispatcher}. */
export interface GroupDispatcherOptions {
  readonly policy: GroupPolicy;
  readonly lengths: LengthModel;
  readonly random: RandomSource;
  readonly listener: GroupDispatchListener;
  readonly nowMs: number;
}

/** Queued request and its forecast. */
interface Queued extends QueueItem {
  readonly request: GroupRequest;
  readonly forecast: MemoryForecast;
  readonly expectedTokens: number;
  /** Memory profile computed when the request arrived. */
  readonly profile: MemoryProfile;
  /** Capacity version at which the request was last found not to fit. */
  rejectedAtVersion: number;
}

/** Request whose grant is in use. */
interface Running {
  readonly request: GroupRequest;
  readonly state: EndpointState;
  readonly chargedTokens: number;
  /** Output length in tokens that has been passed to the length model. */
  countedTokens: number;
}

/** Admits, queues and places the requests of one group. */
export class GroupDispatcher {
  readonly #options: GroupDispatcherOptions;
  readonly #index = new PrefixIndex();
  readonly #selector: EndpointSelector;
  readonly #queue = new FairQueue<Queued>();
  readonly #limits = new WorkspaceLimits();
  readonly #waits = new WaitEstimator(this.#queue);
  readonly #queued = new Map<GrantId, Queued>();
  readonly #running = new Map<GrantId, Running>();
  #states: EndpointState[] = [];
  /** Incremented whenever an endpoint may have gained free capacity. */
  #capacityVersion = 0;
  /**
   * Endpoints that may have gained capacity at the last increment of the
   * capacity version.
   */
  #freedStates: readonly EndpointState[] = [];
  #share = 1;
  #takeoverUntilMs = -Infinity;

  /** @param options - Dependencies and configuration of the dispatcher. */
  constructor(options: GroupDispatcherOptions) {
    this.#options = options;
    this.#selector = new EndpointSelector(options.policy, this.#index);
  }

  /** Number of queued requests. */
  get queuedCount(): number {
    return this.#queue.size;
  }

  /** Number of grants in use. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** State of each endpoint of the group. */
  get states(): readonly EndpointState[] {
    return this.#states;
  }

  /**
   * Replaces the endpoints of the group. An endpoint added to an existing group
   * starts slowly. A removed endpoint keeps its grants until they are released.
   *
   * @param endpoints - At most {@link MAX_GROUP_ENDPOINTS} endpoints.
   * @param nowMs - Current time in milliseconds.
   */
  setEndpoints(
    endpoints: readonly (Endpoint & { readonly isLeaving: boolean })[],
    nowMs: number,
  ): void {
    const existingStates = new Map(
      this.#states.map((state) => [state.endpoint.id, state]),
    );
    const indexes = new Set(this.#states.map(({ groupIndex }) => groupIndex));
    const next: EndpointState[] = [];
    const isInitial = this.#states.length === 0;
    for (const endpoint of endpoints.slice(0, MAX_GROUP_ENDPOINTS)) {
      const existing = existingStates.get(endpoint.id);
      const hasSameAddress = existing?.endpoint.address === endpoint.address;
      const state = existing && hasSameAddress
        ? existing
        : this.#createState(endpoint, indexes, isInitial ? -Infinity : nowMs);
      if (!state) continue;
      state.isDraining = endpoint.isLeaving;
      next.push(state);
    }
    for (const state of this.#states) {
      if (!next.includes(state)) this.#index.removeEndpoint(state.groupIndex);
    }
    this.#states = next;
    this.#refuseUnservable();
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /** Sets the fraction of each endpoint that this dispatcher may use. */
  setEndpointShare(share: number, nowMs: number): void {
    this.#share = share;
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /**
   * Submits a request for a grant. The listener receives the decision, either
   * synchronously or later. A request that is already queued or running is
   * ignored.
   *
   * @param request - Request to queue.
   * @param nowMs - Current time in milliseconds.
   */
  submit(request: GroupRequest, nowMs: number): void {
    if (this.#queued.has(request.id) || this.#running.has(request.id)) return;
    const forecast = this.#options.lengths.forecast(request);
    const { expectedTokens } = forecast;
    const profile = createEmptyProfile();
    forecast.fillProfile(request.promptTokens, 0, profile);
    const queued: Queued = {
      request,
      forecast,
      expectedTokens,
      profile,
      rejectedAtVersion: -Infinity,
      workspace: request.workspace,
      className: request.className,
      priority: request.priority,
      starvationMs: request.starvationMs,
      share: request.share,
      enqueuedMs: nowMs,
      deadlineMs: nowMs + request.patienceMs,
      workTokens: request.promptTokens + expectedTokens,
      sizeBytes: request.sizeBytes,
    };
    if (this.#refuseOnArrival(queued, nowMs)) return;
    this.#waits.advanceClock(queued, nowMs);
    this.#queued.set(request.id, queued);
    this.#queue.push(queued);
    this.#grantQueued(nowMs);
    if (!this.#queued.has(request.id)) return;
    this.#refuseIfWaitTooLong(queued);
  }

  /** Removes a queued request whose caller no longer waits for it. */
  abandon(id: GrantId): void {
    const queued = this.#queued.get(id);
    if (!queued) return;
    this.#queued.delete(id);
    this.#queue.remove(queued, false);
  }

  /** Records the progress of a generation. */
  recordProgress(id: GrantId, generatedTokens: number): void {
    const running = this.#running.get(id);
    if (!running) return;
    const { request, state, countedTokens } = running;
    state.reservations.recordProgress(id, generatedTokens);
    if (generatedTokens <= countedTokens) return;
    running.countedTokens = generatedTokens;
    this.#options.lengths.onProgress(request, countedTokens, generatedTokens);
  }

  /**
   * Releases a grant. If the request is still queued, it is removed from the
   * queue.
   */
  release(release: GrantRelease, nowMs: number): void {
    const { id, end, generatedTokens } = release;
    const running = this.#running.get(id);
    if (!running) {
      this.abandon(id);
      return;
    }
    this.#running.delete(id);
    const { request, state, chargedTokens } = running;
    state.reservations.remove(id);
    this.#onCapacityFreed(this.#states.includes(state) ? [state] : []);
    const usedTokens = end === "not-run"
      ? 0
      : request.promptTokens + generatedTokens;
    const correction = usedTokens - chargedTokens;
    this.#limits.recordEnd(request.workspace, correction, nowMs);
    this.#queue.adjustCharge(request.className, request.workspace, correction);
    this.#recordEnd(running, release, nowMs);
    this.#grantQueued(nowMs);
  }

  /** Applies the load report of an endpoint. */
  onLoadReport(endpoint: EndpointId, report: LoadReport, nowMs: number): void {
    const state = this.#findState(endpoint);
    state?.onLoadReport(report, nowMs);
  }

  /** Records that the load report of an endpoint could not be read. */
  onPollFailed(endpoint: EndpointId, nowMs: number): void {
    const state = this.#findState(endpoint);
    state?.onPollFailed();
    if (state?.onFailure()) this.#eject(state, nowMs);
  }

  /** @returns Sequence number after which cache events are requested. */
  lastCacheSequence(endpoint: EndpointId): number {
    const state = this.#findState(endpoint);
    return state ? this.#index.lastSequence(state.groupIndex) : 0;
  }

  /** Applies the cache events of an endpoint. */
  onCacheEvents(endpoint: EndpointId, page: CacheEventPage): void {
    const state = this.#findState(endpoint);
    if (state) this.#index.applyEvents(state.groupIndex, page);
  }

  /**
   * Starts the takeover of a group that another daemon has dispatched before.
   *
   * @param untilMs - Time in milliseconds at which the reduced share ends,
   * unless all daemons have reported their grants earlier.
   */
  beginTakeover(untilMs: number): void {
    this.#takeoverUntilMs = untilMs;
  }

  /** Ends the takeover after all daemons have reported their grants. */
  endTakeover(nowMs: number): void {
    this.#takeoverUntilMs = -Infinity;
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /** Registers a grant that was issued by the previous dispatcher. */
  adoptGrant(grant: GrantInUse, nowMs: number): void {
    const { request, endpoint, generatedTokens } = grant;
    const state = this.#findState(endpoint);
    if (!state || this.#running.has(request.id)) return;
    this.abandon(request.id);
    const forecast = this.#options.lengths.forecast(request);
    const chargedTokens = request.promptTokens + forecast.expectedTokens;
    this.#running.set(request.id, {
      request,
      state,
      chargedTokens,
      countedTokens: generatedTokens,
    });
    this.#limits.recordStart(request.workspace, chargedTokens, nowMs);
    state.reservations.add(
      request.id,
      forecast,
      request.promptTokens,
      generatedTokens,
    );
  }

  /**
   * Refuses requests whose deadline has passed and grants those that fit now.
   */
  tick(nowMs: number): void {
    for (const expired of this.#queue.removeExpired(nowMs)) {
      this.#queued.delete(expired.request.id);
      this.#refuse(expired, "deadline", "no endpoint had capacity in time");
    }
    this.#refuseUnservable();
    // Progress, load reports and elapsed time may have freed capacity since the
    // last call.
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  #refuseUnservable(): void {
    const hasUnusable = this.#states.some(({ isDraining, isUnreachable }) =>
      isDraining || isUnreachable
    );
    if (!hasUnusable && this.#states.length > 0) return;
    for (const queued of [...this.#queued.values()]) {
      if (this.#hasEligibleEndpoint(queued.request)) continue;
      this.abandon(queued.request.id);
      this.#refuse(queued, "no-endpoint", NO_ENDPOINT_DETAIL);
    }
  }

  #createState(
    endpoint: Endpoint,
    indexes: Set<number>,
    slowStartMs: number,
  ): EndpointState | undefined {
    let index = 0;
    while (indexes.has(index)) index++;
    if (index >= MAX_GROUP_ENDPOINTS) return undefined;
    indexes.add(index);
    const { margin, slotLimit } = this.#options.policy;
    return new EndpointState(endpoint, index, margin, slotLimit, slowStartMs);
  }

  #findState(endpoint: EndpointId): EndpointState | undefined {
    return this.#states.find((state) => state.endpoint.id === endpoint);
  }

  #refuseOnArrival(queued: Queued, nowMs: number): boolean {
    const { maxQueued, maxQueuedBytes } = this.#options.policy;
    const { request } = queued;
    const rateWaitMs = this.#limits.rateWaitMs(
      request.workspace,
      request.limit,
      nowMs,
    );
    if (rateWaitMs > 0) {
      const detail = "the workspace exceeds its token rate limit";
      this.#refuse(queued, "rate-limited", detail, rateWaitMs);
    } else if (
      this.#queue.size >= maxQueued ||
      this.#queue.sizeBytes + queued.sizeBytes > maxQueuedBytes
    ) {
      this.#refuse(queued, "queue-full", "the queue of the group is full");
    } else if (request.patienceMs <= 0) {
      this.#refuse(queued, "deadline", "the deadline has passed");
    } else if (!this.#hasEligibleEndpoint(request)) {
      this.#refuse(queued, "no-endpoint", NO_ENDPOINT_DETAIL);
    } else return false;
    return true;
  }

  #hasEligibleEndpoint(request: GroupRequest): boolean {
    return this.#states.some(({ isDraining, isUnreachable, endpoint }) =>
      !isDraining && !isUnreachable &&
      !request.excludedEndpoints.includes(endpoint.id)
    );
  }

  #refuseIfWaitTooLong(queued: Queued): void {
    const { patienceMs } = queued.request;
    if (!Number.isFinite(patienceMs)) return;
    const waitMs = this.#waits.estimateWaitMs(queued);
    if (waitMs <= patienceMs * this.#options.policy.patienceShare) return;
    this.abandon(queued.request.id);
    const detail = `the wait would be about ${Math.round(waitMs)} ms`;
    this.#refuse(queued, "deadline", detail, waitMs - patienceMs);
  }

  #refuse(
    queued: Queued,
    reason: RefusalReason,
    detail: string,
    afterMs = this.#waits.estimateWaitMs(queued),
  ): void {
    const jitter = 1 + RETRY_JITTER * (2 * this.#options.random.float() - 1);
    const hintMs = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, afterMs));
    this.#options.listener.onRefused(queued.request.id, {
      reason,
      detail,
      retryAfterMs: Math.round(hintMs * jitter),
    });
  }

  #grantQueued(nowMs: number): void {
    if (this.#queue.size === 0) return;
    const { lookAhead } = this.#options.policy;
    const share = this.#currentShare(nowMs);
    let placement: Placement | undefined;
    const offer = (queued: Queued): OfferResult => {
      const { request, expectedTokens, profile } = queued;
      if (!this.#limits.canRun(request.workspace, request.limit)) return "skip";
      if (queued.rejectedAtVersion === this.#capacityVersion) return "wait";
      // A request that did not fit one version ago only needs to check the
      // endpoints that have gained capacity since.
      const isRecheck = queued.rejectedAtVersion === this.#capacityVersion - 1;
      const states = isRecheck ? this.#freedStates : this.#states;
      const result = this.#selector.select(
        request,
        expectedTokens,
        profile,
        states,
        share,
        this.#queue.shareOfHigherClasses(request.priority),
        nowMs,
      );
      if (result === "no-capacity" || (isRecheck && result === "no-endpoint")) {
        queued.rejectedAtVersion = this.#capacityVersion;
        return "wait";
      }
      if (result === "no-endpoint") return "skip";
      this.#waits.advanceClock(queued, nowMs);
      placement = result;
      return "taken";
    };
    for (;;) {
      const taken = this.#queue.serveNext(nowMs, lookAhead, offer);
      if (!taken) return;
      this.#grant(taken, placement!, nowMs);
    }
  }

  #onCapacityFreed(states: readonly EndpointState[]): void {
    this.#capacityVersion++;
    this.#freedStates = states;
  }

  #grant(taken: Queued, { state, baseTokens }: Placement, nowMs: number): void {
    const { request, forecast, workTokens } = taken;
    const { listener } = this.#options;
    this.#queued.delete(request.id);
    this.#running.set(request.id, {
      request,
      state,
      chargedTokens: workTokens,
      countedTokens: 0,
    });
    state.reservations.add(request.id, forecast, baseTokens);
    this.#index.addExpected(state.groupIndex, request.blocks);
    this.#limits.recordStart(request.workspace, workTokens, nowMs);
    // A request granted immediately yields no information about the drain rate.
    if (nowMs > taken.enqueuedMs) this.#waits.recordGrant(taken);
    listener.onGranted({
      id: request.id,
      endpoint: state.endpoint,
      waitMs: nowMs - taken.enqueuedMs,
    });
  }

  #recordEnd(
    { request, state, countedTokens }: Running,
    { end, generatedTokens }: GrantRelease,
    nowMs: number,
  ): void {
    if (end === "completed") {
      this.#options.lengths.onEnded(request, generatedTokens, countedTokens);
      state.onSuccess();
    } else if (end !== "cancelled" && state.onFailure()) {
      this.#eject(state, nowMs);
    }
  }

  /**
   * Ejects an endpoint unless too many endpoints of the group are ejected
   * already.
   */
  #eject(state: EndpointState, nowMs: number): void {
    const ejected = this.#states.filter((other) => other.isEjected(nowMs));
    const limit = this.#states.length * MAX_EJECTED_SHARE;
    if (ejected.length + 1 <= limit) {
      state.eject(nowMs);
      this.#index.removeEndpoint(state.groupIndex);
    }
  }

  #currentShare(nowMs: number): number {
    const isReduced = nowMs < this.#takeoverUntilMs;
    return isReduced ? this.#share * TAKEOVER_SHARE : this.#share;
  }
}
