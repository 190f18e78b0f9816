/** The rights that one host takes by itself, as no granter answers it. */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import { keyOf, type LimitedProcess } from "./limit_table.ts";
import { type RightOffer, RightSchedule } from "./right_schedule.ts";
import { type HostShare, ShareSchedule } from "./share_schedule.ts";

const MAX_SCHEDULES = 2_000;
/** The rights of hosts that wait are used beside those of a granter that is back. */
const MAX_WAIT_MS = 500;
/** The granter may answer again long before the next right of this host. */
const MAX_FREE_IN_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Rights of one host alone, an equal share of those of all hosts. */
export class OwnRights {
  readonly #clock: Clock;
  readonly #reach: HostShare;
  readonly #shares = new BoundedMap<string, RightSchedule>(MAX_SCHEDULES);
  readonly #coldShares = new BoundedMap<string, ShareSchedule>(MAX_SCHEDULES);

  /**
   * @param clock - Measures when rights are due.
   * @param reach - Part of this host among all hosts.
   */
  constructor(clock: Clock, reach: HostShare) {
    this.#clock = clock;
    this.#reach = reach;
  }

  /**
   * Takes a right to send to an endpoint that names its limit. The first rights
   * of the hosts follow those that the granter gave away, one after the other.
   *
   * @param process - The process to send to.
   * @param ratePerS - Rights a second of all hosts together.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @param aheadMs - Time from now up to which rights may have been granted, in
   * milliseconds.
   * @returns The right, or when to come back.
   */
  take(
    process: LimitedProcess,
    ratePerS: number,
    maxWaitMs: number,
    aheadMs: number,
  ): RightOffer {
    const { fleetIndex, fleetSize } = this.#reach;
    const nowMs = this.#clock.monotonicMs();
    const key = keyOf(process);
    const share = this.#shares.get(key) ?? new RightSchedule(
      nowMs + aheadMs + fleetIndex * MS_PER_SECOND / ratePerS,
    );
    this.#shares.set(key, share);
    const offer = share.take(
      nowMs,
      ratePerS / fleetSize,
      Math.min(maxWaitMs, MAX_WAIT_MS),
      0,
    );
    if (offer.kind === "granted") return offer;
    return { ...offer, freeInMs: Math.min(MAX_FREE_IN_MS, offer.freeInMs) };
  }

  /** Ends the share of this host, as a granter has answered. */
  end(process: LimitedProcess): void {
    this.#shares.delete(keyOf(process));
  }

  /**
   * Takes a right to send to a cold endpoint; see {@link take}.
   *
   * @param ratePerS - Rights a second that all hosts share without a granter.
   */
  takeCold(
    process: LimitedProcess,
    ratePerS: number,
    maxWaitMs: number,
  ): RightOffer {
    const key = keyOf(process);
    const share = this.#coldShares.get(key) ?? new ShareSchedule();
    this.#coldShares.set(key, share);
    return share.take(this.#clock.nowMs(), ratePerS, this.#reach, maxWaitMs);
  }
}
