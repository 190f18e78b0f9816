/** Memory that the grants of one endpoint hold and will hold. */

import type { GrantId } from "./dispatcher.ts";
import {
  createEmptyProfile,
  HORIZON_COUNT,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";

/** Progress below this does not change a forecast noticeably. */
const MIN_PROGRESS_TOKENS = 8;
/** Part of its first memory below which a request is left out. */
const MIN_EXPECTED_SHARE = 0.05;

interface Reservation {
  readonly forecast: MemoryForecast;
  readonly baseTokens: number;
  readonly profile: MemoryProfile;
  generatedTokens: number;
}

/** Sums of the profiles of all grants; each sum is a whole number. */
export class MemoryReservations {
  readonly #reservations = new Map<GrantId, Reservation>();
  readonly #totals = createEmptyProfile();
  /** Horizon of the highest memory when it was last computed. */
  #peakHorizon = 0;

  /** Number of grants. */
  get size(): number {
    return this.#reservations.size;
  }

  /** Memory that the grants hold now, in tokens. */
  get heldTokens(): number {
    return this.#totals.meanTokens[0]!;
  }

  /** Sums at each horizon. */
  get totals(): MemoryProfile {
    return this.#totals;
  }

  /**
   * Adds a grant; an id that is known already stays as it is.
   *
   * @param id - The grant.
   * @param forecast - Forecast of its length.
   * @param baseTokens - Memory of its prompt, without what is shared.
   * @param generatedTokens - Tokens generated so far.
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
   * Takes note of progress; late and repeated reports change nothing.
   *
   * @param id - The grant.
   * @param generatedTokens - Tokens generated so far.
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

  /** Removes a grant; an unknown one changes nothing. */
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
   * Highest memory when one more profile is added, over the horizons at which
   * the added request is likely to run still. A later peak is not its doing.
   *
   * @param added - Profile of the request that may be added.
   * @param deviations - Standard deviations that are kept free.
   * @param limitTokens - Peak beyond which its exact value does not matter.
   * @returns The future peak, in tokens; any value beyond the limit.
   */
  peakTokensWith(
    added: MemoryProfile,
    deviations: number,
    limitTokens: number,
  ): number {
    const noticeable = added.meanTokens[0]! * MIN_EXPECTED_SHARE;
    // Most checks fail where the last one failed, so that one comes first.
    let peak = this.#tokensAt(this.#peakHorizon, added, deviations, noticeable);
    if (peak > limitTokens) return peak;
    for (let index = 0; index < HORIZON_COUNT; index++) {
      const held = this.#tokensAt(index, added, deviations, noticeable);
      if (held <= peak) continue;
      peak = held;
      this.#peakHorizon = index;
      if (held > limitTokens) return held;
    }
    return peak;
  }

  #tokensAt(
    index: number,
    added: MemoryProfile,
    deviations: number,
    noticeable: number,
  ): number {
    const addedTokens = added.meanTokens[index]!;
    if (addedTokens < noticeable) return 0;
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
