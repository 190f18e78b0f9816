/** Tracks the current and forecast memory of all grants on one endpoint. */

import type { GrantId } from "./dispatcher.ts";
import {
  createEmptyProfile,
  HORIZON_COUNT,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";

/**
 * Minimum number of new tokens before a forecast is recomputed; smaller
 * progress has no noticeable effect.
 */
const MIN_PROGRESS_TOKENS = 8;
/**
 * Fraction of a request's initial memory. Horizons at which its expected memory
 * is lower are ignored when the request is admitted.
 */
const MIN_EXPECTED_SHARE = 0.05;

/** Forecast memory of one grant. */
interface Reservation {
  readonly forecast: MemoryForecast;
  readonly baseTokens: number;
  readonly profile: MemoryProfile;
  generatedTokens: number;
}

/**
 * Keeps the totals of the memory profiles of all grants. All values are
 * integers, so the totals are exact.
 */
export class MemoryReservations {
  readonly #reservations = new Map<GrantId, Reservation>();
  readonly #totals = createEmptyProfile();
  /** Horizon at which the last computed peak occurred. */
  #peakHorizon = 0;

  /** Number of grants. */
  get size(): number {
    return this.#reservations.size;
  }

  /** Memory that the grants occupy now, in tokens. */
  get heldTokens(): number {
    return this.#totals.meanTokens[0]!;
  }

  /** Totals of the profiles at each horizon. */
  get totals(): MemoryProfile {
    return this.#totals;
  }

  /**
   * Adds a grant. Has no effect if the grant exists already.
   *
   * @param id - Identifier of the grant.
   * @param forecast - Memory forecast of the request.
   * @param baseTokens - Memory of the prompt in tokens, excluding shared
   * blocks.
   * @param generatedTokens - Number of tokens generated so far.
   */
  add(
    id: GrantId,
    forecast: MemoryForecast,
    baseTokens: number,
    generatedTokens = 0,
  ): void {
    if (this.#reservations.has(id)) return;
    const profile = createEmptyProfile();
    forecast.fillProfile(baseTokens, generatedTokens, profile);
    this.#reservations.set(id, {
      forecast,
      baseTokens,
      profile,
      generatedTokens,
    });
    this.#apply(profile, 1);
  }

  /**
   * Records the progress of a grant. Delayed and repeated reports have no
   * effect.
   *
   * @param id - Identifier of the grant.
   * @param generatedTokens - Number of tokens generated so far.
   */
  recordProgress(id: GrantId, generatedTokens: number): void {
    const entry = this.#reservations.get(id);
    if (!entry) return;
    if (generatedTokens - entry.generatedTokens < MIN_PROGRESS_TOKENS) return;
    this.#apply(entry.profile, -1);
    entry.generatedTokens = generatedTokens;
    entry.forecast.fillProfile(
      entry.baseTokens,
      generatedTokens,
      entry.profile,
    );
    this.#apply(entry.profile, 1);
  }

  /** Removes a grant. Has no effect if the grant does not exist. */
  remove(id: GrantId): void {
    const entry = this.#reservations.get(id);
    if (!entry) return;
    this.#reservations.delete(id);
    this.#apply(entry.profile, -1);
  }

  /** Removes all grants. */
  clear(): void {
    this.#reservations.clear();
    this.#totals.meanTokens.fill(0);
    this.#totals.varianceTokens.fill(0);
  }

  /**
   * Returns the peak memory if a profile is added, over the horizons at which
   * the added request is likely to be still running. The request contributes
   * little to a later peak.
   *
   * @param added - Memory profile of the request.
   * @param deviations - Safety margin in standard deviations.
   * @param limitTokens - Limit above which the exact peak is not needed.
   * @returns Peak memory in tokens; any value above the limit if the peak
   * exceeds it.
   */
  peakTokensWith(
    added: MemoryProfile,
    deviations: number,
    limitTokens: number,
  ): number {
    const minTokens = added.meanTokens[0]! * MIN_EXPECTED_SHARE;
    // Most requests that do not fit fail at the same horizon as the previous
    // one, so that horizon is checked first.
    let peak = this.#tokensAt(this.#peakHorizon, added, deviations, minTokens);
    if (peak > limitTokens) return peak;
    for (let index = 0; index < HORIZON_COUNT; index++) {
      const tokens = this.#tokensAt(index, added, deviations, minTokens);
      if (tokens <= peak) continue;
      peak = tokens;
      this.#peakHorizon = index;
      if (tokens > limitTokens) return tokens;
    }
    return peak;
  }

  #tokensAt(
    index: number,
    added: MemoryProfile,
    deviations: number,
    minTokens: number,
  ): number {
    const addedTokens = added.meanTokens[index]!;
    if (addedTokens < minTokens) return 0;
    const { meanTokens, varianceTokens } = this.#totals;
    const variance = varianceTokens[index]! + added.varianceTokens[index]!;
    return meanTokens[index]! + addedTokens + deviations * Math.sqrt(variance);
  }

  #apply(profile: MemoryProfile, sign: 1 | -1): void {
    for (let index = 0; index < HORIZON_COUNT; index++) {
      this.#totals.meanTokens[index]! += sign * profile.meanTokens[index]!;
      this.#totals.varianceTokens[index]! += sign *
        profile.varianceTokens[index]!;
    }
  }
}
