/**
 * Places at brittle endpoints that hosts hold, from whichever granter: those of
 * this host, and on a hub those of the hosts that ask through it.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { BrittleProcess } from "./brittle_table.ts";

/** Places of one host at one process. */
export interface HeldPlaces extends BrittleProcess {
  readonly host: HostId;
  readonly places: number;
}

const MAX_ENTRIES = 4_000;

/** Number of places by process and host. */
export class HeldPlacesTable {
  readonly #counts = new BoundedMap<string, number>(MAX_ENTRIES);

  /** @returns The number of places that a host holds at a process. */
  get(process: BrittleProcess, host: HostId): number {
    return this.#counts.get(keyOf(process, host)) ?? 0;
  }

  /** Replaces the number of places of a host. */
  set(process: BrittleProcess, host: HostId, places: number): void {
    this.#counts.set(keyOf(process, host), Math.max(0, places));
  }

  /** Adds places to those of a host; less than 0 if it returned some. */
  add(process: BrittleProcess, host: HostId, places: number): void {
    this.set(process, host, this.get(process, host) + places);
  }
}

function keyOf({ bornMs, endpoint }: BrittleProcess, host: HostId): string {
  return `${endpoint}/${bornMs}/${host}`;
}
