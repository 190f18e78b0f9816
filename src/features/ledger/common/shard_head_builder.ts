/**
 * Builds the next head of a shard by applying a batch of operations to its
 * current state.
 */

import { type ClaimRecord, encodeRecord } from "./claim_record.ts";
import {
  decideOperation,
  type DecisionContext,
  type LedgerOperation,
  type OperationResult,
} from "./claim_operation.ts";
import type { SegmentReference, ShardSnapshot } from "./shard_state.ts";

/** Retention time and size limits of a shard. */
export interface ShardLimits {
  /** Time in milliseconds for which a key is kept after its last record. */
  readonly keepMs: number;
  /** Size of the head above which its records are sealed into a segment. */
  readonly sealThresholdBytes: number;
  /**
   * Maximum number of segments. With that many, claims are accepted only while
   * the head is below its seal threshold.
   */
  readonly maxSegments: number;
  /** Size of the head above which ends are rejected as well. */
  readonly maxHeadBytes: number;
}

/** Accumulates the changes of a batch of operations into a new head. */
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
   * @param snapshot - State of the shard to start from.
   * @param limits - Limits of the shard.
   * @param context - Current time and the state of the claim holders.
   */
  constructor(
    snapshot: ShardSnapshot,
    limits: ShardLimits,
    context: DecisionContext,
  ) {
    this.#snapshot = snapshot;
    this.#limits = limits;
    this.#context = context;
    const { segments, records } = snapshot.head;
    const isRetained = ({ newestMs }: SegmentReference): boolean =>
      newestMs + limits.keepMs > context.nowMs;
    this.#segments = segments.filter(isRetained);
    this.#expiredSegments = segments.filter((segment) => !isRetained(segment));
    this.#records = new Map();
    for (const record of records.values()) this.#addIfRetained(record);
  }

  /** Whether the new head differs from the snapshot by more than expiry. */
  get isChanged(): boolean {
    return this.#isChanged;
  }

  /** Whether the records must be sealed into a segment before adding more. */
  get needsSeal(): boolean {
    return this.#sizeBytes > this.#limits.sealThresholdBytes &&
      this.#segments.length < this.#limits.maxSegments;
  }

  /** Segments that the new head refers to. */
  get segments(): readonly SegmentReference[] {
    return this.#segments;
  }

  /** Expired segments, which the new head no longer refers to. */
  get expiredSegments(): readonly SegmentReference[] {
    return this.#expiredSegments;
  }

  /** Records that the new head contains. */
  get records(): ReadonlyMap<string, ClaimRecord> {
    return this.#records;
  }

  /**
   * Replaces the records of the head by a reference to a segment that contains
   * them. They remain visible to decisions.
   *
   * @param key - Store key of the segment, which must have been written.
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

  /** Decides an operation and applies the resulting record to the head. */
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

  /**
   * Returns whether an operation fits. The limit for ends is higher than the one
   * for claims, so that the runs of accepted claims can still be ended.
   */
  #hasCapacityFor(operation: LedgerOperation): boolean {
    const { sealThresholdBytes, maxSegments, maxHeadBytes } = this.#limits;
    if (this.#sizeBytes > maxHeadBytes) return false;
    if (operation.kind === "end") return true;
    return this.#segments.length < maxSegments ||
      this.#sizeBytes < sealThresholdBytes;
  }

  #dropResponseIfNearlyFull(record: ClaimRecord): ClaimRecord {
    const isNearlyFull = this.#segments.length * 2 > this.#limits.maxSegments;
    if (!isNearlyFull || record.state.kind !== "done") return record;
    return { ...record, state: { kind: "done" } };
  }
}

/**
 * Returns the time from which a record is retained. A running claim is retained
 * for its whole run, regardless of how long its route allows it to take.
 */
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
