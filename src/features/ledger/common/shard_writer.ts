/** Commits the operations of one shard in batches, one write each. */

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

/** What a writer works with. */
export interface ShardWriterServices {
  readonly clock: Clock;
  readonly shardStore: ShardStore;
  /** @returns Whether the process that holds a running claim has ended. */
  hasHolderEnded(record: ClaimRecord): boolean;
}

/** How a writer commits. */
export interface ShardWriterOptions extends ShardLimits {
  /** Shortest time between the starts of two commits. */
  readonly commitIntervalMs: number;
}

/** Bounds of one batch, so that a head stays within the store's limit. */
const MAX_BATCH_OPERATIONS = 1_000;
const MAX_BATCH_BYTES = 262_144;
const OPERATION_BASE_BYTES = 256;
/** Most operations that wait; more are refused. */
const MAX_QUEUED_OPERATIONS = 20_000;
const DEFAULT_TIMEOUT_MS = 8_000;
const MAX_FAILED_ATTEMPTS = 3;
const RETRY_DELAY_MS = 50;
/** Longest time that an end waits for a claim. */
const MAX_END_BATCHING_DELAY_MS = 100;
/** Age of the state after which a running claim is looked up again. */
const MAX_CACHED_STATE_AGE_MS = 1_000;

interface PendingOperation {
  readonly operation: LedgerOperation;
  readonly queuedMs: number;
  readonly timeoutMs: number;
  resolve(result: Either<LedgerOperationFailure, OperationResult>): void;
}

/** A step of a commit: it is over, or has to be tried again. */
type CommitAttemptResult = "settled" | "again";

/**
 * Serializes the operations of a shard. Two writers of one shard are safe: a
 * commit succeeds only on the state that its decisions were made from.
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
   * @param services - What the writer works with.
   * @param options - How it commits.
   */
  constructor(services: ShardWriterServices, options: ShardWriterOptions) {
    this.#services = services;
    this.#options = options;
  }

  /**
   * Submits an operation for the next batch.
   *
   * @param operation - The operation.
   * @param limitMs - Time after which it is refused and no longer committed.
   * @returns Its result once it stands in the store. After a failure it may
   * stand there all the same, but will not be committed later.
   */
  submit(
    operation: LedgerOperation,
    limitMs = DEFAULT_TIMEOUT_MS,
  ): AsyncEither<LedgerOperationFailure, OperationResult> {
    if (this.#isDisposed || this.#queue.length >= MAX_QUEUED_OPERATIONS) {
      return Promise.resolve(Left(createFailure("too many operations wait")));
    }
    const queuedMs = this.#services.clock.monotonicMs();
    return new Promise((settle) => {
      this.#queue.push({
        operation,
        queuedMs,
        timeoutMs: limitMs,
        resolve: settle,
      });
      this.#schedule();
    });
  }

  /** Refuses what waits. */
  dispose(): void {
    this.#isDisposed = true;
    this.#commitTimer.dispose();
    resolveAll(this.#queue, Left(createFailure("the ledger was stopped")));
    this.#queue = [];
  }

  #schedule(): void {
    if (this.#isCommitting || this.#queue.length === 0) return;
    this.#commitTimer.dispose();
    const { clock } = this.#services;
    const waitMs = Math.max(0, this.#nextCommitMs() - clock.monotonicMs());
    this.#commitTimer = clock.setTimer(waitMs, () => void this.#runBatch());
  }

  /** Ends wait for claims to share a write with, because nobody waits for them. */
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
    let refusedTries = 0;
    let detail = "the store gave no answer in time";
    while (!this.#isDisposed) {
      remaining = this.#rejectExpired(remaining);
      if (remaining.length === 0) return;
      const step = await this.#tryCommit(remaining);
      const failure = leftOf(step);
      if (rightOf(step) === "settled") return;
      if (failure === undefined) continue;
      detail = failure.detail;
      this.#stateReadMs = -Infinity;
      if (failure.kind !== "unknown") refusedTries++;
      if (refusedTries >= MAX_FAILED_ATTEMPTS) break;
      await sleep(this.#services.clock, RETRY_DELAY_MS);
    }
    resolveAll(remaining, Left(createFailure(detail)));
  }

  /** One round: know the state, decide the batch on it, write the result. */
  async #tryCommit(
    batch: readonly PendingOperation[],
  ): AsyncEither<StoreFailure, CommitAttemptResult> {
    const known = await this.#loadState();
    const reader = rightOf(known);
    if (!reader) return known.map(() => "again");
    const draft = this.#createHeadBuilder(reader);
    if (draft.needsSeal) {
      const sealed = await this.#services.shardStore.writeSegment(reader.head);
      const key = rightOf(sealed);
      if (key === undefined) return sealed.map(() => "again");
      draft.seal(key);
    }
    const results = batch.map(({ operation }) => draft.apply(operation));
    if (!draft.isChanged) {
      if (!this.#areConclusive(batch, results)) {
        this.#stateReadMs = -Infinity;
        return Right("again");
      }
      return this.#resolveBatch(batch, results);
    }
    const written = await this.#services.shardStore.commit(
      draft,
      reader.head.revision,
    );
    if (written.isLeft()) return written.map(() => "again");
    this.#stateReadMs = this.#services.clock.monotonicMs();
    if (rightOf(written) === "conflict") return Right("again");
    return this.#resolveBatch(batch, results);
  }

  async #loadState(): AsyncEither<StoreFailure, ShardSnapshot> {
    const { shardStore: log, clock } = this.#services;
    const { snapshot: reader } = log;
    if (reader && this.#stateReadMs !== -Infinity) return Right(reader);
    const loaded = await log.load();
    if (loaded.isRight()) this.#stateReadMs = clock.monotonicMs();
    return loaded;
  }

  /**
   * Without a write nothing proves that the known state is the newest one. An
   * old state may lack the claim that is ended, or the true end of a run that
   * is in progress or unknown; what else is answered never changes.
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

  #createHeadBuilder(reader: ShardSnapshot): ShardHeadBuilder {
    const { clock, hasHolderEnded } = this.#services;
    return new ShardHeadBuilder(reader, this.#options, {
      nowMs: clock.nowMs(),
      hasHolderEnded,
    });
  }

  #resolveBatch(
    batch: readonly PendingOperation[],
    results: readonly OperationResult[],
  ): Either<StoreFailure, CommitAttemptResult> {
    batch.forEach(({ resolve: settle }, index) =>
      settle(Right(results[index]!))
    );
    return Right("settled");
  }

  /** A host that was paused does not commit what its asker has given up. */
  #rejectExpired(
    batch: readonly PendingOperation[],
  ): readonly PendingOperation[] {
    const nowMs = this.#services.clock.monotonicMs();
    const isLate = (
      { queuedMs, timeoutMs: limitMs }: PendingOperation,
    ): boolean => nowMs - queuedMs > limitMs;
    resolveAll(
      batch.filter(isLate),
      Left(createFailure("the store was too slow")),
    );
    return batch.filter((pending) => !isLate(pending));
  }
}

function resolveAll(
  batch: readonly PendingOperation[],
  result: Either<LedgerOperationFailure, OperationResult>,
): void {
  for (const { resolve: settle } of batch) settle(result);
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
