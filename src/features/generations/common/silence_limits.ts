/** How long a connection to an endpoint may be silent before it is doubted. */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";

/** Limit for an endpoint whose spacing is not known yet. */
export const INITIAL_SILENCE_LIMIT_MS = 2_000;
/** No limit is shorter. */
export const MIN_SILENCE_LIMIT_MS = 300;
/** No limit is longer. */
export const MAX_SILENCE_LIMIT_MS = 5_000;

const GAP_FACTOR = 4;
const MIN_OBSERVED_GAPS = 20;
const HALF_LIFE_MS = 60_000;
/** Shorter gaps cannot raise a limit above its least value. */
const SHORT_GAP_MS = MIN_SILENCE_LIMIT_MS / GAP_FACTOR;

interface Spacing {
  gapCount: number;
  /** Longest gap, decaying with time. */
  longestGapMs: number;
  updatedMs: number;
}

/**
 * Learns the spacing of each endpoint's tokens as a decaying maximum: a stall
 * raises the limit at once and is forgotten over minutes.
 */
export class SilenceLimits {
  readonly #clock: Clock;
  readonly #spacings = new Map<Address, Spacing>();

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
  observe(endpoint: Address, gapMs: number): void {
    const spacing = this.#spacingOf(endpoint);
    spacing.gapCount++;
    if (gapMs <= SHORT_GAP_MS) return;
    spacing.longestGapMs = Math.max(gapMs, this.#decayedGapMs(spacing));
    spacing.updatedMs = this.#clock.monotonicMs();
  }

  /**
   * @param endpoint - The endpoint.
   * @returns The silence after which a connection to it is doubted.
   */
  limitMs(endpoint: Address): number {
    const spacing = this.#spacings.get(endpoint);
    if (!spacing || spacing.gapCount < MIN_OBSERVED_GAPS) {
      return INITIAL_SILENCE_LIMIT_MS;
    }
    const limitMs = this.#decayedGapMs(spacing) * GAP_FACTOR;
    return Math.min(
      MAX_SILENCE_LIMIT_MS,
      Math.max(MIN_SILENCE_LIMIT_MS, limitMs),
    );
  }

  #spacingOf(endpoint: Address): Spacing {
    const known = this.#spacings.get(endpoint);
    if (known) return known;
    const updatedMs = this.#clock.monotonicMs();
    const spacing = { gapCount: 0, longestGapMs: 0, updatedMs };
    this.#spacings.set(endpoint, spacing);
    return spacing;
  }

  #decayedGapMs({ longestGapMs, updatedMs }: Spacing): number {
    const ageMs = this.#clock.monotonicMs() - updatedMs;
    return longestGapMs * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}
