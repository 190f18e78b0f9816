/**
 * Messages that synchronize the load tables of daemons, and the batches that
 * collect their rows.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type { EndpointId, HostId } from "../../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../../services/peers/common/peer_links.ts";
import type { UsageRow } from "./load_table.ts";

/** Rows of one daemon. */
export interface UsageRowGroup {
  /** The daemon that uses the endpoints. */
  readonly host: HostId;
  /** Revision; increases with each group of the daemon. */
  readonly revision: number;
  /** Whether these are all rows of the daemon. */
  readonly isFull: boolean;
  readonly rows: readonly UsageRow[];
}

/** Rows of several daemons. */
export interface LoadMessage {
  /**
   * Whether the sender is a leaf that requests the rows of other daemons in
   * return.
   */
  readonly isReport: boolean;
  readonly groups: readonly UsageRowGroup[];
}

/** Channel for the rows. Rows are encoded as arrays to keep messages small. */
export const LOAD_CHANNEL: PeerChannelSpec<LoadMessage> = {
  name: "load.v2",
  encode: ({ isReport, groups }) => [isReport, groups.map(encodeGroup)],
  decode: decodeLoadMessage,
};

/**
 * Collects row groups for a delay and keeps only the newest row of each
 * endpoint.
 */
export class UsageRowBatch {
  readonly #clock: Clock;
  readonly #delayMs: number;
  readonly #onReady: () => void;
  readonly #groups = new Map<HostId, UsageRowGroup>();
  #isScheduled = false;

  /**
   * @param clock - Clock for the delay.
   * @param delayMs - Time for which groups are collected, in milliseconds.
   * @param onReady - Called when the delay is over.
   */
  constructor(clock: Clock, delayMs: number, onReady: () => void) {
    this.#clock = clock;
    this.#delayMs = delayMs;
    this.#onReady = onReady;
  }

  /** Adds a group, which must be newer than earlier ones of its daemon. */
  add(group: UsageRowGroup): void {
    const earlier = this.#groups.get(group.host);
    this.#groups.set(group.host, earlier ? mergeGroups(earlier, group) : group);
    this.schedule();
  }

  /** Starts the delay unless it is already running. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#clock.setTimer(this.#delayMs, () => {
      this.#isScheduled = false;
      this.#onReady();
    });
  }

  /** @returns The collected groups; the batch is empty afterwards. */
  take(): readonly UsageRowGroup[] {
    const groups = [...this.#groups.values()];
    this.#groups.clear();
    return groups;
  }
}

function mergeGroups(
  older: UsageRowGroup,
  newer: UsageRowGroup,
): UsageRowGroup {
  if (newer.isFull) return newer;
  const rows = new Map(older.rows.map((row) => [row.endpoint, row]));
  for (const row of newer.rows) rows.set(row.endpoint, row);
  return { ...newer, isFull: older.isFull, rows: [...rows.values()] };
}

function encodeGroup(group: UsageRowGroup): readonly unknown[] {
  const { host, revision, isFull, rows } = group;
  return [host, revision, isFull, rows.map(encodeRow)];
}

function encodeRow(row: UsageRow): readonly unknown[] {
  const { endpoint, runs, memoryTokens, pendingPrefillTokens, backupTokens } =
    row;
  return [endpoint, runs, memoryTokens, pendingPrefillTokens, backupTokens];
}

function decodeLoadMessage(body: unknown): Either<string, LoadMessage> {
  if (!Array.isArray(body)) return Left("the message is not an array");
  const [isReport, values] = body as unknown[];
  if (typeof isReport !== "boolean" || !Array.isArray(values)) {
    return Left("the message has no report flag or no list of row groups");
  }
  const groups: UsageRowGroup[] = [];
  for (const value of values as unknown[]) {
    const group = decodeGroup(value);
    if (!group) return Left("a row group is malformed");
    groups.push(group);
  }
  return Right({ isReport, groups });
}

function decodeGroup(value: unknown): UsageRowGroup | undefined {
  if (!Array.isArray(value)) return undefined;
  const [host, revision, isFull, values] = value as unknown[];
  const isValid = typeof host === "string" && isFiniteNumber(revision) &&
    typeof isFull === "boolean" && Array.isArray(values);
  if (!isValid) return undefined;
  const rows: UsageRow[] = [];
  for (const item of values as unknown[]) {
    const row = decodeRow(item);
    if (!row) return undefined;
    rows.push(row);
  }
  return { host: host as HostId, revision, isFull, rows };
}

function decodeRow(value: unknown): UsageRow | undefined {
  if (!Array.isArray(value) || typeof value[0] !== "string") return undefined;
  const counts = value.slice(1) as unknown[];
  if (counts.length !== 4 || !counts.every(isFiniteNumber)) return undefined;
  const [runs, memoryTokens, pendingPrefillTokens, backupTokens] =
    counts as number[];
  return {
    endpoint: value[0] as EndpointId,
    runs: runs!,
    memoryTokens: memoryTokens!,
    pendingPrefillTokens: pendingPrefillTokens!,
    backupTokens: backupTokens!,
  };
}

function isFiniteNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}
