/**
 * Records which requests were running when an endpoint crashed and decides
 * which of them are quarantined.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { WorkspaceId } from "../../../base/common/ids.ts";
import {
  areSameCrashes,
  countedCrashes,
  countedDurationMs,
  countSuccessive,
  type CrashEvidence,
  type EndpointCrash,
  evidenceOf,
  mergeCrashes,
  QUARANTINE_DURATION_MS,
  SAME_CRASH_WINDOW_MS,
} from "./endpoint_crash.ts";

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
  /** Wall-clock time in milliseconds since which this daemon refuses it. */
  readonly sinceMs: number;
  readonly endpoints: readonly string[];
}

/** Changed record, and whether the quarantine of its request changed. */
export interface SuspectChange {
  readonly record: SuspectRecord;
  readonly transition: "none" | "quarantined" | "released";
}

const CRASHES_TO_QUARANTINE = 2;
/**
 * Applies if the same other workspace had requests running at every crash and
 * may therefore be the cause.
 */
const AMBIGUOUS_CRASHES_TO_QUARANTINE = 3;
/**
 * Number of crashes that must have begun after the previous one had happened.
 * Endpoints that fail together would otherwise accuse every request that runs
 * on several of them.
 */
const MIN_SUCCESSIVE_CRASHES = 2;
const MAX_RECORDS_PER_WORKSPACE = 1_000;
const MAX_RECORDS = 4_000;
const MAX_AFFECTED_PER_ENDPOINT = 256;
const EXPIRY_PERIOD_MS = 10_000;

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
  /** Time since which this daemon quarantines a request, by record key. */
  readonly #quarantinedSinceMs = new Map<string, number>();
  readonly #didChange = new Emitter<SuspectChange>();
  #recordCount = 0;
  #nextExpiryMs = -Infinity;

  /** Fires after a record has changed. */
  readonly onDidChange = this.#didChange.event;

  /** @param clock - Clock for the expiry of records. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether there are no records at all. */
  get isEmpty(): boolean {
    return this.#recordCount === 0;
  }

  /** @returns All records that have not expired. */
  records(): SuspectRecord[] {
    const all = [...this.#workspaces.values()].flatMap(
      (records) => [...records.values()],
    );
    return all.filter((record) => this.#isCurrent(record));
  }

  /** @returns The record of a request, if there is one. */
  get(
    workspace: WorkspaceId,
    fingerprint: string,
  ): SuspectRecord | undefined {
    return this.#find(workspace, fingerprint);
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
      const sinceMs = this.#quarantinedSinceMs.get(keyOf(record)) ??
        this.#clock.nowMs();
      return [{ fingerprint, workspace, untilMs, sinceMs, endpoints }];
    });
  }

  /** @returns The quarantined request, or `undefined` if it may run. */
  quarantineOf(
    workspace: WorkspaceId,
    fingerprint: string,
  ): QuarantinedRequest | undefined {
    if (this.quarantinedUntilMs(workspace, fingerprint) === undefined) {
      return undefined;
    }
    return this.listQuarantined().find((listed) =>
      listed.workspace === workspace && listed.fingerprint === fingerprint
    );
  }

  /**
   * Records that a process of an endpoint answered after suspected crashes.
   *
   * @param endpoint - Identifier of the endpoint and its process.
   */
  refute(endpoint: string): void {
    this.#updateEvidence(
      (crash) =>
        crash.endpoint === endpoint && evidenceOf(crash) === "suspected",
      "refuted",
    );
  }

  /**
   * Records that another process has taken the place of an endpoint's.
   *
   * @param endpoint - Identifier of the endpoint and its process.
   * @param sinceMs - Wall-clock time in milliseconds from which crashes are
   * confirmed.
   */
  confirm(endpoint: string, sinceMs: number): void {
    this.#updateEvidence(
      (crash) =>
        crash.endpoint === endpoint && crash.atMs >= sinceMs &&
        evidenceOf(crash) !== "confirmed",
      "confirmed",
    );
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
    if (!existing && !this.#isCurrent(record)) return record;
    for (const { endpoint, atMs } of record.deaths) {
      this.#addAffected(endpoint, { workspace: record.workspace, atMs });
    }
    if (existing && isSameRecord(existing, merged)) return existing;
    this.#store(merged);
    const transition = this.#updateTransition(merged);
    this.#didChange.fire({ record: merged, transition });
    return merged;
  }

  /** Notes whether the quarantine of a request began or ended. */
  #updateTransition(record: SuspectRecord): SuspectChange["transition"] {
    const key = keyOf(record);
    const isQuarantined = this.#quarantineEndMs(record) !== undefined;
    if (isQuarantined === this.#quarantinedSinceMs.has(key)) return "none";
    if (isQuarantined) this.#quarantinedSinceMs.set(key, this.#clock.nowMs());
    else this.#quarantinedSinceMs.delete(key);
    return isQuarantined ? "quarantined" : "released";
  }

  #updateEvidence(
    matches: (crash: EndpointCrash) => boolean,
    evidence: CrashEvidence,
  ): void {
    for (const record of this.records()) {
      if (!record.deaths.some(matches)) continue;
      const deaths = record.deaths.map((crash) =>
        matches(crash) ? { ...crash, evidence } : crash
      );
      this.merge({ ...record, deaths });
    }
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
    if (!records.delete(record.fingerprint)) this.#recordCount++;
    records.set(record.fingerprint, record);
    if (records.size > MAX_RECORDS_PER_WORKSPACE) this.#evictOldest(records);
    if (this.#recordCount > MAX_RECORDS) {
      const [largest] = [...this.#workspaces.values()].sort((left, right) =>
        right.size - left.size
      );
      this.#evictOldest(largest!);
    }
    this.#expire();
  }

  #evictOldest(records: Map<string, SuspectRecord>): void {
    this.#remove(records.values().next().value!);
  }

  #remove(record: SuspectRecord): void {
    const { workspace, fingerprint } = record;
    const records = this.#workspaces.get(workspace);
    if (!records?.delete(fingerprint)) return;
    this.#recordCount--;
    this.#quarantinedSinceMs.delete(keyOf(record));
    if (records.size === 0) this.#workspaces.delete(workspace);
  }

  /** Removes what no longer counts, at most once in a period. */
  #expire(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs < this.#nextExpiryMs) return;
    this.#nextExpiryMs = nowMs + EXPIRY_PERIOD_MS;
    for (const records of [...this.#workspaces.values()]) {
      for (const record of [...records.values()]) {
        if (!this.#isCurrent(record)) this.#remove(record);
      }
    }
    const oldestMs = this.#clock.nowMs() - QUARANTINE_DURATION_MS;
    for (const [endpoint, affected] of this.#affected) {
      if (affected.every(({ atMs }) => atMs <= oldestMs)) {
        this.#affected.delete(endpoint);
      }
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

  #crashesOf(record: SuspectRecord | undefined): EndpointCrash[] {
    if (!record) return [];
    const { clearedMs, deaths } = record;
    return countedCrashes(deaths, this.#clock.nowMs(), clearedMs);
  }

  #quarantineEndMs(record: SuspectRecord | undefined): number | undefined {
    const crashes = this.#crashesOf(record);
    if (!record || crashes.length < CRASHES_TO_QUARANTINE) return undefined;
    if (countSuccessive(crashes) < MIN_SUCCESSIVE_CRASHES) return undefined;
    const isAmbiguous = this.#isAmbiguous(crashes, record.workspace);
    if (isAmbiguous && crashes.length < AMBIGUOUS_CRASHES_TO_QUARANTINE) {
      return undefined;
    }
    const last = crashes.at(-1)!;
    return last.atMs + countedDurationMs(last);
  }
}

/** Returns the key of a record in maps across workspaces. */
function keyOf({ workspace, fingerprint }: SuspectRecord): string {
  return `${workspace} ${fingerprint}`;
}

function isSameRecord(left: SuspectRecord, right: SuspectRecord): boolean {
  return left.clearedMs === right.clearedMs &&
    areSameCrashes(left.deaths, right.deaths);
}

function mergeRecords(
  left: SuspectRecord,
  right: SuspectRecord,
): SuspectRecord {
  return {
    ...left,
    deaths: mergeCrashes(left.deaths, right.deaths),
    clearedMs: Math.max(left.clearedMs, right.clearedMs),
  };
}
