/**
 * Decides which parts of prompts crash endpoints, from the crashes at which
 * each part was in a prompt that had no answer yet. Many sound parts share a
 * crash with the one that caused it, so that a part is accused only of crashes
 * that no other part explains better.
 */

/** A part and the distinct crashes at which it is a possible cause. */
export interface PartCandidate {
  readonly part: string;
  /** Identifiers of the crashes. */
  readonly crashes: ReadonlySet<string>;
  /** Number of crashes in a row, each of a run that began after the last. */
  readonly successiveCrashes: number;
}

/** Parts that crash endpoints: any prompt that holds all of them. */
export type CrashingParts = readonly string[];

const MIN_CRASHES = 3;
const MIN_SUCCESSIVE_CRASHES = 2;
/**
 * Number of crashes from which parts that share all of them are accused one by
 * one. With fewer, only prompts that hold all of these parts are.
 */
const MIN_CRASHES_TO_SEPARATE = 5;

/**
 * Finds the parts that crash endpoints.
 *
 * @param candidates - Parts of one service that were never shown to be sound.
 * @param requests - Crashes of each request that is quarantined as a whole.
 * @returns The groups of parts, the one with the most crashes first.
 */
export function findCrashingParts(
  candidates: readonly PartCandidate[],
  requests: readonly ReadonlySet<string>[] = [],
): readonly CrashingParts[] {
  const found: CrashingParts[] = [];
  const explained = new Set<string>();
  let open = candidates.filter(({ crashes, successiveCrashes }) =>
    crashes.size >= MIN_CRASHES && successiveCrashes >= MIN_SUCCESSIVE_CRASHES
  );
  while (open.length > 0) {
    const worstRequest = findLargest(requests, explained);
    const counted = open.map((candidate) => ({
      candidate,
      unexplained: [...candidate.crashes].filter((crash) =>
        !explained.has(crash)
      ),
    })).filter(({ unexplained }) => unexplained.length >= MIN_CRASHES);
    if (counted.length === 0) break;
    const most = Math.max(
      ...counted.map(({ unexplained }) => unexplained.length),
    );
    if (worstRequest.length > most) {
      for (const crash of worstRequest) explained.add(crash);
      continue;
    }
    // Parts with as many crashes, but not the same ones, explain them as well.
    const groups = new Map<string, { parts: string[]; crashes: string[] }>();
    for (const { candidate, unexplained } of counted) {
      if (unexplained.length < most) continue;
      const key = [...unexplained].sort().join("\n");
      const group = groups.get(key) ?? { parts: [], crashes: unexplained };
      groups.set(key, group);
      group.parts.push(candidate.part);
    }
    const accused = new Set<string>();
    for (const { parts, crashes } of groups.values()) {
      if (most >= MIN_CRASHES_TO_SEPARATE) {
        found.push(...parts.map((part) => [part]));
      } else found.push(parts);
      for (const part of parts) accused.add(part);
      for (const crash of crashes) explained.add(crash);
    }
    open = counted.map(({ candidate }) => candidate).filter(({ part }) =>
      !accused.has(part)
    );
  }
  return found;
}

/** Returns the unexplained crashes of the set that has the most of them. */
function findLargest(
  sets: readonly ReadonlySet<string>[],
  explained: ReadonlySet<string>,
): readonly string[] {
  let largest: readonly string[] = [];
  for (const set of sets) {
    const unexplained = [...set].filter((crash) => !explained.has(crash));
    if (unexplained.length > largest.length) largest = unexplained;
  }
  return largest;
}
