/**
 * Engine that batches requests as real ones do: slots, a memory that prompts,
 * answers and copies share, prefill in chunks between tokens, preemption.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import { type FakeTransfer, NOT_RUN_HEADERS } from "./fake_endpoints.ts";

/** Size and speed of an engine. */
export interface BatchingEngineOptions {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  /** Requests that wait at most; more are refused. */
  readonly maxWaiting: number;
}

const BASE_STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const PREFILL_TOKENS_PER_MS = 14;
const PREFILL_CHUNK_TOKENS = 512;

/** What a request needs. */
export interface EngineWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** 0 comes first. */
  readonly priority: number;
}

interface EngineRun {
  readonly transfer: FakeTransfer;
  readonly work: EngineWork;
  readonly number: number;
  pendingPrefillTokens: number;
  generatedTokens: number;
  onEnd: () => void;
}

/** One engine. */
export class BatchingEngine {
  readonly #clock: Clock;
  readonly #options: BatchingEngineOptions;
  readonly #waiting: EngineRun[] = [];
  readonly #running: EngineRun[] = [];
  /** Copies kept here, each with its present size. */
  readonly #backupSizes = new Set<() => number>();
  #isStepping = false;
  #nextNumber = 0;
  /** Tokens that were read again after a preemption. */
  recomputedTokens = 0;

  /**
   * @param clock - Clock of the steps.
   * @param options - Size and speed.
   */
  constructor(clock: Clock, options: BatchingEngineOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Takes a request, or refuses it as not run.
   *
   * @returns Size of the run in tokens, for a copy of it.
   */
  submit(
    transfer: FakeTransfer,
    work: EngineWork,
    onEnd: () => void,
  ): () => number {
    const run: EngineRun = {
      transfer,
      work,
      number: this.#nextNumber++,
      pendingPrefillTokens: work.promptTokens,
      generatedTokens: 0,
      onEnd: onEnd,
    };
    if (this.#waiting.length >= this.#options.maxWaiting) {
      transfer.respond(503, "full", NOT_RUN_HEADERS);
      onEnd();
      return () => 0;
    }
    this.#waiting.push(run);
    this.#scheduleStep();
    return () => tokensOf(run);
  }

  /** Keeps a copy until it is dropped. */
  addBackup(size: () => number): () => void {
    this.#backupSizes.add(size);
    return () => this.#backupSizes.delete(size);
  }

  get #usedTokens(): number {
    let used = 0;
    for (const run of this.#running) {
      used += run.work.promptTokens + run.generatedTokens;
    }
    for (const size of this.#backupSizes) used += size();
    return used;
  }

  #scheduleStep(): void {
    if (this.#isStepping) return;
    this.#isStepping = true;
    this.#clock.setTimer(0, () => this.#step());
  }

  #step(): void {
    this.#dropAborted();
    this.#admit();
    if (this.#running.length === 0) {
      this.#isStepping = false;
      return;
    }
    let remainingTokens = PREFILL_CHUNK_TOKENS;
    for (const run of this.#running) {
      const prefilledTokens = Math.min(
        remainingTokens,
        run.pendingPrefillTokens,
      );
      run.pendingPrefillTokens -= prefilledTokens;
      remainingTokens -= prefilledTokens;
    }
    const stepMs = BASE_STEP_MS + this.#running.length * STEP_MS_PER_RUN +
      (PREFILL_CHUNK_TOKENS - remainingTokens) / PREFILL_TOKENS_PER_MS;
    this.#clock.setTimer(stepMs, () => {
      this.#emit();
      this.#step();
    });
  }

  #emit(): void {
    for (const run of [...this.#running]) {
      if (run.transfer.isAborted || run.pendingPrefillTokens > 0) continue;
      run.generatedTokens++;
      const { outputTokens } = run.work;
      const isLast = run.generatedTokens >= outputTokens;
      if (run.generatedTokens === 1) run.transfer.head(200);
      const { tokensPerEvent } = this.#options;
      if (isLast || run.generatedTokens % tokensPerEvent === 1) {
        run.transfer.event(Math.ceil(run.generatedTokens / tokensPerEvent));
      }
      if (!isLast) continue;
      this.#remove(run);
      run.transfer.finish();
    }
    while (this.#usedTokens > this.#options.memoryTokens) {
      if (!this.#preempt()) break;
    }
  }

  /** Stops the newest of the least urgent runs; it is read in again later. */
  #preempt(): boolean {
    if (this.#running.length < 2) return false;
    const victim = this.#running.reduce((worst, run) =>
      compareRuns(worst, run) < 0 ? run : worst
    );
    this.#running.splice(this.#running.indexOf(victim), 1);
    victim.pendingPrefillTokens = tokensOf(victim);
    this.recomputedTokens += victim.pendingPrefillTokens;
    this.#waiting.push(victim);
    return true;
  }

  #admit(): void {
    this.#waiting.sort(compareRuns);
    let usedTokens = this.#usedTokens;
    while (this.#running.length < this.#options.slots) {
      const [next] = this.#waiting;
      if (!next) return;
      const runTokens = tokensOf(next);
      if (usedTokens + runTokens > this.#options.memoryTokens) return;
      this.#waiting.shift();
      this.#running.push(next);
      usedTokens += runTokens;
    }
  }

  #dropAborted(): void {
    for (const run of [...this.#running, ...this.#waiting]) {
      if (run.transfer.isAborted) this.#remove(run);
    }
  }

  #remove(run: EngineRun): void {
    for (const list of [this.#running, this.#waiting]) {
      const index = list.indexOf(run);
      if (index >= 0) list.splice(index, 1);
    }
    run.onEnd();
  }
}

function tokensOf({ work, generatedTokens: madeTokens }: EngineRun): number {
  return work.promptTokens + madeTokens;
}

function compareRuns(left: EngineRun, right: EngineRun): number {
  return left.work.priority - right.work.priority || left.number - right.number;
}
