/**
 * Records which requests were running when an endpoint crashed and decides
 * which of them are quarantined.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { WorkspaceId } from "../../../base/common/ids.ts";

/** Unexpected termination of an endpoint. */
export interface EndpointCrash {
  /** Identifier of the endpoint, including its service. */
  readonly endpoint: string;
  /** Wall-clock time of the crash in milliseconds. */
  readonly atMs: number;
  /** Other workspaces with requests running on the endpoint at that time. */
  readonly otherWorkspaces: readonly WorkspaceId[];
}

/**
 * Crashes associated with one request. Records of different daemons can be
 * merged.
 */
export interface SuspectRecord {
  /** Hash of the workspace and the canonical request. */
  readonly fingerprint: string;
  readonly workspace: WorkspaceId;
  /** Crashes of endpoints on which the request was running. */
  readonly deaths: readonly EndpointCrash[];
  /** Wall-clock time in milliseconds up to which crashes are ignored. */
  readonly clearedMs: number;
}

/** Quarantined request, as listed for operators. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  readonly workspace: WorkspaceId;
  /** Wall-clock time in milliseconds at which the quarantine ends. */
  readonly untilMs: number;
  readonly endpoints: readonly string[];
}

/** Time for which a crash is counted and for which a request is quarantined. */
export const QUARANTINE_DURATION_MS = 600_000;
/** Maximum number of crashes kept per record. */
export const MAX_CRASHES_PER_RECORD = 8;

const CRASHES_TO_QUARANTINE = 2;
/**
 * Applies if the same other workspace had requests running at every crash and
 * may therefore be the cause.
 */
const AMBIGUOUS_CRASHES_TO_QUARANTINE = 3;
/**
 * Crashes of one endpoint reported within this time are treated as the same
 * crash.
 */
const SAME_CRASH_WINDOW_MS = 10_000;
const MAX_RECORDS_PER_WORKSPACE = 1_000;
const MAX_AFFECTED_PER_ENDPOINT = 256;

/** Workspace that had a request running when an endpoint crashed. */
interface AffectedWorkspace {
  readonly workspace: WorkspaceId;
  readonly atMs: number;
}

/** Suspect records of all workspaces, with a limit per workspace. */
export class SuspectTable {
  readonly #clock: Clock;
  readonly #workspaces = new Map<WorkspaceId, Map<string, SuspectRecord>>();
  readonly #affected = new Map<string, AffectedWorkspace[]>();

  /** @param clock - Clock for the expiry of records. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns All records that have not expired. */
  records(): SuspectRecord[] {
    const all = [...this.#workspaces.values()].flatMap(
      (records) => [...records.values()],
    );
    return all.filter((record) => this.#isCurrent(record));
  }

  /** @returns Whether the request was running when an endpoint crashed. */
  isSuspect(workspace: WorkspaceId, fingerprint: string): boolean {
    return this.#crashesOf(this.#find(workspace, fingerprint)).length > 0;
  }

  /**
   * @returns Wall-clock time in milliseconds at which the quarantine ends, or
   * `undefined` if the request is not quarantined.
   */
  quarantinedUntilMs(
    workspace: WorkspaceId,
    fingerprint: string,
  ): number | undefined {
    return this.#quarantineEndMs(this.#find(workspace, fingerprint));
  }

  /** @returns The requests that are currently quarantined. */
  listQuarantined(): QuarantinedRequest[] {
    return this.records().flatMap((record) => {
      const untilMs = this.#quarantineEndMs(record);
      if (untilMs === undefined) return [];
      const { fingerprint, workspace } = record;
      const endpoints = this.#crashesOf(record).map(({ endpoint }) => endpoint);
      return [{ fingerprint, workspace, untilMs, endpoints }];
    });
  }

  /**
   * Adds a crash to the record of a request.
   *
   * @returns The updated record.
   */
  recordCrash(
    workspace: WorkspaceId,
    fingerprint: string,
    crash: EndpointCrash,
  ): SuspectRecord {
    const deaths = [crash];
    return this.merge({ fingerprint, workspace, deaths, clearedMs: 0 });
  }

  /**
   * Clears all crashes recorded for a request so far.
   *
   * @returns The updated record, or `undefined` if the request is not a
   * suspect.
   */
  clear(
    workspace: WorkspaceId,
    fingerprint: string,
  ): SuspectRecord | undefined {
    const found = this.#find(workspace, fingerprint);
    if (!found || this.#crashesOf(found).length === 0) return undefined;
    return this.merge({ ...found, clearedMs: this.#clock.nowMs() });
  }

  /**
   * Clears a request identified by its fingerprint alone, on behalf of an
   * operator.
   *
   * @returns The updated record, or `undefined` if there is none.
   */
  release(fingerprint: string): SuspectRecord | undefined {
    const record = this.records().find((candidate) =>
      candidate.fingerprint === fingerprint
    );
    return record && this.clear(record.workspace, fingerprint);
  }

  /**
   * Merges a record received from another daemon. The result does not depend on
   * the order of merges.
   *
   * @returns The merged record.
   */
  merge(record: SuspectRecord): SuspectRecord {
    const existing = this.#find(record.workspace, record.fingerprint);
    const merged = existing ? mergeRecords(existing, record) : record;
    for (const { endpoint, atMs } of record.deaths) {
      this.#addAffected(endpoint, { workspace: record.workspace, atMs });
    }
    this.#store(merged);
    return merged;
  }

  #find(
    workspace: WorkspaceId,
    fingerprint: string,
  ): SuspectRecord | undefined {
    return this.#workspaces.get(workspace)?.get(fingerprint);
  }

  #store(record: SuspectRecord): void {
    const records = this.#workspaces.get(record.workspace) ??
      new Map<string, SuspectRecord>();
    this.#workspaces.set(record.workspace, records);
    records.delete(record.fingerprint);
    records.set(record.fingerprint, record);
    if (records.size > MAX_RECORDS_PER_WORKSPACE) {
      records.delete(records.keys().next().value!);
    }
  }

  #addAffected(endpoint: string, entry: AffectedWorkspace): void {
    const affected = this.#affected.get(endpoint) ?? [];
    this.#affected.set(endpoint, affected);
    const isDuplicate = affected.some(({ workspace, atMs }) =>
      workspace === entry.workspace && atMs === entry.atMs
    );
    if (isDuplicate) return;
    affected.push(entry);
    if (affected.length > MAX_AFFECTED_PER_ENDPOINT) affected.shift();
  }

  /**
   * Returns the other workspaces present at a crash, according to this record
   * and the records of other requests.
   */
  #otherWorkspacesAt(
    crash: EndpointCrash,
    workspace: WorkspaceId,
  ): Set<WorkspaceId> {
    const others = new Set(crash.otherWorkspaces);
    for (const entry of this.#affected.get(crash.endpoint) ?? []) {
      const isSameCrash =
        Math.abs(entry.atMs - crash.atMs) < SAME_CRASH_WINDOW_MS;
      if (isSameCrash) others.add(entry.workspace);
    }
    others.delete(workspace);
    return others;
  }

  /** Returns whether the same other workspace was present at every crash. */
  #isAmbiguous(
    crashes: readonly EndpointCrash[],
    workspace: WorkspaceId,
  ): boolean {
    const [first, ...rest] = crashes.map((crash) =>
      this.#otherWorkspacesAt(crash, workspace)
    );
    return [...first ?? []].some((other) =>
      rest.every((others) => others.has(other))
    );
  }

  #isCurrent(record: SuspectRecord): boolean {
    const lastMs = Math.max(
      record.clearedMs,
      ...record.deaths.map(({ atMs }) => atMs),
    );
    return lastMs + QUARANTINE_DURATION_MS > this.#clock.nowMs();
  }

  /**
   * Returns the distinct crashes that are still counted, in chronological
   * order.
   */
  #crashesOf(record: SuspectRecord | undefined): EndpointCrash[] {
    const oldestMs = this.#clock.nowMs() - QUARANTINE_DURATION_MS;
    const distinct: EndpointCrash[] = [];
    for (const crash of record?.deaths ?? []) {
      const { endpoint, atMs } = crash;
      if (atMs <= oldestMs || atMs <= record!.clearedMs) continue;
      const isDuplicate = distinct.some((other) =>
        other.endpoint === endpoint && atMs - other.atMs < SAME_CRASH_WINDOW_MS
      );
      if (!isDuplicate) distinct.push(crash);
    }
    return distinct;
  }

  #quarantineEndMs(record: SuspectRecord | undefined): number | undefined {
    const crashes = this.#crashesOf(record);
    if (!record || crashes.length < CRASHES_TO_QUARANTINE) return undefined;
    const isAmbiguous = this.#isAmbiguous(crashes, record.workspace);
    if (isAmbiguous && crashes.length < AMBIGUOUS_CRASHES_TO_QUARANTINE) {
      return undefined;
    }
    return crashes.at(-1)!.atMs + QUARANTINE_DURATION_MS;
  }
}

function mergeRecords(
  left: SuspectRecord,
  right: SuspectRecord,
): SuspectRecord {
  const crashes = new Map<string, EndpointCrash>();
  for (const crash of [...left.deaths, ...right.deaths]) {
    crashes.set(`${crash.endpoint}|${crash.atMs}`, crash);
  }
  const chronological = [...crashes.values()].sort((a, b) => a.atMs - b.atMs);
  return {
    ...left,
    deaths: chronological.slice(-MAX_CRASHES_PER_RECORD),
    clearedMs: Math.max(left.clearedMs, right.clearedMs),
  };
}
