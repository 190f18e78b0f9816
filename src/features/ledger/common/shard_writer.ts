/**
 * Commits the operations of one shard in batches, so that many operations share
 * one write to the store.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { sleep } from "../../../base/common/clock.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { StoreFailure } from "../../../services/store/common/store_client.ts";
import type { ClaimRecord } from "./claim_record.ts";
import type { LedgerOperation, OperationResult } from "./claim_operation.ts";
import type { LedgerOperationFailure } from "./claim_ledger.ts";
import { ShardHeadBuilder, type ShardLimits } from "./shard_head_builder.ts";
import type { ShardStore } from "./shard_store.ts";
import type { ShardSnapshot } from "./shard_state.ts";

/** Dependencies of a writer. */
export interface ShardWriterServices {
  readonly clock: Clock;
  readonly shardStore: ShardStore;
  /** @returns Whether the process that holds a running claim has ended. */
  hasHolderEnded(record: ClaimRecord): boolean;
}

/** Options of a writer. */
export interface ShardWriterOptions extends ShardLimits {
  /** Minimum time in milliseconds between the starts of two commits. */
  readonly commitIntervalMs: number;
}

/** Limits of a batch that keep the head within the size limit of the store. */
const MAX_BATCH_OPERATIONS = 1_000;
const MAX_BATCH_BYTES = 262_144;
const OPERATION_BASE_BYTES = 256;
/** Maximum length of the queue; further operations are rejected. */
const MAX_QUEUED_OPERATIONS = 20_000;
const DEFAULT_TIMEOUT_MS = 8_000;
const MAX_FAILED_ATTEMPTS = 3;
const RETRY_DELAY_MS = 50;
/** Longest time that an end waits for a claim to share a commit with. */
const MAX_END_BATCHING_DELAY_MS = 100;
/** Age of the cached state from which a result that may change is rechecked. */
const MAX_CACHED_STATE_AGE_MS = 1_000;

/** An operation that is queued or being committed. */
interface PendingOperation {
  readonly operation: LedgerOperation;
  readonly queuedMs: number;
  readonly timeoutMs: number;
  resolve(result: Either<LedgerOperationFailure, OperationResult>): void;
}

/** Result of an attempt to commit: completed, or to be repeated. */
type CommitAttemptResult = "completed" | "retry";

/**
 * Serializes the operations of a shard. Concurrent writers of one shard are
 * safe, because a commit succeeds only if the head has not changed since the
 * state was read on which its decisions are based.
 */
export class ShardWriter implements Disposable {
  readonly #services: ShardWriterServices;
  readonly #options: ShardWriterOptions;
  #queue: PendingOperation[] = [];
  #commitTimer: Disposable = NOOP_DISPOSABLE;
  #isCommitting = false;
  #isDisposed = false;
  #lastCommitStartMs = -Infinity;
  #stateReadMs = -Infinity;

  /**
   * @param services - Dependencies of the writer.
   * @param options - Options of the writer.
   */
  constructor(services: ShardWriterServices, options: ShardWriterOptions) {
    this.#services = services;
    this.#options = options;
  }

  /**
   * Queues an operation for the next batch.
   *
   * @param operation - Operation to commit.
   * @param timeoutMs - Time in milliseconds after which no new attempt is made
   * to commit the operation.
   * @returns The result, once the store has recorded it. After a failure, the
   * store may have recorded the operation, but no further attempt is made.
   */
  submit(
    operation: LedgerOperation,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): AsyncEither<LedgerOperationFailure, OperationResult> {
    if (this.#isDisposed || this.#queue.length >= MAX_QUEUED_OPERATIONS) {
      return Promise.resolve(
        Left(createFailure("too many operations are queued")),
      );
    }
    const queuedMs = this.#services.clock.monotonicMs();
    return new Promise((resolve) => {
      this.#queue.push({ operation, queuedMs, timeoutMs, resolve });
      this.#schedule();
    });
  }

  /** Fails all queued operations and stops committing. */
  dispose(): void {
    this.#isDisposed = true;
    this.#commitTimer.dispose();
    resolveAll(this.#queue, Left(createFailure("the ledger was shut down")));
    this.#queue = [];
  }

  #schedule(): void {
    if (this.#isCommitting || this.#queue.length === 0) return;
    this.#commitTimer.dispose();
    const { clock } = this.#services;
    const waitMs = Math.max(0, this.#nextCommitMs() - clock.monotonicMs());
    this.#commitTimer = clock.setTimer(waitMs, () => void this.#runBatch());
  }

  /**
   * Returns the monotonic time of the next commit. Ends are delayed to share a
   * write with claims, because no caller waits for them.
   */
  #nextCommitMs(): number {
    const earliestMs = this.#lastCommitStartMs + this.#options.commitIntervalMs;
    if (this.#queue.some(isClaim)) return earliestMs;
    return Math.max(
      earliestMs,
      this.#queue[0]!.queuedMs + MAX_END_BATCHING_DELAY_MS,
    );
  }

  async #runBatch(): Promise<void> {
    this.#isCommitting = true;
    this.#lastCommitStartMs = this.#services.clock.monotonicMs();
    await this.#commit(this.#takeBatch());
    this.#isCommitting = false;
    if (!this.#isDisposed) this.#schedule();
  }

  #takeBatch(): PendingOperation[] {
    let count = 0;
    let sizeBytes = 0;
    for (const { operation } of this.#queue) {
      sizeBytes += estimateBytes(operation);
      if (count >= MAX_BATCH_OPERATIONS || sizeBytes > MAX_BATCH_BYTES) break;
      count++;
    }
    return this.#queue.splice(0, count);
  }

  async #commit(batch: readonly PendingOperation[]): Promise<void> {
    let remaining = batch;
    let failedAttempts = 0;
    let detail = "the store did not respond in time";
    while (!this.#isDisposed) {
      remaining = this.#rejectExpired(remaining);
      if (remaining.length === 0) return;
      const result = await this.#tryCommit(remaining);
      const failure = leftOf(result);
      if (rightOf(result) === "completed") return;
      if (failure === undefined) continue;
      detail = failure.detail;
      this.#stateReadMs = -Infinity;
      if (failure.kind !== "unknown") failedAttempts++;
      if (failedAttempts >= MAX_FAILED_ATTEMPTS) break;
      await sleep(this.#services.clock, RETRY_DELAY_MS);
    }
    resolveAll(remaining, Left(createFailure(detail)));
  }

  /** Loads the state, decides the batch on it and writes the result. */
  async #tryCommit(
    batch: readonly PendingOperation[],
  ): AsyncEither<StoreFailure, CommitAttemptResult> {
    const loaded = await this.#loadState();
    const snapshot = rightOf(loaded);
    if (!snapshot) return loaded.map(() => "retry");
    const builder = this.#createHeadBuilder(snapshot);
    if (builder.needsSeal) {
      const sealed = await this.#services.shardStore.writeSegment(
        snapshot.head,
      );
      const key = rightOf(sealed);
      if (key === undefined) return sealed.map(() => "retry");
      builder.seal(key);
    }
    const results = batch.map(({ operation }) => builder.apply(operation));
    if (!builder.isChanged) {
      if (!this.#areConclusive(batch, results)) {
        this.#stateReadMs = -Infinity;
        return Right("retry");
      }
      return this.#resolveBatch(batch, results);
    }
    const written = await this.#services.shardStore.commit(
      builder,
      snapshot.head.revision,
    );
    if (written.isLeft()) return written.map(() => "retry");
    this.#stateReadMs = this.#services.clock.monotonicMs();
    if (rightOf(written) === "conflict") return Right("retry");
    return this.#resolveBatch(batch, results);
  }

  async #loadState(): AsyncEither<StoreFailure, ShardSnapshot> {
    const { shardStore, clock } = this.#services;
    const { snapshot } = shardStore;
    if (snapshot && this.#stateReadMs !== -Infinity) return Right(snapshot);
    const loaded = await shardStore.load();
    if (loaded.isRight()) this.#stateReadMs = clock.monotonicMs();
    return loaded;
  }

  /**
   * Returns whether results that were decided without a write are conclusive. No
   * write has proved that the cached state is current: a stale state may lack
   * the claim that an end refers to, or the outcome of a run that is in progress
   * or unknown. All other results are final.
   */
  #areConclusive(
    batch: readonly PendingOperation[],
    results: readonly OperationResult[],
  ): boolean {
    const ageMs = this.#services.clock.monotonicMs() - this.#stateReadMs;
    return results.every(({ kind }, index) => {
      const mayChange = kind === "in-progress" || kind === "unknown";
      if (mayChange) return ageMs < MAX_CACHED_STATE_AGE_MS;
      return kind !== "ended" || this.#stateReadMs > batch[index]!.queuedMs;
    });
  }

  #createHeadBuilder(snapshot: ShardSnapshot): ShardHeadBuilder {
    const { clock, hasHolderEnded } = this.#services;
    return new ShardHeadBuilder(snapshot, this.#options, {
      nowMs: clock.nowMs(),
      hasHolderEnded,
    });
  }

  #resolveBatch(
    batch: readonly PendingOperation[],
    results: readonly OperationResult[],
  ): Either<StoreFailure, CommitAttemptResult> {
    batch.forEach(({ resolve }, index) => resolve(Right(results[index]!)));
    return Right("completed");
  }

  /**
   * Fails operations past their timeout, so that a host that was paused does not
   * commit operations that their requesters have abandoned.
   */
  #rejectExpired(
    batch: readonly PendingOperation[],
  ): readonly PendingOperation[] {
    const nowMs = this.#services.clock.monotonicMs();
    const isExpired = (
      { queuedMs, timeoutMs }: PendingOperation,
    ): boolean => nowMs - queuedMs > timeoutMs;
    resolveAll(
      batch.filter(isExpired),
      Left(
        createFailure("the operation timed out before the store recorded it"),
      ),
    );
    return batch.filter((pending) => !isExpired(pending));
  }
}

function resolveAll(
  batch: readonly PendingOperation[],
  result: Either<LedgerOperationFailure, OperationResult>,
): void {
  for (const { resolve } of batch) resolve(result);
}

function isClaim({ operation }: PendingOperation): boolean {
  return operation.kind === "claim";
}

function estimateBytes(operation: LedgerOperation): number {
  if (operation.kind === "claim" || operation.state.kind !== "done") {
    return OPERATION_BASE_BYTES;
  }
  const { answer } = operation.state;
  return OPERATION_BASE_BYTES + (answer ? JSON.stringify(answer).length : 0);
}

function createFailure(detail: string): LedgerOperationFailure {
  return { step: "ledger.commit", peer: "store", detail };
}
