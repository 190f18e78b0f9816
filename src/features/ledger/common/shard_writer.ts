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
import type { LedgerFault } from "./claim_ledger.ts";
import { ShardDraft, type ShardLimits } from "./shard_draft.ts";
import type { ShardLog } from "./shard_log.ts";
import type { ShardReader } from "./shard_state.ts";

/** What a writer works with. */
export interface ShardWriterServices {
  readonly clock: Clock;
  readonly log: ShardLog;
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
const DEFAULT_LIMIT_MS = 8_000;
const MAX_REFUSED_TRIES = 3;
const RETRY_WAIT_MS = 50;
/** Longest time that an end waits for a claim. */
const MAX_END_WAIT_MS = 100;
/** Age of the state after which a running claim is looked up again. */
const FRESH_STATE_MS = 1_000;

interface PendingOperation {
  readonly operation: LedgerOperation;
  readonly queuedMs: number;
  readonly limitMs: number;
  settle(result: Either<LedgerFault, OperationResult>): void;
}

/** A step of a commit: it is over, or has to be tried again. */
type CommitStep = "settled" | "again";

/**
 * Serializes the operations of a shard. Two writers of one shard are safe: a
 * commit succeeds only on the state that its decisions were made from.
 */
export class ShardWriter implements Disposable {
  readonly #services: ShardWriterServices;
  readonly #options: ShardWriterOptions;
  #queue: PendingOperation[] = [];
  #timer: Disposable = NOOP_DISPOSABLE;
  #isCommitting = false;
  #isDisposed = false;
  #lastStartMs = -Infinity;
  #loadedMs = -Infinity;

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
    limitMs = DEFAULT_LIMIT_MS,
  ): AsyncEither<LedgerFault, OperationResult> {
    if (this.#isDisposed || this.#queue.length >= MAX_QUEUED_OPERATIONS) {
      return Promise.resolve(Left(fault("too many operations wait")));
    }
    const queuedMs = this.#services.clock.monotonicMs();
    return new Promise((settle) => {
      this.#queue.push({ operation, queuedMs, limitMs, settle });
      this.#schedule();
    });
  }

  /** Refuses what waits. */
  dispose(): void {
    this.#isDisposed = true;
    this.#timer.dispose();
    settleAll(this.#queue, Left(fault("the ledger was stopped")));
    this.#queue = [];
  }

  #schedule(): void {
    if (this.#isCommitting || this.#queue.length === 0) return;
    this.#timer.dispose();
    const { clock } = this.#services;
    const waitMs = Math.max(0, this.#dueMs() - clock.monotonicMs());
    this.#timer = clock.setTimer(waitMs, () => void this.#runBatch());
  }

  /** Ends wait for claims to share a write with, because nobody waits for them. */
  #dueMs(): number {
    const earliestMs = this.#lastStartMs + this.#options.commitIntervalMs;
    if (this.#queue.some(isClaim)) return earliestMs;
    return Math.max(earliestMs, this.#queue[0]!.queuedMs + MAX_END_WAIT_MS);
  }

  async #runBatch(): Promise<void> {
    this.#isCommitting = true;
    this.#lastStartMs = this.#services.clock.monotonicMs();
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
      remaining = this.#dropLate(remaining);
      if (remaining.length === 0) return;
      const step = await this.#tryCommit(remaining);
      const failure = leftOf(step);
      if (rightOf(step) === "settled") return;
      if (failure === undefined) continue;
      detail = failure.detail;
      this.#loadedMs = -Infinity;
      if (failure.kind !== "unknown") refusedTries++;
      if (refusedTries >= MAX_REFUSED_TRIES) break;
      await sleep(this.#services.clock, RETRY_WAIT_MS);
    }
    settleAll(remaining, Left(fault(detail)));
  }

  /** One round: know the state, decide the batch on it, write the result. */
  async #tryCommit(
    batch: readonly PendingOperation[],
  ): AsyncEither<StoreFailure, CommitStep> {
    const known = await this.#knownState();
    const reader = rightOf(known);
    if (!reader) return known.map(() => "again");
    const draft = this.#createDraft(reader);
    if (draft.needsSeal) {
      const sealed = await this.#services.log.writeSegment(reader.head);
      const key = rightOf(sealed);
      if (key === undefined) return sealed.map(() => "again");
      draft.seal(key);
    }
    const results = batch.map(({ operation }) => draft.apply(operation));
    if (!draft.isChanged) {
      if (!this.#areCertain(batch, results)) {
        this.#loadedMs = -Infinity;
        return Right("again");
      }
      return this.#settle(batch, results);
    }
    const written = await this.#services.log.commit(
      draft,
      reader.head.revision,
    );
    if (written.isLeft()) return written.map(() => "again");
    this.#loadedMs = this.#services.clock.monotonicMs();
    if (rightOf(written) === "conflict") return Right("again");
    return this.#settle(batch, results);
  }

  async #knownState(): AsyncEither<StoreFailure, ShardReader> {
    const { log, clock } = this.#services;
    const { reader } = log;
    if (reader && this.#loadedMs !== -Infinity) return Right(reader);
    const loaded = await log.load();
    if (loaded.isRight()) this.#loadedMs = clock.monotonicMs();
    return loaded;
  }

  /**
   * Without a write nothing proves that the known state is the newest one. An
   * old state may lack the claim that is ended, or the true end of a run that
   * is in progress or unknown; what else is answered never changes.
   */
  #areCertain(
    batch: readonly PendingOperation[],
    results: readonly OperationResult[],
  ): boolean {
    const ageMs = this.#services.clock.monotonicMs() - this.#loadedMs;
    return results.every(({ kind }, index) => {
      const mayChange = kind === "in-progress" || kind === "unknown";
      if (mayChange) return ageMs < FRESH_STATE_MS;
      return kind !== "ended" || this.#loadedMs > batch[index]!.queuedMs;
    });
  }

  #createDraft(reader: ShardReader): ShardDraft {
    const { clock, hasHolderEnded } = this.#services;
    return new ShardDraft(reader, this.#options, {
      nowMs: clock.nowMs(),
      hasHolderEnded,
    });
  }

  #settle(
    batch: readonly PendingOperation[],
    results: readonly OperationResult[],
  ): Either<StoreFailure, CommitStep> {
    batch.forEach(({ settle }, index) => settle(Right(results[index]!)));
    return Right("settled");
  }

  /** A host that was paused does not commit what its asker has given up. */
  #dropLate(batch: readonly PendingOperation[]): readonly PendingOperation[] {
    const nowMs = this.#services.clock.monotonicMs();
    const isLate = ({ queuedMs, limitMs }: PendingOperation): boolean =>
      nowMs - queuedMs > limitMs;
    settleAll(batch.filter(isLate), Left(fault("the store was too slow")));
    return batch.filter((pending) => !isLate(pending));
  }
}

function settleAll(
  batch: readonly PendingOperation[],
  result: Either<LedgerFault, OperationResult>,
): void {
  for (const { settle } of batch) settle(result);
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

function fault(detail: string): LedgerFault {
  return { step: "ledger.commit", peer: "store", detail };
}
