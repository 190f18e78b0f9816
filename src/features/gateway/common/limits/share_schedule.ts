/**
 * Schedule of the rights that one host takes when it reaches no granter. Each
 * host has its own part of each period by the wall clock, so that the rights of
 * hosts that do not know of each other are spread evenly.
 */

import type { RightOffer } from "./right_schedule.ts";

/**
 * Longest time that an endpoint is not tried again after a denial: the granter
 * may be reached again long before this host's next part of a period.
 */
const MAX_FREE_IN_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Part of one host among all hosts. */
export interface HostShare {
  /** Number of hosts. */
  readonly fleetSize: number;
  /** Position of this host among them, from 0. */
  readonly fleetIndex: number;
}

/** Rights of one host for one endpoint. */
export class ShareSchedule {
  /** Start of the latest part that was used, in wall-clock milliseconds. */
  #usedMs = -Infinity;

  /**
   * Takes the right of the current part, or of the next one if it comes in
   * time.
   *
   * @param nowMs - Wall-clock time in milliseconds.
   * @param ratePerS - Rights a second of all hosts together; more than 0.
   * @param share - Part of this host.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @returns The right, or when to come back.
   */
  take(
    nowMs: number,
    ratePerS: number,
    { fleetIndex, fleetSize }: HostShare,
    maxWaitMs: number,
  ): RightOffer {
    const partMs = MS_PER_SECOND / ratePerS;
    const periodMs = partMs * Math.max(1, fleetSize);
    const offsetMs = partMs * fleetIndex;
    // The size of a period may have changed since the latest right.
    const earliestMs = Math.max(nowMs - partMs, this.#usedMs + periodMs / 2);
    const period = Math.floor((earliestMs - offsetMs) / periodMs) + 1;
    const startMs = offsetMs + period * periodMs;
    const waitMs = Math.max(0, startMs - nowMs);
    if (waitMs <= maxWaitMs) {
      this.#usedMs = startMs;
      return { kind: "granted", waitMs };
    }
    const freeInMs = Math.min(waitMs, MAX_FREE_IN_MS);
    return { kind: "denied", freeInMs, retryAfterMs: freeInMs };
  }
}
