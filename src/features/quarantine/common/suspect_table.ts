/** Which requests have been running when an endpoint died. */

import type { Clock } from "../../../base/common/clock.ts";
import type { WorkspaceId } from "../../../base/common/ids.ts";

/** An unannounced death of an endpoint. */
export interface EndpointCrash {
  /** Service and endpoint. */
  readonly endpoint: string;
  /** Wall-clock time. */
  readonly atMs: number;
  /** Other workspaces that had requests running there. */
  readonly otherWorkspaces: readonly WorkspaceId[];
}

/** All that is known of one request; records of two daemons can be joined. */
export interface SuspectRecord {
  /** Hash of the workspace and the canonical request. */
  readonly fingerprint: string;
  readonly workspace: WorkspaceId;
  readonly deaths: readonly EndpointCrash[];
  /** Deaths up to this wall-clock time no longer count. */
  readonly clearedMs: number;
}

/** A request that is refused, for operators. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  readonly workspace: WorkspaceId;
  /** Wall-clock time at which it may run again. */
  readonly untilMs: number;
  readonly endpoints: readonly string[];
}

/** Time for which a death counts, and for which a request is refused. */
export const QUARANTINE_DURATION_MS = 600_000;
/** Most deaths that a record keeps. */
export const MAX_CRASHES_PER_RECORD = 8;

const CRASHES_TO_QUARANTINE = 2;
/** Another workspace was there each time, and may be the cause. */
const AMBIGUOUS_CRASHES_TO_QUARANTINE = 3;
/** Reports of one endpoint within this time are about one death. */
const SAME_CRASH_WINDOW_MS = 10_000;
const MAX_RECORDS_PER_WORKSPACE = 1_000;
const MAX_AFFECTED_PER_ENDPOINT = 256;

/** A workspace that had a request running when an endpoint died. */
interface AffectedWorkspace {
  readonly workspace: WorkspaceId;
  readonly atMs: number;
}

/** Records of all workspaces, each bounded by itself. */
export class SuspectTable {
  readonly #clock: Clock;
  readonly #workspaces = new Map<WorkspaceId, Map<string, SuspectRecord>>();
  readonly #affected = new Map<string, AffectedWorkspace[]>();

  /** @param clock - Clock of the expiry. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns All records that count. */
  records(): SuspectRecord[] {
    const all = [...this.#workspaces.values()].flatMap(
      (records) => [...records.values()],
    );
    return all.filter((record) => this.#isCurrent(record));
  }

  /** @returns Whether the request was running when an endpoint died. */
  isSuspect(workspace: WorkspaceId, fingerprint: string): boolean {
    return this.#crashesOf(this.#find(workspace, fingerprint)).length > 0;
  }

  /**
   * @returns Wall-clock time until which the request is refused, or
   * `undefined`.
   */
  quarantinedUntilMs(
    workspace: WorkspaceId,
    fingerprint: string,
  ): number | undefined {
    return this.#quarantineEndMs(this.#find(workspace, fingerprint));
  }

  /** @returns The requests that are refused now. */
  listQuarantined(): QuarantinedRequest[] {
    return this.records().flatMap((record) => {
      const untilMs = this.#quarantineEndMs(record);
      if (untilMs === undefined) return [];
      const { fingerprint, workspace } = record;
      const endpoints = this.#crashesOf(record).map(({ endpoint }) => endpoint);
      return [{ fingerprint, workspace, untilMs, endpoints }];
    });
  }

  /** @returns The record with one more death. */
  recordCrash(
    workspace: WorkspaceId,
    fingerprint: string,
    death: EndpointCrash,
  ): SuspectRecord {
    const deaths = [death];
    return this.merge({ fingerprint, workspace, deaths, clearedMs: 0 });
  }

  /**
   * Forgets the deaths of a request so far.
   *
   * @returns The record, or `undefined` when there is none.
   */
  clear(
    workspace: WorkspaceId,
    fingerprint: string,
  ): SuspectRecord | undefined {
    const known = this.#find(workspace, fingerprint);
    if (!known || this.#crashesOf(known).length === 0) return undefined;
    return this.merge({ ...known, clearedMs: this.#clock.nowMs() });
  }

  /** Forgets a request by its fingerprint alone, for operators. */
  release(fingerprint: string): SuspectRecord | undefined {
    const record = this.records().find((known) =>
      known.fingerprint === fingerprint
    );
    return record && this.clear(record.workspace, fingerprint);
  }

  /**
   * Joins what another daemon knows; the order of joins does not matter.
   *
   * @returns The joined record.
   */
  merge(record: SuspectRecord): SuspectRecord {
    const known = this.#find(record.workspace, record.fingerprint);
    const joined = known ? mergeRecords(known, record) : record;
    for (const { endpoint, atMs } of record.deaths) {
      this.#addAffected(endpoint, { workspace: record.workspace, atMs });
    }
    this.#store(joined);
    return joined;
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

  #addAffected(endpoint: string, victim: AffectedWorkspace): void {
    const victims = this.#affected.get(endpoint) ?? [];
    this.#affected.set(endpoint, victims);
    const isKnown = victims.some(({ workspace, atMs }) =>
      workspace === victim.workspace && atMs === victim.atMs
    );
    if (isKnown) return;
    victims.push(victim);
    if (victims.length > MAX_AFFECTED_PER_ENDPOINT) victims.shift();
  }

  /** Other workspaces at a death, by this record and by those of others. */
  #otherWorkspacesAt(
    death: EndpointCrash,
    workspace: WorkspaceId,
  ): Set<WorkspaceId> {
    const others = new Set(death.otherWorkspaces);
    for (const victim of this.#affected.get(death.endpoint) ?? []) {
      const isSameDeath =
        Math.abs(victim.atMs - death.atMs) < SAME_CRASH_WINDOW_MS;
      if (isSameDeath) others.add(victim.workspace);
    }
    others.delete(workspace);
    return others;
  }

  /** Whether one other workspace was there at every death. */
  #isAmbiguous(
    deaths: readonly EndpointCrash[],
    workspace: WorkspaceId,
  ): boolean {
    const [first, ...rest] = deaths.map((death) =>
      this.#otherWorkspacesAt(death, workspace)
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

  /** Distinct deaths that still count, the earliest first. */
  #crashesOf(record: SuspectRecord | undefined): EndpointCrash[] {
    const oldestMs = this.#clock.nowMs() - QUARANTINE_DURATION_MS;
    const distinct: EndpointCrash[] = [];
    for (const death of record?.deaths ?? []) {
      const { endpoint, atMs } = death;
      if (atMs <= oldestMs || atMs <= record!.clearedMs) continue;
      const isKnown = distinct.some((other) =>
        other.endpoint === endpoint && atMs - other.atMs < SAME_CRASH_WINDOW_MS
      );
      if (!isKnown) distinct.push(death);
    }
    return distinct;
  }

  #quarantineEndMs(record: SuspectRecord | undefined): number | undefined {
    const deaths = this.#crashesOf(record);
    if (!record || deaths.length < CRASHES_TO_QUARANTINE) return undefined;
    const isAmbiguous = this.#isAmbiguous(deaths, record.workspace);
    if (isAmbiguous && deaths.length < AMBIGUOUS_CRASHES_TO_QUARANTINE) {
      return undefined;
    }
    return deaths.at(-1)!.atMs + QUARANTINE_DURATION_MS;
  }
}

function mergeRecords(
  left: SuspectRecord,
  right: SuspectRecord,
): SuspectRecord {
  const deaths = new Map<string, EndpointCrash>();
  for (const death of [...left.deaths, ...right.deaths]) {
    deaths.set(`${death.endpoint}|${death.atMs}`, death);
  }
  const inOrder = [...deaths.values()].sort((a, b) => a.atMs - b.atMs);
  return {
    ...left,
    deaths: inOrder.slice(-MAX_CRASHES_PER_RECORD),
    clearedMs: Math.max(left.clearedMs, right.clearedMs),
  };
}
