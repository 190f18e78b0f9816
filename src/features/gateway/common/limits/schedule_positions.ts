/**
 * How far granters have given away the rights to endpoints, as one daemon knows
 * it from the offers that passed it. A granter that takes over grants nothing
 * before that time, as the rights of the one before it may not be used yet.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Brand } from "../../../../base/common/brand.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import { keyOf, type LimitedProcess } from "./limit_table.ts";

/** One process of a daemon that grants rights. */
export type GranterId = Brand<string, "GranterId">;

/** How far ahead the rights of an endpoint have been granted. */
export interface SchedulePosition {
  readonly granter: GranterId;
  /** Time from now to the first right that is not granted, in milliseconds. */
  readonly aheadMs: number;
}

/** Position of the schedule of one process of an endpoint. */
export interface ProcessPosition extends SchedulePosition {
  readonly process: LimitedProcess;
}

interface KnownPosition {
  readonly process: LimitedProcess;
  readonly granter: GranterId;
  /** Monotonic time of the first right that is not granted, in milliseconds. */
  readonly atMs: number;
}

const MAX_POSITIONS = 2_000;

/** Latest positions by process. */
export class SchedulePositions {
  readonly #clock: Clock;
  readonly #known = new BoundedMap<string, KnownPosition>(MAX_POSITIONS);

  /** @param clock - Measures how far ahead a position still is. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Positions that still lie ahead. */
  get ahead(): readonly ProcessPosition[] {
    const nowMs = this.#clock.monotonicMs();
    return this.#known.values.flatMap(({ atMs, granter, process }) =>
      atMs > nowMs ? [{ process, granter, aheadMs: atMs - nowMs }] : []
    );
  }

  /** Records how far a granter has given away the rights of a process. */
  learn(
    { bornMs, endpoint }: LimitedProcess,
    { aheadMs, granter }: SchedulePosition,
  ): void {
    const process = { endpoint, bornMs };
    const key = keyOf(process);
    const atMs = this.#clock.monotonicMs() + aheadMs;
    const known = this.#known.get(key);
    if (known && known.atMs > atMs) return;
    this.#known.set(key, { process, granter, atMs });
  }

  /** @returns The latest position of a process, if any is known. */
  get(process: LimitedProcess): SchedulePosition | undefined {
    const known = this.#known.get(keyOf(process));
    if (!known) return undefined;
    const aheadMs = Math.max(0, known.atMs - this.#clock.monotonicMs());
    return { granter: known.granter, aheadMs };
  }
}

/** @returns The position that is further ahead of two that may be unknown. */
export function laterPosition(
  left: SchedulePosition | undefined,
  right: SchedulePosition | undefined,
): SchedulePosition | undefined {
  if (!left || !right) return left ?? right;
  return left.aheadMs >= right.aheadMs ? left : right;
}
