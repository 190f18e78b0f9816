/**
 * Dispatcher of one group of replicas: the deterministic core. Time is passed
 * in, decisions go to a listener, and nothing is read or sent.
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

const MIN_RETRY_MS = 2_000;
const MAX_RETRY_MS = 120_000;
/** Retry hints are spread over this part of themselves, both ways. */
const RETRY_JITTER = 0.25;
/** Largest part of a group that may be ejected at one time. */
const MAX_EJECTED_SHARE = 0.5;
/** Part of the endpoints that is used before all grants in use are known. */
const TAKEOVER_SHARE = 0.5;

const NO_ENDPOINT_DETAIL = "no endpoint of the group can take the request";

/** Source of randomness for the spread of hints. */
export interface RandomSource {
  /** A number in `[0, 1)`. */
  float(): number;
}

/** What a group's dispatcher works with. */
export interface GroupDispatcherOptions {
  readonly policy: GroupPolicy;
  readonly lengths: LengthModel;
  readonly random: RandomSource;
  readonly listener: GroupDispatchListener;
  readonly nowMs: number;
}

interface Queued extends QueueItem {
  readonly request: GroupRequest;
  readonly forecast: MemoryForecast;
  readonly expectedTokens: number;
  /** Memory as it was forecast when the request came. */
  readonly profile: MemoryProfile;
  /** Value of the room counter when the request last found no room. */
  rejectedAtVersion: number;
}

interface Running {
  readonly request: GroupRequest;
  readonly state: EndpointState;
  readonly chargedTokens: number;
  /** Length of the answer that the model of lengths knows of. */
  countedTokens: number;
}

/** Admits, places and orders the requests of one group. */
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
  /** Grows whenever an endpoint may have gained room. */
  #capacityVersion = 0;
  /** Endpoints that may have gained room when the counter last grew. */
  #freedStates: readonly EndpointState[] = [];
  #share = 1;
  #takeoverUntilMs = -Infinity;

  /** @param options - What the dispatcher works with. */
  constructor(options: GroupDispatcherOptions) {
    this.#options = options;
    this.#selector = new EndpointSelector(options.policy, this.#index);
  }

  /** Number of requests that wait. */
  get queuedCount(): number {
    return this.#queue.size;
  }

  /** Number of grants in use. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Endpoints with what is known of them. */
  get states(): readonly EndpointState[] {
    return this.#states;
  }

  /**
   * Replaces the endpoints. A new one beside known ones starts slowly; one
   * that has gone keeps its grants until they are released.
   *
   * @param endpoints - At most {@link MAX_GROUP_ENDPOINTS}.
   * @param nowMs - The present.
   */
  setEndpoints(
    endpoints: readonly (Endpoint & { readonly isLeaving: boolean })[],
    nowMs: number,
  ): void {
    const known = new Map(
      this.#states.map((state) => [state.endpoint.id, state]),
    );
    const slots = new Set(this.#states.map(({ groupIndex: slot }) => slot));
    const kept: EndpointState[] = [];
    const isFirst = this.#states.length === 0;
    for (const endpoint of endpoints.slice(0, MAX_GROUP_ENDPOINTS)) {
      const same = known.get(endpoint.id);
      const isSame = same?.endpoint.address === endpoint.address;
      const state = same && isSame
        ? same
        : this.#createState(endpoint, slots, isFirst ? -Infinity : nowMs);
      if (!state) continue;
      state.isDraining = endpoint.isLeaving;
      kept.push(state);
    }
    for (const state of this.#states) {
      if (!kept.includes(state)) this.#index.removeEndpoint(state.groupIndex);
    }
    this.#states = kept;
    this.#refuseUnservable();
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /** Sets the part of each endpoint that this dispatcher may use. */
  setEndpointShare(share: number, nowMs: number): void {
    this.#share = share;
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /**
   * Asks for a grant; the answer goes to the listener, at once or later.
   *
   * @param request - The request.
   * @param nowMs - The present.
   */
  submit(request: GroupRequest, nowMs: number): void {
    if (this.#queued.has(request.id) || this.#running.has(request.id)) return;
    const forecast = this.#options.lengths.forecast(request);
    const { expectedTokens } = forecast;
    const profile = createEmptyProfile();
    forecast.fillProfile(request.promptTokens, 0, profile);
    const waiting: Queued = {
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
    if (this.#refuseOnArrival(waiting, nowMs)) return;
    this.#waits.advanceClock(waiting, nowMs);
    this.#queued.set(request.id, waiting);
    this.#queue.push(waiting);
    this.#grantQueued(nowMs);
    if (!this.#queued.has(request.id)) return;
    this.#refuseIfWaitTooLong(waiting);
  }

  /** The one who asked has gone. */
  abandon(id: GrantId): void {
    const waiting = this.#queued.get(id);
    if (!waiting) return;
    this.#queued.delete(id);
    this.#queue.remove(waiting, false);
  }

  /** Takes note of how far a generation has come. */
  recordProgress(id: GrantId, generatedTokens: number): void {
    const running = this.#running.get(id);
    if (!running) return;
    const { request, state, countedTokens } = running;
    state.reservations.recordProgress(id, generatedTokens);
    if (generatedTokens <= countedTokens) return;
    running.countedTokens = generatedTokens;
    this.#options.lengths.onProgress(request, countedTokens, generatedTokens);
  }

  /** Takes a grant back; an unknown one changes nothing. */
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

  /** Takes in the load report of an endpoint. */
  onLoadReport(endpoint: EndpointId, report: LoadReport, nowMs: number): void {
    const state = this.#findState(endpoint);
    state?.onLoadReport(report, nowMs);
  }

  /** An endpoint could not be asked for its load. */
  onPollFailed(endpoint: EndpointId, nowMs: number): void {
    const state = this.#findState(endpoint);
    state?.onPollFailed();
    if (state?.onFailure()) this.#eject(state, nowMs);
  }

  /** @returns Sequence number after which cache events are wanted. */
  lastCacheSequence(endpoint: EndpointId): number {
    const state = this.#findState(endpoint);
    return state ? this.#index.lastSequence(state.groupIndex) : 0;
  }

  /** Takes in the cache events of an endpoint. */
  onCacheEvents(endpoint: EndpointId, page: CacheEventPage): void {
    const state = this.#findState(endpoint);
    if (state) this.#index.applyEvents(state.groupIndex, page);
  }

  /**
   * Starts to dispatch a group that had another dispatcher before.
   *
   * @param untilMs - End of the reduced share, unless all have answered.
   */
  beginTakeover(untilMs: number): void {
    this.#takeoverUntilMs = untilMs;
  }

  /** All holders of grants have told theirs. */
  endTakeover(nowMs: number): void {
    this.#takeoverUntilMs = -Infinity;
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  /** Takes over a grant that another dispatcher gave. */
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

  /** Refuses what has waited too long and grants what fits by now. */
  tick(nowMs: number): void {
    for (const expired of this.#queue.removeExpired(nowMs)) {
      this.#queued.delete(expired.request.id);
      this.#refuse(expired, "deadline", "no endpoint had room in time");
    }
    this.#refuseUnservable();
    // Progress, reports and time itself may have made room since.
    this.#onCapacityFreed(this.#states);
    this.#grantQueued(nowMs);
  }

  #refuseUnservable(): void {
    const isAnyAway = this.#states.some((
      { isDraining: isLeaving, isUnreachable },
    ) => isLeaving || isUnreachable);
    if (!isAnyAway && this.#states.length > 0) return;
    for (const waiting of [...this.#queued.values()]) {
      if (this.#hasEligibleEndpoint(waiting.request)) continue;
      this.abandon(waiting.request.id);
      this.#refuse(waiting, "no-endpoint", NO_ENDPOINT_DETAIL);
    }
  }

  #createState(
    endpoint: Endpoint,
    slots: Set<number>,
    slowStartMs: number,
  ): EndpointState | undefined {
    let slot = 0;
    while (slots.has(slot)) slot++;
    if (slot >= MAX_GROUP_ENDPOINTS) return undefined;
    slots.add(slot);
    const { margin, slotLimit } = this.#options.policy;
    return new EndpointState(endpoint, slot, margin, slotLimit, slowStartMs);
  }

  #findState(endpoint: EndpointId): EndpointState | undefined {
    return this.#states.find((state) => state.endpoint.id === endpoint);
  }

  #refuseOnArrival(waiting: Queued, nowMs: number): boolean {
    const { maxQueued, maxQueuedBytes } = this.#options.policy;
    const { request } = waiting;
    const rateWaitMs = this.#limits.rateWaitMs(
      request.workspace,
      request.limit,
      nowMs,
    );
    if (rateWaitMs > 0) {
      const detail = "the workspace is above its rate of tokens";
      this.#refuse(waiting, "rate-limited", detail, rateWaitMs);
    } else if (
      this.#queue.size >= maxQueued ||
      this.#queue.sizeBytes + waiting.sizeBytes > maxQueuedBytes
    ) {
      this.#refuse(waiting, "queue-full", "too many requests wait");
    } else if (request.patienceMs <= 0) {
      this.#refuse(waiting, "deadline", "the deadline has passed");
    } else if (!this.#hasEligibleEndpoint(request)) {
      this.#refuse(waiting, "no-endpoint", NO_ENDPOINT_DETAIL);
    } else return false;
    return true;
  }

  #hasEligibleEndpoint(request: GroupRequest): boolean {
    return this.#states.some((
      { isDraining: isLeaving, isUnreachable, endpoint },
    ) =>
      !isLeaving && !isUnreachable &&
      !request.excludedEndpoints.includes(endpoint.id)
    );
  }

  #refuseIfWaitTooLong(waiting: Queued): void {
    const { patienceMs } = waiting.request;
    if (!Number.isFinite(patienceMs)) return;
    const waitMs = this.#waits.estimateWaitMs(waiting);
    if (waitMs <= patienceMs * this.#options.policy.patienceShare) return;
    this.abandon(waiting.request.id);
    const detail = `the wait would be about ${Math.round(waitMs)} ms`;
    this.#refuse(waiting, "deadline", detail, waitMs - patienceMs);
  }

  #refuse(
    waiting: Queued,
    reason: RefusalReason,
    detail: string,
    afterMs = this.#waits.estimateWaitMs(waiting),
  ): void {
    const spread = 1 + RETRY_JITTER * (2 * this.#options.random.float() - 1);
    const hintMs = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, afterMs));
    this.#options.listener.onRefused(waiting.request.id, {
      reason,
      detail,
      retryAfterMs: Math.round(hintMs * spread),
    });
  }

  #grantQueued(nowMs: number): void {
    if (this.#queue.size === 0) return;
    const { lookAhead } = this.#options.policy;
    const share = this.#currentShare(nowMs);
    let placed: Placement | undefined;
    const offer = (waiting: Queued): OfferResult => {
      const { request, expectedTokens, profile } = waiting;
      if (!this.#limits.canRun(request.workspace, request.limit)) return "skip";
      if (waiting.rejectedAtVersion === this.#capacityVersion) return "wait";
      // A request that had no room just before needs to try the rest only.
      const isRetry = waiting.rejectedAtVersion === this.#capacityVersion - 1;
      const states = isRetry ? this.#freedStates : this.#states;
      const found = this.#selector.select(
        request,
        expectedTokens,
        profile,
        states,
        share,
        this.#queue.shareOfHigherClasses(request.priority),
        nowMs,
      );
      if (found === "no-room" || (isRetry && found === "no-endpoint")) {
        waiting.rejectedAtVersion = this.#capacityVersion;
        return "wait";
      }
      if (found === "no-endpoint") return "skip";
      this.#waits.advanceClock(waiting, nowMs);
      placed = found;
      return "taken";
    };
    for (;;) {
      const taken = this.#queue.serveNext(nowMs, lookAhead, offer);
      if (!taken) return;
      this.#grant(taken, placed!, nowMs);
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
    // A grant without a wait says nothing of how fast a queue drains.
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

  /** Ejects an endpoint unless too many of the group are ejected already. */
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
