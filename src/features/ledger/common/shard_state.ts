/**
 * Defines the state of one shard of the ledger: a small head, which each commit
 * replaces by a single compare-and-swap, and sealed segments, which are
 * immutable.
 */

import {
  type ClaimRecord,
  decodeRecord,
  encodeRecord,
} from "./claim_record.ts";

/** Reference from the head to a sealed segment. */
export interface SegmentReference {
  /** Store key of the segment. */
  readonly key: string;
  /** Latest wall-clock time in milliseconds from which a record is retained. */
  readonly newestMs: number;
}

/** Part of the state that a commit replaces. */
export interface ShardHead {
  /** Revision at which the head was read or written; 0 if it does not exist. */
  readonly revision: number;
  /** Segments, oldest first. */
  readonly segments: readonly SegmentReference[];
  /** Newest record of each key changed since the last seal. */
  readonly records: ReadonlyMap<string, ClaimRecord>;
}

/** Records of a segment by key. */
export type SegmentRecords = ReadonlyMap<string, ClaimRecord>;

/** Head of a shard that has not been written yet. */
export const EMPTY_HEAD: ShardHead = {
  revision: 0,
  segments: [],
  records: new Map(),
};

/**
 * Encodes a head for the store.
 *
 * @param segments - Segments that the head refers to.
 * @param records - Records of the head.
 * @returns The head as JSON.
 */
export function encodeHead(
  segments: readonly SegmentReference[],
  records: Iterable<ClaimRecord>,
): string {
  const encoded = [...records].map(encodeRecord).join(",");
  return `{"segments":${JSON.stringify(segments)},"records":[${encoded}]}`;
}

/**
 * Decodes a head from the store.
 *
 * @param value - Value read from the store.
 * @param revision - Revision of the value.
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

/** View of a head and its segments that finds the newest record of a key. */
export class ShardSnapshot {
  readonly #head: ShardHead;
  readonly #segments: ReadonlyMap<string, SegmentRecords>;

  /**
   * @param head - Head of the shard.
   * @param segments - Records by segment key, for each segment of the head.
   */
  constructor(
    head: ShardHead,
    segments: ReadonlyMap<string, SegmentRecords>,
  ) {
    this.#head = head;
    this.#segments = segments;
  }

  /** Head of the shard. */
  get head(): ShardHead {
    return this.#head;
  }

  /** @returns The newest record of a key, whether it has expired or not. */
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
