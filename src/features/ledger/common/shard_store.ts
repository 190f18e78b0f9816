/** Reads and commits the state of one shard in the store. */

import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";
import {
  decodeHead,
  EMPTY_HEAD,
  encodeHead,
  type SegmentRecords,
  type ShardHead,
  ShardSnapshot,
} from "./shard_state.ts";
import type { ShardHeadBuilder } from "./shard_head_builder.ts";

/** Start of all store keys of the ledger. */
export const LEDGER_KEY_PREFIX = "ledger/";

const MAX_LOAD_ATTEMPTS = 3;
const MAX_PARALLEL_READS = 8;

/** What became of a commit that the store decided. */
export type CommitResult = "written" | "conflict";

/** The store's side of one shard. */
export class ShardStore {
  readonly #store: StoreClient;
  readonly #headKey: string;
  readonly #segmentPrefix: string;
  readonly #segmentCache = new Map<string, SegmentRecords>();
  /** Segments written since the last commit. */
  readonly #uncommittedSegments = new Set<string>();
  #head: ShardHead | undefined;

  /**
   * @param store - The store.
   * @param shard - Number of the shard.
   */
  constructor(store: StoreClient, shard: number) {
    this.#store = store;
    this.#headKey = `${LEDGER_KEY_PREFIX}${shard}/head`;
    this.#segmentPrefix = `${LEDGER_KEY_PREFIX}${shard}/segments/`;
  }

  /** The state last read or written, or `undefined` when it is not known. */
  get snapshot(): ShardSnapshot | undefined {
    return this.#head && new ShardSnapshot(this.#head, this.#segmentCache);
  }

  /** Reads the head, and the segments that are not known yet. */
  async load(): AsyncEither<StoreFailure, ShardSnapshot> {
    for (let tries = 0; tries < MAX_LOAD_ATTEMPTS; tries++) {
      const read = await this.#store.get(this.#headKey);
      const failure = leftOf(read);
      if (failure) return Left(failure);
      const taken = await this.#adoptHead(rightOf(read));
      if (taken.isLeft() || rightOf(taken) === true) break;
    }
    const { snapshot: reader } = this;
    return reader ? Right(reader) : Left(this.#createMissingSegmentFailure());
  }

  /**
   * Writes a draft over the state that it was made from. After a failure the
   * write may still take effect until another write of the head does.
   */
  async commit(
    draft: ShardHeadBuilder,
    revision: number,
  ): AsyncEither<StoreFailure, CommitResult> {
    const written = await this.#store.put({
      key: this.#headKey,
      value: encodeHead(draft.segments, draft.records.values()),
      expectedRevision: revision,
    });
    const failure = leftOf(written);
    if (failure) return Left(failure);
    const result = rightOf(written)!;
    if (result.kind === "conflict") {
      this.#head = undefined;
      await this.#adoptHead(result.current);
      return Right("conflict");
    }
    this.#head = {
      revision: result.revision,
      segments: draft.segments,
      records: draft.records,
    };
    this.#deleteUnreferencedSegments(draft);
    return Right("written");
  }

  /**
   * Writes the records of a head as a segment. Its key is the head's revision,
   * so that every host which seals this head writes the same value. The head
   * does not refer to the segment before a draft is committed.
   */
  async writeSegment(head: ShardHead): AsyncEither<StoreFailure, string> {
    const key = `${this.#segmentPrefix}${head.revision}`;
    const value = encodeHead([], head.records.values());
    const written = await this.#store.put({ key, value, expectedRevision: 0 });
    const failure = leftOf(written);
    if (failure) return Left(failure);
    this.#segmentCache.set(key, head.records);
    this.#uncommittedSegments.add(key);
    return Right(key);
  }

  /** @returns Whether all segments of the head are there. */
  async #adoptHead(
    entry: StoreEntry | undefined,
  ): AsyncEither<StoreFailure, boolean> {
    const head = entry ? decodeHead(entry.value, entry.revision) : EMPTY_HEAD;
    this.#head = undefined;
    const missing = head.segments
      .map(({ key }) => key)
      .filter((key) => !this.#segmentCache.has(key));
    for (let index = 0; index < missing.length; index += MAX_PARALLEL_READS) {
      const keys = missing.slice(index, index + MAX_PARALLEL_READS);
      const reads = await Promise.all(
        keys.map((key) => this.#cacheSegment(key)),
      );
      const failed = reads.map(leftOf).find((failure) => failure !== undefined);
      if (failed) return Left(failed);
      if (reads.some((read) => rightOf(read) === false)) return Right(false);
    }
    this.#evictSegmentsExcept(head);
    this.#head = head;
    return Right(true);
  }

  async #cacheSegment(key: string): AsyncEither<StoreFailure, boolean> {
    const read: Either<StoreFailure, StoreEntry | undefined> = await this.#store
      .get(key);
    return read.map((entry) => {
      if (!entry) return false;
      this.#segmentCache.set(key, decodeHead(entry.value, 0).records);
      return true;
    });
  }

  #evictSegmentsExcept(head: ShardHead): void {
    const kept = new Set(head.segments.map(({ key }) => key));
    for (const key of this.#segmentCache.keys()) {
      if (!kept.has(key) && !this.#uncommittedSegments.has(key)) {
        this.#segmentCache.delete(key);
      }
    }
  }

  /**
   * Only after a commit of our own: no earlier write of the head can take
   * effect any more, and so none can refer to what is deleted.
   */
  #deleteUnreferencedSegments(
    { expiredSegments: expired, segments }: ShardHeadBuilder,
  ): void {
    const kept = new Set(segments.map(({ key }) => key));
    const unused = [...this.#uncommittedSegments].filter((key) =>
      !kept.has(key)
    );
    this.#uncommittedSegments.clear();
    for (const key of [...unused, ...expired.map((segment) => segment.key)]) {
      this.#segmentCache.delete(key);
      this.#deleteSegment(key);
    }
  }

  /** A segment that stays behind takes room but decides nothing. */
  #deleteSegment(key: string): void {
    void this.#store.get(key).then((read) => {
      const revision = rightOf(read)?.revision;
      if (revision === undefined) return;
      void this.#store.delete({ key, expectedRevision: revision });
    });
  }

  #createMissingSegmentFailure(): StoreFailure {
    return {
      kind: "not-done",
      step: "ledger.load",
      peer: "store",
      detail: "a segment of the ledger is missing",
    };
  }
}
