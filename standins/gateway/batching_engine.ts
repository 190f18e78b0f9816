/**
 * Simulated engine with continuous batching: a limited number of slots, memory
 * that prompts, outputs and backups share, chunked prefill between decode
 * steps, and preemption.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import {
  type FakeTransfer,
  NOT_RUN_HEADERS,
  SIGNED_HEADERS,
} from "./fake_endpoints.ts";

/** Capacity of an engine. */
export interface BatchingEngineOptions {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  /** Maximum number of waiting requests; further ones are refused. */
  readonly maxWaiting: number;
  /** @returns The time that work takes now, relative to the usual time. */
  relativeTime?(): number;
  /** Whether answers report that time as the pace of the engine. */
  readonly reportsPace?: boolean;
}

const BASE_STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const PREFILL_TOKENS_PER_MS = 14;
const PREFILL_CHUNK_TOKENS = 512;

/** Size and priority of a request. */
export interface EngineWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Priority; 0 is the most urgent. */
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

/** One simulated engine. */
export class BatchingEngine {
  readonly #clock: Clock;
  readonly #options: BatchingEngineOptions;
  readonly #waiting: EngineRun[] = [];
  readonly #running: EngineRun[] = [];
  /**
   * Backups kept on this engine; each function returns the current size in
   * tokens.
   */
  readonly #backupSizes = new Set<() => number>();
  #isStepping = false;
  #nextNumber = 0;
  /** Tokens prefilled again after a preemption. */
  recomputedTokens = 0;

  /**
   * @param clock - Clock for the steps.
   * @param options - Capacity of the engine.
   */
  constructor(clock: Clock, options: BatchingEngineOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Queues a request, or refuses it as not run if too many wait.
   *
   * @returns A function that returns the size of the run in tokens, for its
   * backup.
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
      onEnd,
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

  /**
   * Adds a backup.
   *
   * @param size - Returns the current size of the backup, in tokens.
   * @returns A function that removes the backup.
   */
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

  get #relativeTime(): number {
    return this.#options.relativeTime?.() ?? 1;
  }

  #headers(): readonly string[] {
    const { reportsPace, slots } = this.#options;
    if (!reportsPace) return SIGNED_HEADERS;
    const pacePercent = Math.round(100 * this.#relativeTime);
    const load = [this.#running.length, this.#waiting.length, slots];
    return [...SIGNED_HEADERS, "load", [...load, pacePercent].join(",")];
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
    this.#clock.setTimer(stepMs * this.#relativeTime, () => {
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
      if (run.generatedTokens === 1) run.transfer.head(200, this.#headers());
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

  /**
   * Preempts the newest of the least urgent runs, which is prefilled again
   * later.
   */
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

function tokensOf({ work, generatedTokens }: EngineRun): number {
  return work.promptTokens + generatedTokens;
}

function compareRuns(left: EngineRun, right: EngineRun): number {
  return left.work.priority - right.work.priority || left.number - right.number;
}
