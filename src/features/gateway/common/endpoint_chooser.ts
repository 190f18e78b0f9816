/** Places requests: which endpoint, and where a copy of a generation is kept. */

import type { Clock } from "../../../base/common/clock.ts";
import type {
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { RandomSource } from "../../dispatch/common/group_dispatcher.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";
import type { GatewayService } from "./gateway_configuration.ts";
import type { EndpointUsage, LoadTable } from "./load_table.ts";

/**
 * Cost of another zone for a plain call, in shares of an endpoint's slots: an own
 * endpoint with a third of its slots more in use still answers sooner.
 */
const CALL_CROSS_ZONE_COST = 0.34;
/**
 * Cost of another zone for a generation: a round trip matters little, but a cut
 * ends what crosses it, and copies between zones take twice as long.
 */
const GENERATION_CROSS_ZONE_COST = 0.2;
/** Unread prompt tokens that cost as much as a full memory; about a second of prefill. */
const FULL_COST_PREFILL_TOKENS = 14_000;
/** Unread prompt tokens at which an endpoint is full for now; half an objective of prefill. */
const MAX_PENDING_PREFILL_TOKENS = 12_000;
/** Weight of a full batch: each run slows the tokens of the others. */
const BATCH_WEIGHT = 0.5;
/** Cost of each part of the memory that would be lacking; preemption is dear. */
const MEMORY_OVERCOMMIT_WEIGHT = 6;
/** Weight of copies: they hold memory, but no steps of the batch. */
const BACKUP_MEMORY_WEIGHT = 0.7;
/** Cost of an endpoint that is kept out; used only when all are. */
const EJECTED_COST = 100;
/** Cost of an endpoint that has just started: it is several times slower than a busy one. */
const COLD_COST = 1;
/** Part of its slots that an engine gets while it is cold, and one prompt at a time. */
const COLD_SLOT_SHARE = 0.25;
/** Ties are broken at random, so that daemons do not all choose the same. */
const TIE_BREAK_JITTER = 0.02;
/**
 * Prompts for which an endpoint that keeps copies has room left. A copy cannot
 * yield: on a full fleet new prompts would wait for the generations that are
 * backed up there, which costs callers more than a crash that is rare.
 */
const BACKUP_HEADROOM = 2;

/** What a request needs. */
export interface EndpointCriteria {
  readonly service: ServiceId;
  /** Memory that it will take, in tokens; 0 for a plain call. */
  readonly memoryTokens: number;
  readonly excluded: ReadonlySet<EndpointId>;
}

/** Figures that decided a placement, for the log. */
export interface EndpointChoice {
  readonly endpoint: RegisteredEndpoint;
  readonly cost: number;
  readonly candidates: number;
  /** Another daemon's choice. */
  readonly grant?: {
    readonly placer: HostId;
    /** Where it lets a copy of the generation be kept. */
    readonly backup: RegisteredEndpoint | undefined;
  };
}

/** Where a generation fits now. */
export type CapacityResult =
  | { readonly kind: "chosen"; readonly choice: EndpointChoice }
  /** There are endpoints, and all are full. */
  | { readonly kind: "full" }
  /** There is no endpoint. */
  | { readonly kind: "none" };

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  readonly usage: EndpointUsage;
}

/** Chooses endpoints by what is in use there. */
export class EndpointChooser {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #loadTable: LoadTable;
  readonly #random: RandomSource;
  readonly #zone: ZoneName;

  /**
   * @param clock - Clock of ejections and cold starts.
   * @param registry - The endpoints.
   * @param loadTable - What is in use.
   * @param random - Breaks ties.
   * @param zone - This daemon's availability zone.
   */
  constructor(
    clock: Clock,
    registry: EndpointRegistry,
    loadTable: LoadTable,
    random: RandomSource,
    zone: ZoneName,
  ) {
    this.#clock = clock;
    this.#registry = registry;
    this.#loadTable = loadTable;
    this.#random = random;
    this.#zone = zone;
  }

  /** @returns The cheapest endpoint, if there is one. */
  choose(
    criteria: EndpointCriteria,
    service: GatewayService,
  ): EndpointChoice | undefined {
    return this.#lowestCost(this.#candidates(criteria), criteria, service);
  }

  /**
   * @param criteria - What the generation needs.
   * @param service - Its service.
   * @param reserved - Endpoint that is kept for another one.
   * @returns The cheapest endpoint at which nothing has to yield.
   */
  chooseWithCapacity(
    criteria: EndpointCriteria,
    service: GatewayService,
    reserved?: EndpointId,
  ): CapacityResult {
    const candidates = this.#candidates(criteria);
    if (candidates.length === 0) return { kind: "none" };
    const nowMs = this.#clock.monotonicMs();
    const withCapacity = candidates.filter((candidate) =>
      candidate.endpoint.id !== reserved &&
      this.#hasCapacity(candidate, criteria, service) &&
      !candidate.endpoint.health.isEjected(nowMs)
    );
    const choice = this.#lowestCost(withCapacity, criteria, service);
    return choice ? { kind: "chosen", choice } : { kind: "full" };
  }

  /**
   * @param criteria - What the generation needs.
   * @returns The endpoint with the most memory left.
   */
  leastUsed(criteria: EndpointCriteria): RegisteredEndpoint | undefined {
    const nowMs = this.#clock.monotonicMs();
    let best: RegisteredEndpoint | undefined;
    let leastUsedTokens = Infinity;
    for (const { endpoint, usage: usage } of this.#candidates(criteria)) {
      if (endpoint.health.isEjected(nowMs) || this.#isCold(endpoint)) continue;
      const usedTokens = usage.memoryTokens + usage.backupTokens;
      if (usedTokens >= leastUsedTokens) continue;
      best = endpoint;
      leastUsedTokens = usedTokens;
    }
    return best;
  }

  #candidates(criteria: EndpointCriteria): readonly Candidate[] {
    return this.#registry.usable(criteria.service).filter(({ id }) =>
      !criteria.excluded.has(id)
    ).map((endpoint) => ({
      endpoint,
      usage: this.#loadTable.totalUsage(endpoint.id),
    }));
  }

  #isCold({ announcement, firstSeenMs }: RegisteredEndpoint): boolean {
    const ageMs = this.#clock.monotonicMs() - firstSeenMs;
    return ageMs < announcement.warmUpRemainingMs;
  }

  #hasCapacity(
    { endpoint, usage: usage }: Candidate,
    criteria: EndpointCriteria,
    { engine }: GatewayService,
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
      usedTokens + criteria.memoryTokens <= engine.memoryTokens;
  }

  #lowestCost(
    candidates: readonly Candidate[],
    criteria: EndpointCriteria,
    service: GatewayService,
  ): EndpointChoice | undefined {
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#costOf(candidate, criteria, service);
      if (cost >= bestCost) continue;
      best = candidate.endpoint;
      bestCost = cost;
    }
    if (!best) return undefined;
    return { endpoint: best, cost: bestCost, candidates: candidates.length };
  }

  /**
   * @param criteria - The generation's need.
   * @param service - Its service.
   * @param primary - Where it runs.
   * @returns Where a copy fits without crowding out running work.
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
      const usage = this.#loadTable.totalUsage(endpoint.id);
      const usedTokens = usage.memoryTokens + usage.backupTokens +
        criteria.memoryTokens;
      const { zone } = endpoint.announcement;
      // Copies within a zone are faster; one in our own zone outlives its cut.
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
    { endpoint, usage: usage }: Candidate,
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
    if (!engine) return cost + batchFill + (isLocal ? 0 : CALL_CROSS_ZONE_COST);
    const usedTokens = usage.memoryTokens +
      usage.backupTokens * BACKUP_MEMORY_WEIGHT +
      criteria.memoryTokens;
    const memoryFill = usedTokens / engine.memoryTokens;
    cost += memoryFill + batchFill * BATCH_WEIGHT;
    cost += Math.max(0, memoryFill - 1) * MEMORY_OVERCOMMIT_WEIGHT;
    cost += usage.pendingPrefillTokens / FULL_COST_PREFILL_TOKENS;
    return cost + (isLocal ? 0 : GENERATION_CROSS_ZONE_COST);
  }
}
