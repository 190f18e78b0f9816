/**
 * Chooses the endpoint for a request and the endpoint that keeps the backup of
 * a generation, by the usage and the health of all candidates.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type {
  EndpointId,
  HostId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import type { RandomSource } from "../../../dispatch/common/group_dispatcher.ts";
import {
  type EligibilityCriteria,
  EndpointEligibility,
} from "../endpoints/endpoint_eligibility.ts";
import type { ColdEndpoints } from "../endpoints/cold_endpoints.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import type { GatewayService } from "../configuration/gateway_configuration.ts";
import { EndpointPaces } from "../load/endpoint_pace.ts";
import { interferenceCost } from "./prefill_interference.ts";
import type { EndpointUsage, LoadTable } from "../load/load_table.ts";
import {
  callCompletionCost,
  chooseNearlyCheapest,
  DEFAULT_CHOOSER_SETTINGS,
  type EndpointChooserSettings,
  NEAR_CALL_COST,
  NEAR_GENERATION_COST,
} from "./paced_choice.ts";

/**
 * Cost of an endpoint in another zone for a call, as a share of an endpoint's
 * slots: an endpoint in the same zone with a third more of its slots in use
 * still responds sooner.
 */
const CALL_CROSS_ZONE_COST = 0.34;
/**
 * Cost of an endpoint in another zone for a generation. The round trip matters
 * little, but a network partition between zones interrupts the stream, and
 * copies between zones take twice as long.
 */
const GENERATION_CROSS_ZONE_COST = 0.2;
/**
 * Pending prefill tokens that cost as much as full memory; about one second of
 * prefill.
 */
const FULL_COST_PREFILL_TOKENS = 14_000;
/**
 * Pending prefill tokens above which an endpoint counts as full; half an
 * objective of prefill.
 */
const MAX_PENDING_PREFILL_TOKENS = 12_000;
/** Cost of a full batch: each run slows down the tokens of the others. */
const BATCH_WEIGHT = 0.5;
/**
 * Cost per share of memory that would be overcommitted; preemption is
 * expensive.
 */
const MEMORY_OVERCOMMIT_WEIGHT = 6;
/**
 * Weight of backups relative to runs: they occupy memory but no batch steps.
 */
const BACKUP_MEMORY_WEIGHT = 0.7;
/** Cost of an ejected endpoint, which is used only when all are ejected. */
const EJECTED_COST = 100;
/**
 * Cost of an endpoint that has just started: it is several times slower than a
 * busy one.
 */
const COLD_COST = 1;
/**
 * Share of its slots that a cold engine is given; it also gets only one prompt
 * at a time.
 */
const COLD_SLOT_SHARE = 0.25;
/**
 * Random cost added to break ties, so that daemons do not all choose the same
 * endpoint.
 */
const TIE_BREAK_JITTER = 0.02;
/**
 * Free memory that an endpoint must have left after it accepts a backup, as a
 * multiple of the backup's size. A backup cannot be preempted: on a full fleet,
 * new prompts would wait for the generations that are backed up there, which
 * costs callers more than a rare crash.
 */
const BACKUP_HEADROOM = 2;

/** Requirements of a request for an endpoint. */
export interface EndpointCriteria extends EligibilityCriteria {
  /** Memory that the request will use, in tokens; 0 for a call. */
  readonly memoryTokens: number;
  /** Output that is expected of a generation, in tokens; unknown if absent. */
  readonly outputTokens?: number | undefined;
  /** Longest gap between events that callers accept; unknown if absent. */
  readonly gapObjectiveMs?: number | undefined;
}

/** A chosen endpoint, with the values that decided the choice for the log. */
export interface EndpointChoice {
  readonly endpoint: RegisteredEndpoint;
  readonly cost: number;
  readonly candidates: number;
  /** Details of a placement that another daemon granted. */
  readonly grant?: {
    readonly placer: HostId;
    /** Endpoint that may keep the backup of the generation. */
    readonly backup: RegisteredEndpoint | undefined;
  };
}

/** Result of choosing an endpoint with free capacity. */
export type CapacityResult =
  | { readonly kind: "chosen"; readonly choice: EndpointChoice }
  /** Nothing may be sent to any endpoint for a time. */
  | { readonly kind: "held"; readonly forMs: number }
  /** Endpoints exist, but all are full or reserved. */
  | {
    readonly kind: "full";
    /**
     * Whether none has capacity even without what is reserved for others.
     * Endpoints that are silent for a moment do not count as short of capacity.
     */
    readonly isShort: boolean;
  }
  /** No endpoint exists. */
  | { readonly kind: "none" };

/** Further sources for the choice of endpoints. */
export interface EndpointChooserOptions {
  /**
   * Decides which endpoints may serve a request; by default without rules of the
   * operator.
   */
  readonly eligibility?: EndpointEligibility | undefined;
  /** Loads and speeds of the endpoints; none are known by default. */
  readonly paces?: EndpointPaces | undefined;
  /** @returns The current settings. */
  readonly settings?: (() => EndpointChooserSettings) | undefined;
  /** Cold endpoints of services that limit their rate. */
  readonly cold?: Pick<ColdEndpoints, "isCold"> | undefined;
}

/** Capacity that a generation must leave to others. */
export interface CapacityReservations {
  /** Endpoints that are reserved for other generations. */
  readonly endpoints: ReadonlySet<EndpointId>;
  /** Memory to leave free on each endpoint, in tokens. */
  readonly memoryTokens: number;
}

const NO_RESERVATIONS: CapacityReservations = {
  endpoints: new Set(),
  memoryTokens: 0,
};

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  readonly usage: EndpointUsage;
}

/** Chooses endpoints by usage, health and zone. */
export class EndpointChooser {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #loadTable: LoadTable;
  readonly #random: RandomSource;
  readonly #zone: ZoneName;
  readonly #eligibility: EndpointEligibility;
  readonly #paces: EndpointPaces;
  readonly #settings: () => EndpointChooserSettings;
  readonly #cold: Pick<ColdEndpoints, "isCold"> | undefined;

  /**
   * @param clock - Clock for ejections and cold starts.
   * @param registry - The registered endpoints.
   * @param loadTable - Usage of the endpoints by all daemons.
   * @param random - Breaks ties.
   * @param zone - Availability zone of this daemon.
   * @param options - Further sources for the choice.
   */
  constructor(
    clock: Clock,
    registry: EndpointRegistry,
    loadTable: LoadTable,
    random: RandomSource,
    zone: ZoneName,
    options: EndpointChooserOptions = {},
  ) {
    this.#clock = clock;
    this.#registry = registry;
    this.#loadTable = loadTable;
    this.#random = random;
    this.#zone = zone;
    this.#eligibility = options.eligibility ??
      new EndpointEligibility(clock, registry);
    this.#paces = options.paces ?? new EndpointPaces(clock, loadTable);
    this.#settings = options.settings ?? (() => DEFAULT_CHOOSER_SETTINGS);
    this.#cold = options.cold;
  }

  /**
   * Chooses an endpoint regardless of free capacity.
   *
   * @param criteria - Requirements of the request.
   * @param service - The service of the request.
   * @returns The endpoint with the lowest cost, if there is one.
   */
  choose(
    criteria: EndpointCriteria,
    service: GatewayService,
  ): EndpointChoice | undefined {
    return this.#lowestCost(this.#candidates(criteria), criteria, service);
  }

  /**
   * Chooses an endpoint with enough free capacity for a generation.
   *
   * @param criteria - Requirements of the generation.
   * @param service - Its service.
   * @param reserved - Capacity that is reserved for other generations.
   * @returns The endpoint with the lowest cost at which nothing is preempted.
   */
  chooseWithCapacity(
    criteria: EndpointCriteria,
    service: GatewayService,
    reserved: CapacityReservations = NO_RESERVATIONS,
  ): CapacityResult {
    const candidates = this.#candidates(criteria);
    const nowMs = this.#clock.monotonicMs();
    if (candidates.length === 0) {
      const withheldUntilMs = this.#eligibility.withheldUntilMs(criteria);
      if (withheldUntilMs !== undefined) {
        return { kind: "held", forMs: withheldUntilMs - nowMs };
      }
      const reach = this.#registry.reachOf(
        criteria.service,
        (endpoint) => this.#isAllowed(endpoint, criteria),
      );
      return reach === "silent"
        ? { kind: "full", isShort: false }
        : { kind: "none" };
    }
    const withCapacity = candidates.filter((candidate) =>
      this.#hasCapacity(candidate, criteria, service, 0) &&
      !candidate.endpoint.health.isEjected(nowMs)
    );
    const unreserved = withCapacity.filter((candidate) =>
      !reserved.endpoints.has(candidate.endpoint.id) &&
      (reserved.memoryTokens === 0 ||
        this.#hasCapacity(candidate, criteria, service, reserved.memoryTokens))
    );
    const choice = this.#lowestCost(unreserved, criteria, service);
    if (choice) return { kind: "chosen", choice };
    return { kind: "full", isShort: withCapacity.length === 0 };
  }

  /**
   * Finds the endpoint to reserve for a generation.
   *
   * @param criteria - Requirements of the generation.
   * @param reserved - Endpoints that are reserved for other generations.
   * @returns The endpoint with the least memory in use.
   */
  leastUsed(
    criteria: EndpointCriteria,
    reserved: ReadonlySet<EndpointId> = NO_RESERVATIONS.endpoints,
  ): RegisteredEndpoint | undefined {
    const nowMs = this.#clock.monotonicMs();
    let best: RegisteredEndpoint | undefined;
    let leastUsedTokens = Infinity;
    for (const { endpoint, usage } of this.#candidates(criteria)) {
      if (endpoint.health.isEjected(nowMs) || this.#isCold(endpoint)) continue;
      if (reserved.has(endpoint.id)) continue;
      const usedTokens = usage.memoryTokens + usage.backupTokens;
      if (usedTokens >= leastUsedTokens) continue;
      best = endpoint;
      leastUsedTokens = usedTokens;
    }
    return best;
  }

  #candidates(criteria: EndpointCriteria): readonly Candidate[] {
    return this.#eligibility.eligible(criteria).map((endpoint) => ({
      endpoint,
      usage: this.#loadTable.totalUsage(endpoint.id),
    }));
  }

  /** @returns Whether the rules of the operator allow an endpoint. */
  #isAllowed(
    endpoint: RegisteredEndpoint,
    { regions }: EndpointCriteria,
  ): boolean {
    return this.#eligibility.checkRules(endpoint, regions) === undefined;
  }

  #isCold(endpoint: RegisteredEndpoint): boolean {
    const isCold = this.#cold?.isCold(endpoint);
    if (isCold !== undefined) return isCold;
    const { announcement, firstSeenMs } = endpoint;
    const ageMs = this.#clock.monotonicMs() - firstSeenMs;
    return ageMs < announcement.warmUpRemainingMs;
  }

  #hasCapacity(
    { endpoint, usage }: Candidate,
    criteria: EndpointCriteria,
    { engine }: GatewayService,
    reservedTokens: number,
  ): boolean {
    const { announcement } = endpoint;
    if (!engine || usage.runs === 0) return true;
    if (this.#isCold(endpoint)) {
      const maxRuns = announcement.slots * COLD_SLOT_SHARE;
      if (usage.pendingPrefillTokens > 0 || usage.runs >= maxRuns) return false;
    }
    const usedTokens = usage.memoryTokens + usage.backupTokens;
    return usage.runs < announcement.slots &&
      usage.pendingPrefillTokens <= MAX_PENDING_PREFILL_TOKENS &&
      usedTokens + criteria.memoryTokens + reservedTokens <=
        engine.memoryTokens;
  }

  #lowestCost(
    candidates: readonly Candidate[],
    criteria: EndpointCriteria,
    service: GatewayService,
  ): EndpointChoice | undefined {
    const costs = candidates.map((candidate) =>
      this.#costOf(candidate, criteria, service)
    );
    let index = -1;
    let bestCost = Infinity;
    for (const [candidate, cost] of costs.entries()) {
      if (cost >= bestCost) continue;
      index = candidate;
      bestCost = cost;
    }
    if (index < 0) return undefined;
    const isPaced = candidates.some(({ endpoint }) =>
      this.#paces.reportsPace(endpoint) ||
      (service.engine && this.#paces.relativeTime(endpoint) !== 1)
    );
    if (isPaced) {
      const nearCost = service.engine ? NEAR_GENERATION_COST : NEAR_CALL_COST;
      index = chooseNearlyCheapest(costs, nearCost, this.#random);
    }
    const { endpoint } = candidates[index]!;
    return { endpoint, cost: costs[index]!, candidates: candidates.length };
  }

  /**
   * Chooses the endpoint that keeps the backup of a generation.
   *
   * @param criteria - Requirements of the generation.
   * @param service - Its service.
   * @param primary - Endpoint that runs the generation.
   * @returns An endpoint on which the backup does not displace running work.
   */
  chooseBackup(
    criteria: EndpointCriteria,
    service: GatewayService,
    primary: RegisteredEndpoint,
  ): RegisteredEndpoint | undefined {
    const { engine } = service;
    if (!engine?.canBackUp) return undefined;
    const nowMs = this.#clock.monotonicMs();
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const endpoint of this.#registry.usable(criteria.service)) {
      if (endpoint === primary || endpoint.health.isEjected(nowMs)) continue;
      if (endpoint.softwareVersion !== primary.softwareVersion) continue;
      if (!criteria.ignoresHolds && endpoint.isWithheld(nowMs)) continue;
      if (!this.#isAllowed(endpoint, criteria)) continue;
      const usage = this.#loadTable.totalUsage(endpoint.id);
      const usedTokens = usage.memoryTokens + usage.backupTokens +
        criteria.memoryTokens;
      const { zone } = endpoint.announcement;
      // Copies within a zone are faster, and a backup in this daemon's zone
      // stays reachable when the zone is partitioned.
      const isNear = zone === primary.announcement.zone || zone === this.#zone;
      const freeTokens = engine.memoryTokens - usedTokens;
      if (freeTokens < criteria.memoryTokens * BACKUP_HEADROOM) continue;
      const cost = usedTokens / engine.memoryTokens +
        (isNear ? 0 : GENERATION_CROSS_ZONE_COST);
      if (cost >= bestCost) continue;
      best = endpoint;
      bestCost = cost;
    }
    return best;
  }

  #costOf(
    { endpoint, usage }: Candidate,
    criteria: EndpointCriteria,
    service: GatewayService,
  ): number {
    const nowMs = this.#clock.monotonicMs();
    const { announcement, health } = endpoint;
    const isLocal = announcement.zone === this.#zone;
    let cost = this.#random.float() * TIE_BREAK_JITTER;
    if (health.isEjected(nowMs)) cost += EJECTED_COST;
    if (this.#isCold(endpoint)) cost += COLD_COST;
    const batchFill = (usage.runs + 1) / announcement.slots;
    const { engine } = service;
    if (!engine && this.#paces.reportsPace(endpoint)) {
      const settings = this.#settings();
      return cost +
        callCompletionCost(this.#paces, endpoint, isLocal, settings);
    }
    if (!engine) return cost + batchFill + (isLocal ? 0 : CALL_CROSS_ZONE_COST);
    // A slow endpoint costs as much with less work, so that each gets work in
    // proportion to its speed.
    const relativeTime = this.#paces.relativeTime(endpoint);
    const usedTokens = usage.memoryTokens +
      usage.backupTokens * BACKUP_MEMORY_WEIGHT +
      criteria.memoryTokens;
    const memoryFill = usedTokens / engine.memoryTokens;
    cost += (memoryFill + batchFill * BATCH_WEIGHT) * relativeTime;
    cost += Math.max(0, memoryFill - 1) * MEMORY_OVERCOMMIT_WEIGHT;
    cost += usage.pendingPrefillTokens / FULL_COST_PREFILL_TOKENS *
      relativeTime;
    cost += interferenceCost({
      expectedGapMs: this.#paces.expectedGapMs(endpoint, usage.runs),
      gapObjectiveMs: criteria.gapObjectiveMs ?? 0,
      runs: usage.runs,
      outputTokens: criteria.outputTokens ?? 0,
    });
    return cost + (isLocal ? 0 : GENERATION_CROSS_ZONE_COST);
  }
}
