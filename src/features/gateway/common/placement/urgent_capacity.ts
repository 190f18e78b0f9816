/**
 * Decides how much memory of each engine less urgent generations must leave
 * free, so that an urgent generation finds room without waiting for a long one
 * to end. Which priorities arrive is learned from recent requests.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";

const BIN_MS = 1_000;
/** Number of bins: arrivals of the last 10 s count. */
const BIN_COUNT = 10;
/**
 * Bins from which the current rate of arrivals is computed. A burst lasts for a
 * few seconds, so that the average over all bins would follow it too late.
 */
const RATE_BIN_COUNT = 3;
/** Time for which capacity counts as scarce after a request had to wait. */
const SHORTAGE_LIFETIME_MS = 3_000;
/**
 * Share of the average at which a priority is served first. It is above the
 * quarter that each priority must get, as a correction takes some seconds: 0.35
 * left a priority with 0.24.
 */
const STARVED_SHARE = 0.5;
/**
 * A generation whose expected output is below this share of another's may use
 * what is reserved for that: it returns the memory sooner than the other would.
 * Without this exception, short checks are rejected in favor of long drafts.
 */
const SHORT_OUTPUT_SHARE = 0.1;
/** Arrivals from which a priority can count as starved. */
const MIN_ARRIVALS = 4;

/** Memory of each engine that is kept free of less urgent generations. */
export interface UrgentReserve {
  readonly tokens: number;
  /** Priority for which it is kept; 0 is the most urgent. */
  readonly forPriority: number;
}

/** Kind of a request for a placement. */
export interface ArrivingRequest {
  readonly service: ServiceId;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Memory that it is expected to need, in tokens. */
  readonly memoryTokens: number;
}

/** Requests of one priority for one service in the last 10 s. */
class RecentRequests {
  readonly #arrivals = new Float64Array(BIN_COUNT);
  readonly #placements = new Float64Array(BIN_COUNT);
  readonly #promptTokens = new Float64Array(BIN_COUNT);
  readonly #memoryTokens = new Float64Array(BIN_COUNT);
  #bin = 0;

  recordArrival(
    { promptTokens, memoryTokens }: ArrivingRequest,
    nowMs: number,
  ): void {
    const index = this.#advance(nowMs);
    this.#arrivals[index]! += 1;
    this.#promptTokens[index]! += promptTokens;
    this.#memoryTokens[index]! += memoryTokens;
  }

  recordPlacement(nowMs: number): void {
    this.#placements[this.#advance(nowMs)]! += 1;
  }

  totals(nowMs: number): { readonly arrived: number; readonly placed: number } {
    this.#advance(nowMs);
    return { arrived: sum(this.#arrivals), placed: sum(this.#placements) };
  }

  meanPromptTokens(nowMs: number): number {
    const { arrived } = this.totals(nowMs);
    return arrived === 0 ? 0 : sum(this.#promptTokens) / arrived;
  }

  meanOutputTokens(nowMs: number): number {
    const { arrived } = this.totals(nowMs);
    if (arrived === 0) return 0;
    return sum(this.#memoryTokens) / arrived - this.meanPromptTokens(nowMs);
  }

  tokensPerSecond(nowMs: number): number {
    this.#advance(nowMs);
    let tokens = 0;
    for (let age = 0; age < RATE_BIN_COUNT; age++) {
      tokens += this.#memoryTokens[
        (this.#bin - age + BIN_COUNT) % BIN_COUNT
      ]!;
    }
    const observedMs = (RATE_BIN_COUNT - 1) * BIN_MS + nowMs % BIN_MS;
    return tokens / observedMs * 1_000;
  }

  /** Clears the bins that have expired and returns the current one. */
  #advance(nowMs: number): number {
    const bin = Math.floor(nowMs / BIN_MS);
    const first = Math.max(this.#bin + 1, bin - BIN_COUNT + 1);
    for (let expired = first; expired <= bin; expired++) {
      const index = expired % BIN_COUNT;
      this.#arrivals[index] = 0;
      this.#placements[index] = 0;
      this.#promptTokens[index] = 0;
      this.#memoryTokens[index] = 0;
    }
    this.#bin = Math.max(this.#bin, bin);
    return this.#bin % BIN_COUNT;
  }
}

interface ServiceState {
  readonly byPriority: Map<number, RecentRequests>;
  shortageMs: number;
}

/** Learns which priorities arrive at a placer and when capacity was short. */
export class UrgentCapacity {
  readonly #clock: Clock;
  readonly #services = new Map<ServiceId, ServiceState>();

  /** @param clock - Clock for the age of arrivals and shortages. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request has arrived. */
  recordArrival(request: ArrivingRequest): void {
    const { service, priority } = request;
    const state = this.#services.get(service) ??
      { byPriority: new Map<number, RecentRequests>(), shortageMs: -Infinity };
    this.#services.set(service, state);
    const recent = state.byPriority.get(priority) ?? new RecentRequests();
    state.byPriority.set(priority, recent);
    recent.recordArrival(request, this.#clock.monotonicMs());
  }

  /** Records that a request of a priority was placed. */
  recordPlacement(service: ServiceId, priority: number): void {
    const recent = this.#services.get(service)?.byPriority.get(priority);
    recent?.recordPlacement(this.#clock.monotonicMs());
  }

  /** Records that a request found all engines full, apart from any reserve. */
  recordShortage(service: ServiceId): void {
    const state = this.#services.get(service);
    if (state) state.shortageMs = this.#clock.monotonicMs();
  }

  /** @returns Whether a request had to wait within the last seconds. */
  isScarce(service: ServiceId): boolean {
    const shortageMs = this.#services.get(service)?.shortageMs ?? -Infinity;
    return this.#clock.monotonicMs() - shortageMs < SHORTAGE_LIFETIME_MS;
  }

  /**
   * @param service - A service.
   * @returns The memory to keep free on each of its engines for the most urgent
   * of its priorities, or `undefined` while capacity is not scarce or only one
   * priority arrives.
   */
  reserveOf(service: ServiceId): UrgentReserve | undefined {
    const state = this.#services.get(service);
    if (!state || !this.isScarce(service)) return undefined;
    const nowMs = this.#clock.monotonicMs();
    let forPriority = Infinity;
    let arriving = 0;
    for (const [priority, recent] of state.byPriority) {
      if (recent.totals(nowMs).arrived === 0) state.byPriority.delete(priority);
      else {
        arriving++;
        forPriority = Math.min(forPriority, priority);
      }
    }
    const urgent = state.byPriority.get(forPriority);
    if (!urgent || arriving < 2) return undefined;
    return { tokens: urgent.meanPromptTokens(nowMs), forPriority };
  }

  /**
   * @param request - A request for a placement.
   * @returns The reserve that it must leave free, or `undefined` if it may use
   * it: it is urgent itself, or returns the memory soon.
   */
  reserveAgainst(request: ArrivingRequest): UrgentReserve | undefined {
    const { priority, service } = request;
    const reserve = this.reserveOf(service);
    if (!reserve || priority <= reserve.forPriority) return undefined;
    const urgent = this.#services.get(service)?.byPriority.get(
      reserve.forPriority,
    );
    const urgentOutputTokens =
      urgent?.meanOutputTokens(this.#clock.monotonicMs()) ?? 0;
    return isShort(request, urgentOutputTokens) ? undefined : reserve;
  }

  /** Largest reserve in force on any service, in tokens of each engine. */
  get largestReserveTokens(): number {
    let largestTokens = 0;
    for (const service of this.#services.keys()) {
      const tokens = this.reserveOf(service)?.tokens ?? 0;
      largestTokens = Math.max(largestTokens, tokens);
    }
    return largestTokens;
  }

  /**
   * @returns Whether so few requests of a priority were placed in the last 10 s,
   * compared with all of the service, that it has to come first.
   */
  isStarved(service: ServiceId, priority: number): boolean {
    const state = this.#services.get(service);
    if (!state || state.byPriority.size < 2) return false;
    const nowMs = this.#clock.monotonicMs();
    const own = state.byPriority.get(priority)?.totals(nowMs);
    if (!own || own.arrived < MIN_ARRIVALS) return false;
    let arrived = 0;
    let placed = 0;
    for (const recent of state.byPriority.values()) {
      const totals = recent.totals(nowMs);
      arrived += totals.arrived;
      placed += totals.placed;
    }
    return own.placed / own.arrived < STARVED_SHARE * placed / arrived;
  }

  /** @returns Memory that requests of a priority ask for, in tokens per second. */
  arrivingTokensPerSecond(service: ServiceId, priority: number): number {
    const recent = this.#services.get(service)?.byPriority.get(priority);
    return recent?.tokensPerSecond(this.#clock.monotonicMs()) ?? 0;
  }
}

/** @returns Memory for the output that a request is expected to have. */
export function outputTokensOf(
  { memoryTokens, promptTokens }: ArrivingRequest,
): number {
  return memoryTokens - promptTokens;
}

/** @returns Whether a request returns its memory soon, compared with another. */
export function isShort(
  request: ArrivingRequest,
  otherOutputTokens: number,
): boolean {
  return outputTokensOf(request) < otherOutputTokens * SHORT_OUTPUT_SHARE;
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
