/**
 * Derives a stall timeout for each endpoint from the gaps between its tokens. A
 * fixed timeout would probe slow endpoints needlessly and detect stalls of fast
 * ones late.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";

/** Timeout in milliseconds for an endpoint with too few recorded gaps. */
export const INITIAL_STALL_TIMEOUT_MS = 2_000;
/** Shortest timeout in milliseconds. */
export const MIN_STALL_TIMEOUT_MS = 300;
/** Longest timeout in milliseconds. */
export const MAX_STALL_TIMEOUT_MS = 5_000;

const TIMEOUT_PER_LONGEST_GAP = 4;
const MIN_OBSERVED_GAPS = 20;
const LONGEST_GAP_HALF_LIFE_MS = 60_000;
/** Gaps up to this length cannot raise a timeout above the shortest one. */
const MAX_IGNORED_GAP_MS = MIN_STALL_TIMEOUT_MS / TIMEOUT_PER_LONGEST_GAP;

/** Statistics of the token gaps of one endpoint. */
interface TokenGapStatistics {
  gapCount: number;
  /** Longest gap in milliseconds as of `updatedMs`; decays from then on. */
  longestGapMs: number;
  updatedMs: number;
}

/**
 * Tracks the longest token gap of each endpoint as a decaying maximum: a stall
 * raises the timeout immediately, and its effect fades over minutes.
 */
export class StallTimeouts {
  readonly #clock: Clock;
  readonly #statistics = new Map<Address, TokenGapStatistics>();

  /** @param clock - Clock that drives the decay. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records the gap between two tokens received over the same connection.
   *
   * @param endpoint - Address of the endpoint.
   * @param gapMs - Gap in milliseconds.
   */
  recordGap(endpoint: Address, gapMs: number): void {
    const statistics = this.#statisticsOf(endpoint);
    statistics.gapCount++;
    if (gapMs <= MAX_IGNORED_GAP_MS) return;
    statistics.longestGapMs = Math.max(
      gapMs,
      this.#decayedLongestGapMs(statistics),
    );
    statistics.updatedMs = this.#clock.monotonicMs();
  }

  /**
   * Returns the stall timeout of an endpoint.
   *
   * @param endpoint - Address of the endpoint.
   * @returns The time in milliseconds without a token after which a connection
   * to the endpoint counts as stalled.
   */
  timeoutMs(endpoint: Address): number {
    const statistics = this.#statistics.get(endpoint);
    if (!statistics || statistics.gapCount < MIN_OBSERVED_GAPS) {
      return INITIAL_STALL_TIMEOUT_MS;
    }
    const timeoutMs = this.#decayedLongestGapMs(statistics) *
      TIMEOUT_PER_LONGEST_GAP;
    return Math.min(
      MAX_STALL_TIMEOUT_MS,
      Math.max(MIN_STALL_TIMEOUT_MS, timeoutMs),
    );
  }

  #statisticsOf(endpoint: Address): TokenGapStatistics {
    const existing = this.#statistics.get(endpoint);
    if (existing) return existing;
    const updatedMs = this.#clock.monotonicMs();
    const statistics = { gapCount: 0, longestGapMs: 0, updatedMs };
    this.#statistics.set(endpoint, statistics);
    return statistics;
  }

  #decayedLongestGapMs(
    { longestGapMs, updatedMs }: TokenGapStatistics,
  ): number {
    const ageMs = this.#clock.monotonicMs() - updatedMs;
    return longestGapMs * 2 ** (-ageMs / LONGEST_GAP_HALF_LIFE_MS);
  }
}
