/**
 * Engine that batches requests as real ones do: slots, a memory that prompts,
 * answers and copies share, prefill in chunks between tokens, preemption.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import { type FakeTransfer, NOT_RUN } from "./fake_endpoints.ts";

/** Size and speed of an engine. */
export interface BusyEngineOptions {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  /** Requests that wait at most; more are refused. */
  readonly maxWaiting: number;
}

const BASE_STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const PREFILL_TOKENS_PER_MS = 14;
const CHUNK_TOKENS = 512;

/** What a request needs. */
export interface BusyWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** 0 comes first. */
  readonly priority: number;
}

interface Run {
  readonly transfer: FakeTransfer;
  readonly work: BusyWork;
  readonly number: number;
  unreadTokens: number;
  madeTokens: number;
  onOver: () => void;
}

/** One engine. */
export class BusyEngine {
  readonly #clock: Clock;
  readonly #options: BusyEngineOptions;
  readonly #waiting: Run[] = [];
  readonly #running: Run[] = [];
  /** Copies kept here, each with its present size. */
  readonly #copies = new Set<() => number>();
  #isStepping = false;
  #count = 0;
  /** Tokens that were read again after a preemption. */
  rereadTokens = 0;

  /**
   * @param clock - Clock of the steps.
   * @param options - Size and speed.
   */
  constructor(clock: Clock, options: BusyEngineOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Takes a request, or refuses it as not run.
   *
   * @returns Size of the run in tokens, for a copy of it.
   */
  take(
    transfer: FakeTransfer,
    work: BusyWork,
    onOver: () => void,
  ): () => number {
    const run: Run = {
      transfer,
      work,
      number: this.#count++,
      unreadTokens: work.promptTokens,
      madeTokens: 0,
      onOver,
    };
    if (this.#waiting.length >= this.#options.maxWaiting) {
      transfer.answer(503, "full", NOT_RUN);
      onOver();
      return () => 0;
    }
    this.#waiting.push(run);
    this.#wake();
    return () => sizeOf(run);
  }

  /** Keeps a copy until it is dropped. */
  keepCopy(size: () => number): () => void {
    this.#copies.add(size);
    return () => this.#copies.delete(size);
  }

  get #usedTokens(): number {
    let used = 0;
    for (const run of this.#running) {
      used += run.work.promptTokens + run.madeTokens;
    }
    for (const size of this.#copies) used += size();
    return used;
  }

  #wake(): void {
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
    let budget = CHUNK_TOKENS;
    for (const run of this.#running) {
      const read = Math.min(budget, run.unreadTokens);
      run.unreadTokens -= read;
      budget -= read;
    }
    const stepMs = BASE_STEP_MS + this.#running.length * STEP_MS_PER_RUN +
      (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_MS;
    this.#clock.setTimer(stepMs, () => {
      this.#emit();
      this.#step();
    });
  }

  #emit(): void {
    for (const run of [...this.#running]) {
      if (run.transfer.isAborted || run.unreadTokens > 0) continue;
      run.madeTokens++;
      const { outputTokens } = run.work;
      const isLast = run.madeTokens >= outputTokens;
      if (run.madeTokens === 1) run.transfer.head(200);
      const { tokensPerEvent } = this.#options;
      if (isLast || run.madeTokens % tokensPerEvent === 1) {
        run.transfer.event(Math.ceil(run.madeTokens / tokensPerEvent));
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
      compare(worst, run) < 0 ? run : worst
    );
    this.#running.splice(this.#running.indexOf(victim), 1);
    victim.unreadTokens = sizeOf(victim);
    this.rereadTokens += victim.unreadTokens;
    this.#waiting.push(victim);
    return true;
  }

  #admit(): void {
    this.#waiting.sort(compare);
    let used = this.#usedTokens;
    while (this.#running.length < this.#options.slots) {
      const [next] = this.#waiting;
      if (!next) return;
      const size = sizeOf(next);
      if (used + size > this.#options.memoryTokens) return;
      this.#waiting.shift();
      this.#running.push(next);
      used += size;
    }
  }

  #dropAborted(): void {
    for (const run of [...this.#running, ...this.#waiting]) {
      if (run.transfer.isAborted) this.#remove(run);
    }
  }

  #remove(run: Run): void {
    for (const list of [this.#running, this.#waiting]) {
      const index = list.indexOf(run);
      if (index >= 0) list.splice(index, 1);
    }
    run.onOver();
  }
}

function sizeOf({ work, madeTokens }: Run): number {
  return work.promptTokens + madeTokens;
}

function compare(left: Run, right: Run): number {
  return left.work.priority - right.work.priority || left.number - right.number;
}
