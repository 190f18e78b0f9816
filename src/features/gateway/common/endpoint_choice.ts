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
import type { EndpointUse, LoadBoard } from "./load_board.ts";

/**
 * Cost of another zone for a plain call, in shares of an endpoint's slots: an own
 * endpoint with a third of its slots more in use still answers sooner.
 */
const CALL_ZONE_COST = 0.34;
/**
 * Cost of another zone for a generation: a round trip matters little, but a cut
 * ends what crosses it, and copies between zones take twice as long.
 */
const GENERATION_ZONE_COST = 0.2;
/** Unread prompt tokens that cost as much as a full memory; about a second of prefill. */
const FULL_BACKLOG_TOKENS = 14_000;
/** Unread prompt tokens at which an endpoint is full for now; half an objective of prefill. */
const MAX_BACKLOG_TOKENS = 12_000;
/** Weight of a full batch: each run slows the tokens of the others. */
const BATCH_WEIGHT = 0.5;
/** Cost of each part of the memory that would be lacking; preemption is dear. */
const OVERFILL_WEIGHT = 6;
/** Weight of copies: they hold memory, but no steps of the batch. */
const COPY_WEIGHT = 0.7;
/** Cost of an endpoint that is kept out; used only when all are. */
const EJECTED_COST = 100;
/** Cost of an endpoint that has just started: it is several times slower than a busy one. */
const COLD_COST = 1;
/** Part of its slots that an engine gets while it is cold, and one prompt at a time. */
const COLD_SLOT_SHARE = 0.25;
/** Ties are broken at random, so that daemons do not all choose the same. */
const TIE_JITTER = 0.02;
/**
 * Prompts for which an endpoint that keeps copies has room left. A copy cannot
 * yield: on a full fleet new prompts would wait for the generations that are
 * backed up there, which costs callers more than a crash that is rare.
 */
const PROMPTS_LEFT_ROOM = 2;

/** What a request needs. */
export interface Need {
  readonly service: ServiceId;
  /** Memory that it will take, in tokens; 0 for a plain call. */
  readonly memoryTokens: number;
  readonly excluded: ReadonlySet<EndpointId>;
}

/** Figures that decided a placement, for the log. */
export interface Choice {
  readonly endpoint: RegisteredEndpoint;
  readonly cost: number;
  readonly candidates: number;
  /** Another daemon's choice. */
  readonly granted?: {
    readonly by: HostId;
    /** Where it lets a copy of the generation be kept. */
    readonly backup: RegisteredEndpoint | undefined;
  };
}

/** Where a generation fits now. */
export type RoomChoice =
  | { readonly kind: "chosen"; readonly choice: Choice }
  /** There are endpoints, and all are full. */
  | { readonly kind: "full" }
  /** There is no endpoint. */
  | { readonly kind: "none" };

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  readonly use: EndpointUse;
}

/** Chooses endpoints by what is in use there. */
export class EndpointChooser {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #board: LoadBoard;
  readonly #random: RandomSource;
  readonly #zone: ZoneName;

  /**
   * @param clock - Clock of ejections and cold starts.
   * @param registry - The endpoints.
   * @param board - What is in use.
   * @param random - Breaks ties.
   * @param zone - This daemon's availability zone.
   */
  constructor(
    clock: Clock,
    registry: EndpointRegistry,
    board: LoadBoard,
    random: RandomSource,
    zone: ZoneName,
  ) {
    this.#clock = clock;
    this.#registry = registry;
    this.#board = board;
    this.#random = random;
    this.#zone = zone;
  }

  /** @returns The cheapest endpoint, if there is one. */
  choose(need: Need, service: GatewayService): Choice | undefined {
    return this.#cheapest(this.#candidates(need), need, service);
  }

  /**
   * @param need - What the generation needs.
   * @param service - Its service.
   * @param reserved - Endpoint that is kept for another one.
   * @returns The cheapest endpoint at which nothing has to yield.
   */
  chooseWithRoom(
    need: Need,
    service: GatewayService,
    reserved?: EndpointId,
  ): RoomChoice {
    const candidates = this.#candidates(need);
    if (candidates.length === 0) return { kind: "none" };
    const nowMs = this.#clock.monotonicMs();
    const roomy = candidates.filter((candidate) =>
      candidate.endpoint.id !== reserved &&
      this.#hasRoom(candidate, need, service) &&
      !candidate.endpoint.health.isEjected(nowMs)
    );
    const choice = this.#cheapest(roomy, need, service);
    return choice ? { kind: "chosen", choice } : { kind: "full" };
  }

  /**
   * @param need - What the generation needs.
   * @returns The endpoint with the most memory left.
   */
  emptiest(need: Need): RegisteredEndpoint | undefined {
    const nowMs = this.#clock.monotonicMs();
    let best: RegisteredEndpoint | undefined;
    let leastTokens = Infinity;
    for (const { endpoint, use } of this.#candidates(need)) {
      if (endpoint.health.isEjected(nowMs) || this.#isCold(endpoint)) continue;
      const takenTokens = use.memoryTokens + use.copyTokens;
      if (takenTokens >= leastTokens) continue;
      best = endpoint;
      leastTokens = takenTokens;
    }
    return best;
  }

  #candidates(need: Need): readonly Candidate[] {
    return this.#registry.usable(need.service).filter(({ id }) =>
      !need.excluded.has(id)
    ).map((endpoint) => ({
      endpoint,
      use: this.#board.totalUse(endpoint.id),
    }));
  }

  #isCold({ announcement, firstSeenMs }: RegisteredEndpoint): boolean {
    const ageMs = this.#clock.monotonicMs() - firstSeenMs;
    return ageMs < announcement.coldLeftMs;
  }

  #hasRoom(
    { endpoint, use }: Candidate,
    need: Need,
    { engine }: GatewayService,
  ): boolean {
    const { announcement } = endpoint;
    if (!engine || use.runs === 0) return true;
    if (this.#isCold(endpoint)) {
      const maxRuns = announcement.slots * COLD_SLOT_SHARE;
      if (use.unreadTokens > 0 || use.runs >= maxRuns) return false;
    }
    const taken = use.memoryTokens + use.copyTokens;
    return use.runs < announcement.slots &&
      use.unreadTokens <= MAX_BACKLOG_TOKENS &&
      taken + need.memoryTokens <= engine.memoryTokens;
  }

  #cheapest(
    candidates: readonly Candidate[],
    need: Need,
    service: GatewayService,
  ): Choice | undefined {
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#cost(candidate, need, service);
      if (cost >= bestCost) continue;
      best = candidate.endpoint;
      bestCost = cost;
    }
    if (!best) return undefined;
    return { endpoint: best, cost: bestCost, candidates: candidates.length };
  }

  /**
   * @param need - The generation's need.
   * @param service - Its service.
   * @param primary - Where it runs.
   * @returns Where a copy fits without crowding out running work.
   */
  chooseBackup(
    need: Need,
    service: GatewayService,
    primary: RegisteredEndpoint,
  ): RegisteredEndpoint | undefined {
    const { engine } = service;
    if (!engine?.canBackUp) return undefined;
    const nowMs = this.#clock.monotonicMs();
    let best: RegisteredEndpoint | undefined;
    let bestFill = Infinity;
    for (const endpoint of this.#registry.usable(need.service)) {
      if (endpoint === primary || endpoint.health.isEjected(nowMs)) continue;
      const use = this.#board.totalUse(endpoint.id);
      const taken = use.memoryTokens + use.copyTokens + need.memoryTokens;
      const { zone } = endpoint.announcement;
      // Copies within a zone are faster; one in our own zone outlives its cut.
      const isNear = zone === primary.announcement.zone || zone === this.#zone;
      const leftTokens = engine.memoryTokens - taken;
      if (leftTokens < need.memoryTokens * PROMPTS_LEFT_ROOM) continue;
      const cost = taken / engine.memoryTokens +
        (isNear ? 0 : GENERATION_ZONE_COST);
      if (cost >= bestFill) continue;
      best = endpoint;
      bestFill = cost;
    }
    return best;
  }

  #cost(
    { endpoint, use }: Candidate,
    need: Need,
    service: GatewayService,
  ): number {
    const nowMs = this.#clock.monotonicMs();
    const { announcement, health } = endpoint;
    const isOwnZone = announcement.zone === this.#zone;
    let cost = this.#random.float() * TIE_JITTER;
    if (health.isEjected(nowMs)) cost += EJECTED_COST;
    if (this.#isCold(endpoint)) cost += COLD_COST;
    const batchFill = (use.runs + 1) / announcement.slots;
    const { engine } = service;
    if (!engine) return cost + batchFill + (isOwnZone ? 0 : CALL_ZONE_COST);
    const takenTokens = use.memoryTokens + use.copyTokens * COPY_WEIGHT +
      need.memoryTokens;
    const fill = takenTokens / engine.memoryTokens;
    cost += fill + batchFill * BATCH_WEIGHT;
    cost += Math.max(0, fill - 1) * OVERFILL_WEIGHT;
    cost += use.unreadTokens / FULL_BACKLOG_TOKENS;
    return cost + (isOwnZone ? 0 : GENERATION_ZONE_COST);
  }
}
