/**
 * Reads and writes the state of one shard in the store. The head is replaced by
 * compare-and-swap; segments are written once and cached.
 */

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

/** Prefix of all store keys of the ledger. */
export const LEDGER_KEY_PREFIX = "ledger/";

const MAX_LOAD_ATTEMPTS = 3;
const MAX_PARALLEL_READS = 8;

/** Result of a commit that the store processed. */
export type CommitResult = "written" | "conflict";

/** Provides access to the stored state of one shard. */
export class ShardStore {
  readonly #store: StoreClient;
  readonly #headKey: string;
  readonly #segmentPrefix: string;
  readonly #segmentCache = new Map<string, SegmentRecords>();
  /** Keys of segments written since the last commit. */
  readonly #uncommittedSegments = new Set<string>();
  #head: ShardHead | undefined;

  /**
   * @param store - Client of the store.
   * @param shard - Number of the shard.
   */
  constructor(store: StoreClient, shard: number) {
    this.#store = store;
    this.#headKey = `${LEDGER_KEY_PREFIX}${shard}/head`;
    this.#segmentPrefix = `${LEDGER_KEY_PREFIX}${shard}/segments/`;
  }

  /** State last read or written, or `undefined` if it must be loaded. */
  get snapshot(): ShardSnapshot | undefined {
    return this.#head && new ShardSnapshot(this.#head, this.#segmentCache);
  }

  /** Loads the head and those of its segments that are not cached. */
  async load(): AsyncEither<StoreFailure, ShardSnapshot> {
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt++) {
      const read = await this.#store.get(this.#headKey);
      const failure = leftOf(read);
      if (failure) return Left(failure);
      const adopted = await this.#adoptHead(rightOf(read));
      if (adopted.isLeft() || rightOf(adopted) === true) break;
    }
    const { snapshot } = this;
    return snapshot
      ? Right(snapshot)
      : Left(this.#createMissingSegmentFailure());
  }

  /**
   * Replaces the head, provided that it still has the given revision. After a
   * failure, the write may still take effect until another write of the head
   * succeeds.
   *
   * @param builder - Builder of the new head.
   * @param revision - Revision of the head that the builder started from.
   */
  async commit(
    builder: ShardHeadBuilder,
    revision: number,
  ): AsyncEither<StoreFailure, CommitResult> {
    const written = await this.#store.put({
      key: this.#headKey,
      value: encodeHead(builder.segments, builder.records.values()),
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
      segments: builder.segments,
      records: builder.records,
    };
    this.#deleteUnreferencedSegments(builder);
    return Right("written");
  }

  /**
   * Writes the records of a head as a segment. The key contains the revision of
   * the head, so that all hosts that seal this head write the same value. No
   * head refers to the segment until one that does is committed.
   *
   * @param head - Head to seal.
   * @returns The store key of the segment.
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

  /**
   * Adopts a head read from the store and loads its missing segments.
   *
   * @returns Whether all segments exist.
   */
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
   * Deletes segments that the new head does not refer to. This is safe only
   * after a commit by this host: no earlier write of the head can take effect
   * any more, so none can refer to the deleted segments.
   */
  #deleteUnreferencedSegments(
    { expiredSegments, segments }: ShardHeadBuilder,
  ): void {
    const kept = new Set(segments.map(({ key }) => key));
    const unused = [...this.#uncommittedSegments].filter((key) =>
      !kept.has(key)
    );
    this.#uncommittedSegments.clear();
    for (
      const key of [
        ...unused,
        ...expiredSegments.map((segment) => segment.key),
      ]
    ) {
      this.#segmentCache.delete(key);
      this.#deleteSegment(key);
    }
  }

  /**
   * Deletes a segment in the background. Failures are ignored: an unreferenced
   * segment occupies space but does not influence decisions.
   */
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
