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
  ShardReader,
} from "./shard_state.ts";
import type { ShardDraft } from "./shard_draft.ts";

/** Start of all store keys of the ledger. */
export const LEDGER_KEY_PREFIX = "ledger/";

const MAX_LOAD_TRIES = 3;
const PARALLEL_READS = 8;

/** What became of a commit that the store decided. */
export type CommitResult = "written" | "conflict";

/** The store's side of one shard. */
export class ShardLog {
  readonly #store: StoreClient;
  readonly #headKey: string;
  readonly #segmentPrefix: string;
  readonly #segments = new Map<string, SegmentRecords>();
  /** Segments written since the last commit. */
  readonly #unsettled = new Set<string>();
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
  get reader(): ShardReader | undefined {
    return this.#head && new ShardReader(this.#head, this.#segments);
  }

  /** Reads the head, and the segments that are not known yet. */
  async load(): AsyncEither<StoreFailure, ShardReader> {
    for (let tries = 0; tries < MAX_LOAD_TRIES; tries++) {
      const read = await this.#store.get(this.#headKey);
      const failure = leftOf(read);
      if (failure) return Left(failure);
      const taken = await this.#take(rightOf(read));
      if (taken.isLeft() || rightOf(taken) === true) break;
    }
    const { reader } = this;
    return reader ? Right(reader) : Left(this.#missingSegment());
  }

  /**
   * Writes a draft over the state that it was made from. After a failure the
   * write may still take effect until another write of the head does.
   */
  async commit(
    draft: ShardDraft,
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
      await this.#take(result.current);
      return Right("conflict");
    }
    this.#head = {
      revision: result.revision,
      segments: draft.segments,
      records: draft.records,
    };
    this.#deleteUnused(draft);
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
    this.#segments.set(key, head.records);
    this.#unsettled.add(key);
    return Right(key);
  }

  /** @returns Whether all segments of the head are there. */
  async #take(
    entry: StoreEntry | undefined,
  ): AsyncEither<StoreFailure, boolean> {
    const head = entry ? decodeHead(entry.value, entry.revision) : EMPTY_HEAD;
    this.#head = undefined;
    const missing = head.segments
      .map(({ key }) => key)
      .filter((key) => !this.#segments.has(key));
    for (let index = 0; index < missing.length; index += PARALLEL_READS) {
      const keys = missing.slice(index, index + PARALLEL_READS);
      const reads = await Promise.all(
        keys.map((key) => this.#readSegment(key)),
      );
      const failed = reads.map(leftOf).find((failure) => failure !== undefined);
      if (failed) return Left(failed);
      if (reads.some((read) => rightOf(read) === false)) return Right(false);
    }
    this.#forgetSegmentsExcept(head);
    this.#head = head;
    return Right(true);
  }

  async #readSegment(key: string): AsyncEither<StoreFailure, boolean> {
    const read: Either<StoreFailure, StoreEntry | undefined> = await this.#store
      .get(key);
    return read.map((entry) => {
      if (!entry) return false;
      this.#segments.set(key, decodeHead(entry.value, 0).records);
      return true;
    });
  }

  #forgetSegmentsExcept(head: ShardHead): void {
    const kept = new Set(head.segments.map(({ key }) => key));
    for (const key of this.#segments.keys()) {
      if (!kept.has(key) && !this.#unsettled.has(key)) {
        this.#segments.delete(key);
      }
    }
  }

  /**
   * Only after a commit of our own: no earlier write of the head can take
   * effect any more, and so none can refer to what is deleted.
   */
  #deleteUnused({ expired, segments }: ShardDraft): void {
    const kept = new Set(segments.map(({ key }) => key));
    const unused = [...this.#unsettled].filter((key) => !kept.has(key));
    this.#unsettled.clear();
    for (const key of [...unused, ...expired.map((segment) => segment.key)]) {
      this.#segments.delete(key);
      this.#deleteKey(key);
    }
  }

  /** A segment that stays behind takes room but decides nothing. */
  #deleteKey(key: string): void {
    void this.#store.get(key).then((read) => {
      const revision = rightOf(read)?.revision;
      if (revision === undefined) return;
      void this.#store.delete({ key, expectedRevision: revision });
    });
  }

  #missingSegment(): StoreFailure {
    return {
      kind: "not-done",
      step: "ledger.load",
      peer: "store",
      detail: "a segment of the ledger is missing",
    };
  }
}
