/**
 * Endpoints that say in their answers that they are brittle, as one daemon knows
 * them: they fall over when they have to turn away more requests a second, for
 * want of room, than they name. Records of different daemons can be merged in
 * any order.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { EndpointId } from "../../../base/common/ids.ts";

/** What an answer says of its endpoint. */
export type NamedBrittleness =
  | { readonly kind: "named"; readonly rejectionsPerS: number }
  | { readonly kind: "none" }
  /** The answer names a number that cannot be read. */
  | { readonly kind: "malformed" };

/** One process of an endpoint. */
export interface BrittleProcess {
  readonly endpoint: EndpointId;
  readonly bornMs: number;
}

/** Latest known state of one process. */
export interface BrittleRecord extends BrittleProcess {
  /**
   * Requests that it can turn away in a second; `undefined` if it is no longer
   * brittle.
   */
  readonly rejectionsPerS: number | undefined;
  /** Grows with each change, on whichever host it is observed. */
  readonly revision: number;
}

/** A changed record, and whether this daemon observed the change itself. */
export interface BrittleChange {
  readonly record: BrittleRecord;
  readonly isLocal: boolean;
}

const MAX_RECORDS = 2_000;

interface KnownState {
  readonly record: BrittleRecord;
  /** Monotonic time of the latest evidence, in milliseconds. */
  evidenceMs: number;
}

/** States by process. */
export class BrittleTable {
  readonly #clock: Clock;
  readonly #states = new BoundedMap<string, KnownState>(MAX_RECORDS);
  readonly #changed = new Emitter<BrittleChange>();

  /** Fires after a process has become brittle, names another number, or ends. */
  readonly onDidChange = this.#changed.event;

  /** @param clock - Determines which answers are older than what is known. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** All records, also of processes that are no longer brittle. */
  get records(): readonly BrittleRecord[] {
    return this.#states.values.map(({ record }) => record);
  }

  /**
   * @returns The record of a process that is brittle now, or `undefined`.
   */
  get(process: BrittleProcess): BrittleRecord | undefined {
    if (this.#states.size === 0) return undefined;
    const record = this.#states.get(keyOf(process))?.record;
    return record?.rejectionsPerS === undefined ? undefined : record;
  }

  /**
   * Applies what an answer says.
   *
   * @param process - The process that answered.
   * @param named - What it says.
   * @param sentMs - Monotonic time at which the request was sent, in
   * milliseconds. An older answer only makes a process more brittle.
   */
  observe(
    process: BrittleProcess,
    named: NamedBrittleness,
    sentMs: number,
  ): void {
    const known = this.#states.get(keyOf(process));
    const currentPerS = known?.record.rejectionsPerS;
    const isOld = known !== undefined && sentMs <= known.evidenceMs;
    switch (named.kind) {
      case "malformed":
        return;
      case "none":
        if (currentPerS !== undefined && !isOld) {
          this.#change(process, known, undefined);
        }
        return;
      case "named": {
        const { rejectionsPerS } = named;
        if (known) known.evidenceMs = this.#clock.monotonicMs();
        if (rejectionsPerS === currentPerS) return;
        const isLooser = currentPerS !== undefined &&
          rejectionsPerS > currentPerS;
        if (isOld && isLooser) return;
        this.#change(process, known, rejectionsPerS);
      }
    }
  }

  /** Applies a record of another daemon. */
  merge(record: BrittleRecord): void {
    const known = this.#states.get(keyOf(record));
    if (known && !isNewer(record, known.record)) return;
    this.#set(record, false);
  }

  #change(
    { endpoint, bornMs }: BrittleProcess,
    known: KnownState | undefined,
    rejectionsPerS: number | undefined,
  ): void {
    const revision = (known?.record.revision ?? 0) + 1;
    this.#set({ endpoint, bornMs, rejectionsPerS, revision }, true);
  }

  #set(record: BrittleRecord, isLocal: boolean): void {
    const evidenceMs = this.#clock.monotonicMs();
    this.#states.set(keyOf(record), { record, evidenceMs });
    this.#changed.fire({ record, isLocal });
  }
}

/** Of two changes made at the same time, the more brittle one holds. */
function isNewer(left: BrittleRecord, right: BrittleRecord): boolean {
  if (left.revision !== right.revision) return left.revision > right.revision;
  return (left.rejectionsPerS ?? Infinity) < (right.rejectionsPerS ?? Infinity);
}

function keyOf({ endpoint, bornMs }: BrittleProcess): string {
  return `${endpoint}/${bornMs}`;
}
