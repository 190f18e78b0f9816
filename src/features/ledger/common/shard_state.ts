/**
 * State of one shard of the ledger: a small head, which every commit replaces
 * by one compare-and-swap, and sealed segments, which never change.
 */

import {
  type ClaimRecord,
  decodeRecord,
  encodeRecord,
} from "./claim_record.ts";

/** A sealed segment that the head refers to. */
export interface SegmentReference {
  /** Key of the segment in the store. */
  readonly key: string;
  /** Time of its newest record, in wall-clock milliseconds. */
  readonly newestMs: number;
}

/** The one value that a commit replaces. */
export interface ShardHead {
  /** Revision of the store at which it was read or written; 0 when absent. */
  readonly revision: number;
  /** Oldest segment first. */
  readonly segments: readonly SegmentReference[];
  /** Newest record of each key that is not in a segment yet. */
  readonly records: ReadonlyMap<string, ClaimRecord>;
}

/** Records of one segment by key. */
export type SegmentRecords = ReadonlyMap<string, ClaimRecord>;

/** The head of a shard that nobody has written yet. */
export const EMPTY_HEAD: ShardHead = {
  revision: 0,
  segments: [],
  records: new Map(),
};

/**
 * @param segments - The segments.
 * @param records - The records of the head.
 * @returns The value for the store.
 */
export function encodeHead(
  segments: readonly SegmentReference[],
  records: Iterable<ClaimRecord>,
): string {
  const encoded = [...records].map(encodeRecord).join(",");
  return `{"segments":${JSON.stringify(segments)},"records":[${encoded}]}`;
}

/**
 * @param value - The value from the store.
 * @param revision - Its revision.
 * @returns The head.
 */
export function decodeHead(value: string, revision: number): ShardHead {
  const parsed = JSON.parse(value) as {
    readonly segments: readonly SegmentReference[];
    readonly records: readonly unknown[];
  };
  const records = parsed.records.map(decodeRecord);
  return {
    revision,
    segments: parsed.segments,
    records: new Map(records.map((record) => [record.key, record])),
  };
}

/** Finds the newest record of a key in a head and its segments. */
export class ShardSnapshot {
  readonly #head: ShardHead;
  readonly #segments: ReadonlyMap<string, SegmentRecords>;

  /**
   * @param head - The head.
   * @param segments - Records of each segment that the head refers to.
   */
  constructor(
    head: ShardHead,
    segments: ReadonlyMap<string, SegmentRecords>,
  ) {
    this.#head = head;
    this.#segments = segments;
  }

  /** The head that is read. */
  get head(): ShardHead {
    return this.#head;
  }

  /** @returns The newest record of a key, expired or not. */
  find(key: string): ClaimRecord | undefined {
    const inHead = this.#head.records.get(key);
    if (inHead) return inHead;
    const { segments } = this.#head;
    for (let index = segments.length - 1; index >= 0; index--) {
      const record = this.#segments.get(segments[index]!.key)?.get(key);
      if (record) return record;
    }
    return undefined;
  }
}
