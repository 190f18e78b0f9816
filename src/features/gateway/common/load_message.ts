/** Messages about what daemons use of endpoints, and their batches. */

import type { Clock } from "../../../base/common/clock.ts";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import type { UseRow } from "./load_board.ts";

/** Rows of one daemon. */
export interface RowGroup {
  /** The daemon that uses the endpoints. */
  readonly host: HostId;
  /** Grows with each group of this daemon. */
  readonly revision: number;
  /** Whether these are all rows that it has. */
  readonly isWhole: boolean;
  readonly rows: readonly UseRow[];
}

/** Rows of some daemons. */
export interface LoadMessage {
  /** Whether the sender asks to be told of the others in turn. */
  readonly isReport: boolean;
  readonly groups: readonly RowGroup[];
}

/** Channel of the rows; each row is an array to keep messages small. */
export const LOAD_CHANNEL: PeerChannelSpec<LoadMessage> = {
  name: "load.v2",
  encode: ({ isReport, groups }) => [isReport, groups.map(encodeGroup)],
  decode: decodeLoadMessage,
};

/** Collects groups for a while, the newest row of each endpoint counting. */
export class RowBatch {
  readonly #clock: Clock;
  readonly #delayMs: number;
  readonly #onDue: () => void;
  readonly #groups = new Map<HostId, RowGroup>();
  #isScheduled = false;

  /**
   * @param clock - Clock of the delay.
   * @param delayMs - Time for which groups are collected.
   * @param onDue - Called when it is over.
   */
  constructor(clock: Clock, delayMs: number, onDue: () => void) {
    this.#clock = clock;
    this.#delayMs = delayMs;
    this.#onDue = onDue;
  }

  /** Adds a group that is newer than the earlier ones of its daemon. */
  add(group: RowGroup): void {
    const earlier = this.#groups.get(group.host);
    this.#groups.set(group.host, earlier ? merge(earlier, group) : group);
    this.schedule();
  }

  /** Ends the collecting after the delay, unless that is under way. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#clock.setTimer(this.#delayMs, () => {
      this.#isScheduled = false;
      this.#onDue();
    });
  }

  /** @returns What was collected; the batch is empty afterwards. */
  take(): readonly RowGroup[] {
    const groups = [...this.#groups.values()];
    this.#groups.clear();
    return groups;
  }
}

function merge(earlier: RowGroup, later: RowGroup): RowGroup {
  if (later.isWhole) return later;
  const rows = new Map(earlier.rows.map((row) => [row.endpoint, row]));
  for (const row of later.rows) rows.set(row.endpoint, row);
  return { ...later, isWhole: earlier.isWhole, rows: [...rows.values()] };
}

function encodeGroup(group: RowGroup): readonly unknown[] {
  const { host, revision, isWhole, rows } = group;
  return [host, revision, isWhole, rows.map(encodeRow)];
}

function encodeRow(row: UseRow): readonly unknown[] {
  const { endpoint, runs, memoryTokens, unreadTokens, copyTokens } = row;
  return [endpoint, runs, memoryTokens, unreadTokens, copyTokens];
}

function decodeLoadMessage(body: unknown): Either<string, LoadMessage> {
  if (!Array.isArray(body)) return Left("not an array");
  const [isReport, values] = body as unknown[];
  if (typeof isReport !== "boolean" || !Array.isArray(values)) {
    return Left("not a flag and groups");
  }
  const groups: RowGroup[] = [];
  for (const value of values as unknown[]) {
    const group = decodeGroup(value);
    if (!group) return Left("a malformed group of rows");
    groups.push(group);
  }
  return Right({ isReport, groups });
}

function decodeGroup(value: unknown): RowGroup | undefined {
  if (!Array.isArray(value)) return undefined;
  const [host, revision, isWhole, values] = value as unknown[];
  const isSound = typeof host === "string" && isFigure(revision) &&
    typeof isWhole === "boolean" && Array.isArray(values);
  if (!isSound) return undefined;
  const rows: UseRow[] = [];
  for (const one of values as unknown[]) {
    const row = decodeRow(one);
    if (!row) return undefined;
    rows.push(row);
  }
  return { host: host as HostId, revision, isWhole, rows };
}

function decodeRow(value: unknown): UseRow | undefined {
  if (!Array.isArray(value) || typeof value[0] !== "string") return undefined;
  const figures = value.slice(1) as unknown[];
  if (figures.length !== 4 || !figures.every(isFigure)) return undefined;
  const [runs, memoryTokens, unreadTokens, copyTokens] = figures as number[];
  return {
    endpoint: value[0] as EndpointId,
    runs: runs!,
    memoryTokens: memoryTokens!,
    unreadTokens: unreadTokens!,
    copyTokens: copyTokens!,
  };
}

function isFigure(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}
