/** How long a connection to an endpoint may be silent before it is doubted. */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";

/** Limit for an endpoint whose spacing is not known yet. */
export const INITIAL_STALL_TIMEOUT_MS = 2_000;
/** No limit is shorter. */
export const MIN_STALL_TIMEOUT_MS = 300;
/** No limit is longer. */
export const MAX_STALL_TIMEOUT_MS = 5_000;

const TIMEOUT_PER_LONGEST_GAP = 4;
const MIN_OBSERVED_GAPS = 20;
const LONGEST_GAP_HALF_LIFE_MS = 60_000;
/** Shorter gaps cannot raise a limit above its least value. */
const MAX_IGNORED_GAP_MS = MIN_STALL_TIMEOUT_MS / TIMEOUT_PER_LONGEST_GAP;

interface TokenGapStatistics {
  gapCount: number;
  /** Longest gap, decaying with time. */
  longestGapMs: number;
  updatedMs: number;
}

/**
 * Learns the spacing of each endpoint's tokens as a decaying maximum: a stall
 * raises the limit at once and is forgotten over minutes.
 */
export class StallTimeouts {
  readonly #clock: Clock;
  readonly #statistics = new Map<Address, TokenGapStatistics>();

  /** @param clock - Clock of the decay. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Takes note of the time between two tokens of one connection.
   *
   * @param endpoint - The endpoint.
   * @param gapMs - The time, in milliseconds.
   */
  recordGap(endpoint: Address, gapMs: number): void {
    const spacing = this.#statisticsOf(endpoint);
    spacing.gapCount++;
    if (gapMs <= MAX_IGNORED_GAP_MS) return;
    spacing.longestGapMs = Math.max(gapMs, this.#decayedLongestGapMs(spacing));
    spacing.updatedMs = this.#clock.monotonicMs();
  }

  /**
   * @param endpoint - The endpoint.
   * @returns The silence after which a connection to it is doubted.
   */
  timeoutMs(endpoint: Address): number {
    const spacing = this.#statistics.get(endpoint);
    if (!spacing || spacing.gapCount < MIN_OBSERVED_GAPS) {
      return INITIAL_STALL_TIMEOUT_MS;
    }
    const limitMs = this.#decayedLongestGapMs(spacing) *
      TIMEOUT_PER_LONGEST_GAP;
    return Math.min(
      MAX_STALL_TIMEOUT_MS,
      Math.max(MIN_STALL_TIMEOUT_MS, limitMs),
    );
  }

  #statisticsOf(endpoint: Address): TokenGapStatistics {
    const known = this.#statistics.get(endpoint);
    if (known) return known;
    const updatedMs = this.#clock.monotonicMs();
    const spacing = { gapCount: 0, longestGapMs: 0, updatedMs };
    this.#statistics.set(endpoint, spacing);
    return spacing;
  }

  #decayedLongestGapMs(
    { longestGapMs, updatedMs }: TokenGapStatistics,
  ): number {
    const ageMs = this.#clock.monotonicMs() - updatedMs;
    return longestGapMs * 2 ** (-ageMs / LONGEST_GAP_HALF_LIFE_MS);
  }
}
