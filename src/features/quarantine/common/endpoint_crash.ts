/**
 * Crashes of endpoints as several daemons report them, and how reports of the
 * same crash are merged and counted.
 */

import type { HostId, WorkspaceId } from "../../../base/common/ids.ts";

/**
 * What is known of a crash. A suspected one has not been observed directly; it
 * is refuted when the same process answers later, and confirmed when another
 * process has taken its place.
 */
export type CrashEvidence = "suspected" | "refuted" | "confirmed";

/** Evidence in ascending order of precedence. */
export const CRASH_EVIDENCE = ["suspected", "refuted", "confirmed"] as const;

/** Report of the unexpected termination of an endpoint. */
export interface CrashReport {
  /** Identifier of the endpoint, including its service. */
  readonly endpoint: string;
  /** Wall-clock time of the crash in milliseconds. */
  readonly atMs: number;
  /**
   * Wall-clock time in milliseconds at which the request was sent to the
   * endpoint; the time of the crash if it is not known.
   */
  readonly startedMs?: number | undefined;
  /** Confirmed if absent. */
  readonly evidence?: CrashEvidence | undefined;
}

/** Crash of an endpoint on which a request was running. */
export interface EndpointCrash extends CrashReport {
  /** Other workspaces with requests running on the endpoint at that time. */
  readonly otherWorkspaces: readonly WorkspaceId[];
  /** Host that observed the crash, if it is known. */
  readonly host?: HostId | undefined;
}

/** Time for which a crash is counted and for which a request is quarantined. */
export const QUARANTINE_DURATION_MS = 600_000;
/** Time for which a suspected crash is counted if nothing confirms it. */
export const SUSPECTED_CRASH_DURATION_MS = 120_000;
/** Latest time in milliseconds to which a duration can be added to get a date. */
export const MAX_TIME_MS = 8e15;
/** Maximum number of crashes kept per record. */
export const MAX_CRASHES_PER_RECORD = 8;

/**
 * Crashes of one endpoint reported within this time are treated as the same
 * crash.
 */
export const SAME_CRASH_WINDOW_MS = 10_000;
/** Returns the evidence of a crash. */
export function evidenceOf({ evidence }: CrashReport): CrashEvidence {
  return evidence ?? "confirmed";
}

/** Returns the time in milliseconds for which a crash is counted. */
export function countedDurationMs(crash: CrashReport): number {
  switch (evidenceOf(crash)) {
    case "suspected":
      return SUSPECTED_CRASH_DURATION_MS;
    case "refuted":
      return 0;
    case "confirmed":
      return QUARANTINE_DURATION_MS;
  }
}

/**
 * Returns the distinct crashes that are still counted, in chronological order.
 *
 * @param crashes - Reports in chronological order.
 * @param nowMs - Wall-clock time in milliseconds.
 * @param clearedMs - Wall-clock time in milliseconds up to which crashes are
 * ignored.
 */
export function countedCrashes<C extends CrashReport>(
  crashes: readonly C[],
  nowMs: number,
  clearedMs: number,
): C[] {
  const distinct: C[] = [];
  for (const crash of crashes) {
    const { atMs } = crash;
    if (atMs + countedDurationMs(crash) <= nowMs || atMs <= clearedMs) continue;
    if (!isReportedIn(distinct, crash)) distinct.push(crash);
  }
  return distinct;
}

/**
 * Returns the length of a chain of crashes in which each run was started after
 * the crash before.
 */
export function countSuccessive(crashes: readonly CrashReport[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const { atMs, startedMs } of crashes) {
    if ((startedMs ?? atMs) <= lastMs) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}

/** Returns whether two lists hold the same reports with the same evidence. */
export function areSameCrashes(
  left: readonly CrashReport[],
  right: readonly CrashReport[],
): boolean {
  return left.length === right.length && left.every((crash, index) => {
    const other = right[index]!;
    return crash.endpoint === other.endpoint && crash.atMs === other.atMs &&
      evidenceOf(crash) === evidenceOf(other);
  });
}

/**
 * Merges reports of two daemons. The result does not depend on the order of
 * merges.
 *
 * @returns The newest reports in chronological order.
 */
export function mergeCrashes<C extends CrashReport>(
  left: readonly C[],
  right: readonly C[],
): C[] {
  const crashes = new Map<string, C>();
  for (const crash of [...left, ...right]) {
    const key = `${crash.endpoint}|${crash.atMs}`;
    const known = crashes.get(key);
    crashes.set(key, known ? strongerOf(known, crash) : crash);
  }
  const chronological = [...crashes.values()].sort((a, b) => a.atMs - b.atMs);
  const distinct = chronological.length > MAX_CRASHES_PER_RECORD
    ? withoutRepeatedReports(chronological)
    : chronological;
  return distinct.slice(-MAX_CRASHES_PER_RECORD);
}

/** Returns the report of a crash whose evidence takes precedence. */
function strongerOf<C extends CrashReport>(left: C, right: C): C {
  const rankOf = (crash: C): number =>
    CRASH_EVIDENCE.indexOf(evidenceOf(crash));
  return rankOf(right) > rankOf(left) ? right : left;
}

/** Returns the first report of each crash. */
function withoutRepeatedReports<C extends CrashReport>(
  chronological: readonly C[],
): C[] {
  const distinct: C[] = [];
  for (const crash of chronological) {
    if (!isReportedIn(distinct, crash)) distinct.push(crash);
  }
  return distinct;
}

/** Returns whether earlier reports include the same crash. */
function isReportedIn(
  earlier: readonly CrashReport[],
  { endpoint, atMs }: CrashReport,
): boolean {
  return earlier.some((other) =>
    other.endpoint === endpoint && atMs - other.atMs < SAME_CRASH_WINDOW_MS
  );
}
