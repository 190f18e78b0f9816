/**
 * Ages of a mirror at which its host acts, as parts of the time within which the
 * host has to know each change of the store. The ages follow one another: while
 * the reader of a zone is well, the contents are younger than the first one; by
 * the last one, time is left for a slow read.
 */

/** Time in milliseconds within which changes are known where none is stated. */
const DEFAULT_MAX_AGE_MS = 2_000;
/** Below this, hosts would read the store all the time. */
const MIN_MAX_AGE_MS = 400;
/** A longer wait has no use: the connection is checked less often. */
const MAX_WATCH_WAIT_MS = 800;
/**
 * Part of the time for which the store holds a watch open. A watch without
 * changes confirms the contents as of its start, so a reader's are up to twice
 * as old.
 */
const WATCH_WAIT_PART = 0.25;
/** For the response of a watch and the one of a peer. */
const RESPONSE_PART = 0.025;
const FALLBACK_PART = 0.6;
/** Parts by the rank of a hub as a reader of its zone, from the second on. */
const DEPUTY_PARTS = [0.65, 0.7] as const;
const LAST_RESORT_PART = 0.75;
/** Part over which the hosts are spread that are no hubs of their zone. */
const SPREAD_PART = 0.1;

/** Ages in milliseconds at which a host acts. */
export interface MirrorBounds {
  /** Maximum time for which the store holds a watch open. */
  readonly watchWaitMs: number;
  /** Age above which a snapshot is requested from the preferred source. */
  readonly staleAgeMs: number;
  /**
   * Age above which other peers are queried too, since the preferred source may
   * be dark or have lost its connection to the store.
   */
  readonly fallbackAgeMs: number;
  /** Age above which every host of a zone reads the store. */
  readonly lastResortAgeMs: number;
  /**
   * Returns the age above which a host reads the store itself.
   *
   * @param rank - Rank of the host among the readers of its zone, from 0;
   * `undefined` if it is none of them.
   * @param fraction - Number from 0 to 1, evenly distributed over the hosts.
   */
  takeoverAgeMs(rank: number | undefined, fraction: number): number;
}

/**
 * @param maxAgeMs - Time in milliseconds within which a change of the store has
 * to be known.
 * @returns The ages at which a host acts to know it in time.
 */
export function mirrorBounds(maxAgeMs = DEFAULT_MAX_AGE_MS): MirrorBounds {
  const boundMs = Math.max(maxAgeMs, MIN_MAX_AGE_MS);
  const watchWaitMs = Math.round(
    Math.min(MAX_WATCH_WAIT_MS, boundMs * WATCH_WAIT_PART),
  );
  return {
    watchWaitMs,
    staleAgeMs: 2 * watchWaitMs + boundMs * RESPONSE_PART,
    fallbackAgeMs: boundMs * FALLBACK_PART,
    lastResortAgeMs: boundMs * (LAST_RESORT_PART + SPREAD_PART),
    takeoverAgeMs: (rank, fraction) => {
      if (rank === 0) return 0;
      const part = rank === undefined ? undefined : DEPUTY_PARTS[rank - 1];
      return boundMs * (part ?? LAST_RESORT_PART + SPREAD_PART * fraction);
    },
  };
}
