/**
 * The limits of endpoints, as one daemon knows them: those that they name in
 * their answers, and those of cold endpoints. The lower one holds. Records of
 * named limits of different daemons can be merged in any order.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { EndpointId } from "../../../../base/common/ids.ts";
import type { ColdEndpoints } from "../endpoints/cold_endpoints.ts";

/** What an answer says of its endpoint's limit. */
export type NamedLimit =
  | { readonly kind: "named"; readonly requestsPerS: number }
  | { readonly kind: "none" }
  /** The answer names a limit that cannot be read. */
  | { readonly kind: "malformed" };

/** One process of an endpoint. */
export interface LimitedProcess {
  readonly endpoint: EndpointId;
  readonly bornMs: number;
}

/** Latest known limit of one process. */
export interface LimitRecord extends LimitedProcess {
  /** Requests a second from all hosts together; `undefined` if it has ended. */
  readonly requestsPerS: number | undefined;
  /** Last limit that was in force. */
  readonly lastRequestsPerS: number;
  /** Grows with each change, on whichever host it is observed. */
  readonly revision: number;
}

/** Source of a limit: the endpoint's answers, or that the endpoint is cold. */
export type LimitSource = "stated" | "cold";

/** Limit in force for one process. */
export interface CurrentLimit extends LimitedProcess {
  /** Requests a second from all hosts together. */
  readonly ratePerS: number;
  readonly source: LimitSource;
}

/** Source of the limits of cold endpoints. */
export type ColdLimits = Pick<
  ColdEndpoints,
  "rateOf" | "remainingMs" | "limited"
>;

const NO_COLD_LIMITS: ColdLimits = {
  rateOf: () => undefined,
  remainingMs: () => 0,
  limited: () => [],
};

/** A changed record, and whether this daemon observed the change itself. */
export interface LimitChange {
  readonly record: LimitRecord;
  readonly isLocal: boolean;
}

/**
 * A lower limit is taken for this one: only an answer can tell that a limit has
 * ended, so that some requests must be sent.
 */
const MIN_REQUESTS_PER_S = 0.25;
/** Limits from which nothing is limited; no fleet sends as much. */
const MAX_REQUESTS_PER_S = 10_000;
/**
 * Time over which an endpoint fills again after its limit has ended; the rate
 * doubles in each `RAMP_DOUBLING_MS`.
 */
const RAMP_MS = 4_000;
const RAMP_DOUBLING_MS = 1_000;
const MAX_RECORDS = 2_000;

interface KnownLimit {
  readonly record: LimitRecord;
  /** Monotonic time at which this daemon learned of it, in milliseconds. */
  readonly sinceMs: number;
  /** Monotonic time of the latest answer that named a limit. */
  namedMs: number;
}

/** Limits by process. */
export class LimitTable {
  readonly #clock: Clock;
  readonly #cold: ColdLimits;
  readonly #limits = new BoundedMap<string, KnownLimit>(MAX_RECORDS);
  readonly #changed = new Emitter<LimitChange>();

  /** Fires after a limit was named, has changed or has ended. */
  readonly onDidChange = this.#changed.event;

  /**
   * @param clock - Measures how long a limit has been over.
   * @param cold - Limits of cold endpoints.
   */
  constructor(clock: Clock, cold: ColdLimits = NO_COLD_LIMITS) {
    this.#clock = clock;
    this.#cold = cold;
  }

  /** All records, also of limits that have ended. */
  get records(): readonly LimitRecord[] {
    return this.#limits.values.map(({ record }) => record);
  }

  /** @returns The record of a process, if it ever named a limit. */
  get(process: LimitedProcess): LimitRecord | undefined {
    return this.#limits.get(keyOf(process))?.record;
  }

  /**
   * Applies what an answer says.
   *
   * @param process - The process that answered.
   * @param named - What it says of its limit.
   * @param sentMs - Monotonic time at which the request was sent, in
   * milliseconds. An answer may be older than what is known by now; it then
   * only makes a limit stricter.
   */
  observe(process: LimitedProcess, named: NamedLimit, sentMs: number): void {
    const known = this.#limits.get(keyOf(process));
    const isOld = known !== undefined &&
      sentMs <= Math.max(known.sinceMs, known.namedMs);
    switch (named.kind) {
      case "malformed":
        return;
      case "none":
        if (known?.record.requestsPerS === undefined || isOld) return;
        this.#change(process, known.record, undefined);
        return;
      case "named": {
        const requestsPerS = Math.min(named.requestsPerS, MAX_REQUESTS_PER_S);
        const currentPerS = known?.record.requestsPerS;
        if (known) known.namedMs = this.#clock.monotonicMs();
        if (requestsPerS === currentPerS) return;
        const isLooser = currentPerS !== undefined &&
          requestsPerS > currentPerS;
        if (isOld && isLooser) return;
        this.#change(process, known?.record, requestsPerS);
      }
    }
  }

  /**
   * @returns Requests a second that a cold process bears from all hosts
   * together, or `undefined` if it has no such limit.
   */
  coldRateOf(process: LimitedProcess): number | undefined {
    return this.#cold.rateOf(process);
  }

  /** @returns Time for which a process stays cold, in milliseconds. */
  coldRemainingMs(process: LimitedProcess): number {
    return this.#cold.remainingMs(process);
  }

  /** @returns All limits in force. */
  current(): readonly CurrentLimit[] {
    const processes = new Map<string, LimitedProcess>();
    for (const one of [...this.records, ...this.#cold.limited()]) {
      processes.set(keyOf(one), one);
    }
    return [...processes.values()].flatMap((process) => {
      const { bornMs, endpoint } = process;
      const ratePerS = this.rateOf(process);
      if (ratePerS === undefined) return [];
      const isCold = ratePerS === this.coldRateOf(process);
      const source = isCold ? "cold" : "stated";
      return [{ endpoint, bornMs, ratePerS, source }];
    });
  }

  /** Applies a record of another daemon. */
  merge(record: LimitRecord): void {
    const { requestsPerS } = record;
    // Daemons of an earlier version take the cold limit in a question of this
    // one for a limit that the endpoint names, and pass it on.
    if (
      requestsPerS !== undefined && requestsPerS === this.coldRateOf(record)
    ) {
      return;
    }
    const known = this.#limits.get(keyOf(record));
    if (known && !isNewer(record, known.record)) return;
    this.#set(record, false);
  }

  /**
   * Returns the rate at which requests may be sent to a process now.
   *
   * @returns Requests a second from all hosts together, or `undefined` if they
   * are not limited.
   */
  rateOf(process: LimitedProcess): number | undefined {
    return lowerRate(this.#statedRateOf(process), this.coldRateOf(process));
  }

  #statedRateOf(process: LimitedProcess): number | undefined {
    if (this.#limits.size === 0) return undefined;
    const known = this.#limits.get(keyOf(process));
    if (!known) return undefined;
    const { requestsPerS, lastRequestsPerS } = known.record;
    if (requestsPerS !== undefined) return enforcedRate(requestsPerS);
    const endedForMs = this.#clock.monotonicMs() - known.sinceMs;
    if (endedForMs >= RAMP_MS) return undefined;
    const factor = 2 ** (endedForMs / RAMP_DOUBLING_MS);
    const startPerS = Math.max(1, lastRequestsPerS);
    return enforcedRate(startPerS * factor);
  }

  #change(
    process: LimitedProcess,
    previous: LimitRecord | undefined,
    requestsPerS: number | undefined,
  ): void {
    const { endpoint, bornMs } = process;
    this.#set({
      endpoint,
      bornMs,
      requestsPerS,
      lastRequestsPerS: requestsPerS ?? previous?.lastRequestsPerS ?? 0,
      revision: (previous?.revision ?? 0) + 1,
    }, true);
  }

  #set(record: LimitRecord, isLocal: boolean): void {
    const nowMs = this.#clock.monotonicMs();
    const namedMs = record.requestsPerS === undefined ? -Infinity : nowMs;
    this.#limits.set(keyOf(record), { record, sinceMs: nowMs, namedMs });
    this.#changed.fire({ record, isLocal });
  }
}

/**
 * @returns The lower of two rates, or `undefined` if neither is limited.
 */
export function lowerRate(
  left: number | undefined,
  right: number | undefined,
): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.min(left, right);
}

function enforcedRate(requestsPerS: number): number | undefined {
  if (requestsPerS >= MAX_REQUESTS_PER_S) return undefined;
  return Math.max(MIN_REQUESTS_PER_S, requestsPerS);
}

/** Of two changes made at the same time, the stricter one holds. */
function isNewer(left: LimitRecord, right: LimitRecord): boolean {
  if (left.revision !== right.revision) return left.revision > right.revision;
  return (left.requestsPerS ?? Infinity) < (right.requestsPerS ?? Infinity);
}

/** @returns A key for maps by process. */
export function keyOf({ endpoint, bornMs }: LimitedProcess): string {
  return `${endpoint}/${bornMs}`;
}
