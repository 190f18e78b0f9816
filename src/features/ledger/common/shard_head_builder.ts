/** The next head of a shard, while a batch is applied to it. */

import { type ClaimRecord, encodeRecord } from "./claim_record.ts";
import {
  decideOperation,
  type DecisionContext,
  type LedgerOperation,
  type OperationResult,
} from "./claim_operation.ts";
import type { SegmentReference, ShardSnapshot } from "./shard_state.ts";

/** Sizes of a shard. */
export interface ShardLimits {
  /** How long a key is remembered after its last record. */
  readonly keepMs: number;
  /** Size of the head at which its records are sealed into a segment. */
  readonly sealThresholdBytes: number;
  /** Most segments; a shard that has them takes no new keys. */
  readonly maxSegments: number;
  /** Largest head; a head that would be larger takes no ends either. */
  readonly maxHeadBytes: number;
}

/** A head that grows by decisions. */
export class ShardHeadBuilder {
  readonly #snapshot: ShardSnapshot;
  readonly #limits: ShardLimits;
  readonly #context: DecisionContext;
  readonly #records: Map<string, ClaimRecord>;
  #segments: readonly SegmentReference[];
  #expiredSegments: readonly SegmentReference[];
  #sizeBytes = 0;
  #isChanged = false;

  /**
   * @param reader - The state that the draft starts from.
   * @param limits - Sizes of the shard.
   * @param context - The time and the holders of claims.
   */
  constructor(
    reader: ShardSnapshot,
    limits: ShardLimits,
    context: DecisionContext,
  ) {
    this.#snapshot = reader;
    this.#limits = limits;
    this.#context = context;
    const { segments, records } = reader.head;
    const isLive = ({ newestMs }: SegmentReference): boolean =>
      newestMs + limits.keepMs > context.nowMs;
    this.#segments = segments.filter(isLive);
    this.#expiredSegments = segments.filter((segment) => !isLive(segment));
    this.#records = new Map();
    for (const record of records.values()) this.#addIfRetained(record);
  }

  /** Whether anything was recorded. */
  get isChanged(): boolean {
    return this.#isChanged;
  }

  /** Whether the records are to be sealed before more are added. */
  get needsSeal(): boolean {
    return this.#sizeBytes > this.#limits.sealThresholdBytes &&
      this.#segments.length < this.#limits.maxSegments;
  }

  /** The segments that the head will refer to. */
  get segments(): readonly SegmentReference[] {
    return this.#segments;
  }

  /** Segments that the head will no longer refer to. */
  get expiredSegments(): readonly SegmentReference[] {
    return this.#expiredSegments;
  }

  /** The records that the head will have. */
  get records(): ReadonlyMap<string, ClaimRecord> {
    return this.#records;
  }

  /**
   * Moves all records to a segment; they stay visible to decisions.
   *
   * @param key - Key of the segment in the store, already written.
   */
  seal(key: string): void {
    let newestMs = 0;
    for (const record of this.#records.values()) {
      newestMs = Math.max(newestMs, retentionStartMsOf(record));
    }
    this.#segments = [...this.#segments, { key, newestMs }];
    this.#records.clear();
    this.#sizeBytes = 0;
    this.#isChanged = true;
  }

  /** Decides one operation and records what it changes. */
  apply(operation: LedgerOperation): OperationResult {
    const { result, record } = decideOperation(
      operation,
      this.#find(operation.key),
      this.#context,
    );
    if (!record) return result;
    if (!this.#hasCapacityFor(operation)) return { kind: "full" };
    this.#put(this.#dropResponseIfNearlyFull(record));
    this.#isChanged = true;
    return result;
  }

  #find(key: string): ClaimRecord | undefined {
    const record = this.#records.get(key) ?? this.#snapshot.find(key);
    return record && this.#isRetained(record) ? record : undefined;
  }

  #isRetained(record: ClaimRecord): boolean {
    return retentionStartMsOf(record) + this.#limits.keepMs >
      this.#context.nowMs;
  }

  #addIfRetained(record: ClaimRecord): void {
    if (this.#isRetained(record)) this.#put(record);
  }

  #put(record: ClaimRecord): void {
    const replaced = this.#records.get(record.key);
    if (replaced) this.#sizeBytes -= encodedSizeOf(replaced);
    this.#records.set(record.key, record);
    this.#sizeBytes += encodedSizeOf(record);
  }

  /** Ends may use the room above the one for claims, so that they get in. */
  #hasCapacityFor(operation: LedgerOperation): boolean {
    const { sealThresholdBytes: sealBytes, maxSegments, maxHeadBytes } =
      this.#limits;
    if (this.#sizeBytes > maxHeadBytes) return false;
    if (operation.kind === "end") return true;
    return this.#segments.length < maxSegments || this.#sizeBytes < sealBytes;
  }

  #dropResponseIfNearlyFull(record: ClaimRecord): ClaimRecord {
    const isScarce = this.#segments.length * 2 > this.#limits.maxSegments;
    if (!isScarce || record.state.kind !== "done") return record;
    return { ...record, state: { kind: "done" } };
  }
}

/** A run that goes on is not forgotten, however long its route lets it last. */
function retentionStartMsOf({ atMs, state }: ClaimRecord): number {
  return state.kind === "running" ? Math.max(atMs, state.untilMs) : atMs;
}

const encodedSizes = new WeakMap<ClaimRecord, number>();

function encodedSizeOf(record: ClaimRecord): number {
  let sizeBytes = encodedSizes.get(record);
  if (sizeBytes === undefined) {
    sizeBytes = Buffer.byteLength(encodeRecord(record)) + 1;
    encodedSizes.set(record, sizeBytes);
  }
  return sizeBytes;
}
