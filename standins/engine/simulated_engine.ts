/**
 * Simulated model engine without network access: continuous batching, memory
 * limits and preemption, driven by a clock.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import type { GenerationId } from "../../src/base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../src/base/common/lifecycle.ts";
import type {
  CacheEvent,
  CacheEventPage,
  CancelResult,
  EngineRequest,
  EngineState,
  FencedOrder,
  LoadReport,
} from "../../src/services/endpoints/common/engine_client.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
} from "./engine_options.ts";
import { applyOrder, INITIAL_ENGINE_STATE } from "./engine_orders.ts";
import { PROMPT_BLOCK_TOKENS } from "../../src/services/endpoints/common/prompt_blocks.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { type FrameListener, Sequence } from "./sequence.ts";

/** Result of submitting a request to the engine. */
export type StartResult = "accepted" | "down" | "leaving";

/** Counters since the engine was created. */
export interface EngineCounters {
  preemptions: number;
  generatedTokens: number;
  started: number;
  crashes: number;
  /**
   * Orders that were executed although an order with a higher fencing token had
   * been received.
   */
  staleOrders: number;
}

/** Queue, batch and memory of one simulated engine. */
export class SimulatedEngine {
  readonly options: EngineOptions;
  readonly counters: EngineCounters = {
    preemptions: 0,
    generatedTokens: 0,
    started: 0,
    crashes: 0,
    staleOrders: 0,
  };
  /**
   * Prompts of all generations that have been started, including those lost in
   * a crash.
   */
  readonly startedPrompts = new Map<GenerationId, string>();
  readonly #clock: Clock;
  readonly #sequences = new Map<GenerationId, Sequence>();
  #queue: Sequence[] = [];
  #running: Sequence[] = [];
  #cache: PrefixCache;
  #cacheEvents: { readonly event: CacheEvent; readonly visibleMs: number }[] =
    [];
  #droppedCacheSequence = 0;
  #loadReports: { readonly createdMs: number; readonly report: LoadReport }[] =
    [];
  #state: EngineState = INITIAL_ENGINE_STATE;
  #stepTimer: Disposable = NOOP_DISPOSABLE;
  #isStepping = false;
  #isStalled = false;
  #isDown = false;
  #isDraining = false;
  #incarnation = 1;
  #arrivalCount = 0;

  /**
   * @param clock - Clock that drives the decode steps.
   * @param options - Options that differ from the defaults.
   */
  constructor(clock: Clock, options: Partial<EngineOptions> = {}) {
    this.#clock = clock;
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.#cache = new PrefixCache(this.options.cacheBlocks);
  }

  /** Whether the engine process is down. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Identifiers of the generations that the engine holds. */
  get generationIds(): readonly GenerationId[] {
    return [...this.#sequences.keys()];
  }

  /** Memory in use, in tokens. */
  get memoryUsedTokens(): number {
    let used = 0;
    for (const sequence of this.#running) used += sequence.memoryTokens;
    return used;
  }

  /** Number of sequences in the batch. */
  get runningCount(): number {
    return this.#running.length;
  }

  /**
   * Starts a generation. A request with the identifier of an existing
   * generation attaches to that generation.
   */
  start(request: EngineRequest, listener: FrameListener): StartResult {
    if (this.#isDown) return "down";
    const existing = this.#sequences.get(request.id);
    if (existing) {
      existing.attach(listener, 0);
      return "accepted";
    }
    if (this.#isDraining || this.#state.role === "standby") return "leaving";
    const length = this.options.lengthOf(request);
    const sequence = new Sequence(request, length, this.#arrivalCount++);
    this.counters.started++;
    this.startedPrompts.set(request.id, request.prompt);
    this.#sequences.set(request.id, sequence);
    sequence.attach(listener, 0);
    this.#enqueue(sequence);
    this.#scheduleStep();
    return "accepted";
  }

  /**
   * Adds a listener for the frames of a generation from an offset.
   *
   * @returns Whether the generation exists.
   */
  attach(
    id: GenerationId,
    fromOffset: number,
    listener: FrameListener,
  ): boolean {
    const sequence = this.#isDown ? undefined : this.#sequences.get(id);
    sequence?.attach(listener, fromOffset);
    return sequence !== undefined;
  }

  /** Removes a listener from a generation. */
  detach(id: GenerationId, listener: FrameListener): void {
    this.#sequences.get(id)?.listeners.delete(listener);
  }

  /** Cancels a generation. */
  cancel(id: GenerationId): CancelResult {
    const sequence = this.#sequences.get(id);
    if (!sequence) return "unknown-generation";
    if (sequence.state === "ended") return "ended";
    this.#queue = this.#queue.filter((other) => other !== sequence);
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#end(sequence, "cancelled");
    return "cancelled";
  }

  /** Returns a load report that is outdated by the configured lag. */
  readLoad(): LoadReport {
    const nowMs = this.#clock.monotonicMs();
    this.#loadReports.push({ createdMs: nowMs, report: this.#currentLoad() });
    const cutoffMs = nowMs - this.options.loadLagMs;
    while (
      this.#loadReports.length > 1 &&
      this.#loadReports[1]!.createdMs <= cutoffMs
    ) {
      this.#loadReports.shift();
    }
    const { createdMs, report } = this.#loadReports[0]!;
    return { ...report, ageMs: nowMs - createdMs, isLeaving: this.#isDraining };
  }

  /** Returns the cache events that have become visible. */
  readCacheEvents(afterSequence: number): CacheEventPage {
    const nowMs = this.#clock.monotonicMs();
    const events = this.#cacheEvents
      .filter(({ event, visibleMs }) =>
        event.sequence > afterSequence && visibleMs <= nowMs
      )
      .map(({ event }) => event);
    return {
      events,
      lastSequence: events.at(-1)?.sequence ?? afterSequence,
      isGapped: afterSequence < this.#droppedCacheSequence,
    };
  }

  /**
   * Executes an order.
   *
   * @returns The new state, or `undefined` if the fencing token of the order is
   * stale.
   */
  order(order: FencedOrder): EngineState | undefined {
    const isStale = order.fence < this.#state.highestFence;
    if (isStale && this.options.honoursFence) return undefined;
    if (isStale) this.counters.staleOrders++;
    this.#state = applyOrder(this.#state, order);
    if (order.order.kind === "load-model") this.#breakAllSequences();
    return this.#state;
  }

  /** Returns the loaded model, the adapters and the role. */
  readState(): EngineState {
    return this.#state;
  }

  /** Terminates the process; all its state is lost. */
  crash(): void {
    this.counters.crashes++;
    this.#isDown = true;
    this.#isStepping = false;
    this.#stepTimer.dispose();
    this.#breakAllSequences();
  }

  /**
   * Discards all sequences, because loading a model needs the memory that they
   * occupy.
   */
  #breakAllSequences(): void {
    const sequences = [...this.#sequences.values()];
    this.#sequences.clear();
    this.#queue = [];
    this.#running = [];
    for (const sequence of sequences) sequence.breakConnections();
  }

  /** Replaces a crashed process by a new one. */
  restart(): void {
    this.#isDown = false;
    this.#isDraining = false;
    this.#isStalled = false;
    this.#incarnation++;
    this.#cache = new PrefixCache(this.options.cacheBlocks);
    this.#cacheEvents = [];
    this.#droppedCacheSequence = 0;
    this.#loadReports = [];
    this.#state = INITIAL_ENGINE_STATE;
  }

  /**
   * Simulates the reclaim of the engine by its platform: the engine drains for
   * the notice period and then terminates.
   */
  reclaim(noticeMs: number): void {
    this.#isDraining = true;
    this.#clock.setTimer(noticeMs, () => this.crash());
  }

  /** Stops or continues the decode steps; connections remain open. */
  setStalled(isStalled: boolean): void {
    this.#isStalled = isStalled;
    if (!isStalled) this.#scheduleStep();
  }

  /**
   * Stops delivering frames on open connections without closing them; new
   * connections are not affected.
   */
  stallOpenConnections(): void {
    for (const sequence of this.#sequences.values()) sequence.listeners.clear();
  }

  #enqueue(sequence: Sequence): void {
    sequence.state = "queued";
    this.#queue.push(sequence);
    this.#queue.sort((left, right) =>
      right.request.priority - left.request.priority ||
      left.arrivalOrder - right.arrivalOrder
    );
  }

  #scheduleStep(): void {
    if (this.#isStepping || this.#isStalled || this.#isDown) return;
    if (this.#running.length + this.#queue.length === 0) return;
    this.#isStepping = true;
    const prefillTokens = this.#admit();
    const { baseStepMs, stepMsPerSequence, prefillTokensPerMs } = this.options;
    const stepMs = baseStepMs + stepMsPerSequence * this.#running.length +
      prefillTokens / prefillTokensPerMs;
    this.#stepTimer = this.#clock.setTimer(stepMs, () => {
      this.#isStepping = false;
      this.#decode();
      this.#scheduleStep();
    });
  }

  /**
   * Moves queued sequences into the batch.
   *
   * @returns Number of prompt tokens to prefill in the next step.
   */
  #admit(): number {
    let free = this.options.memoryTokens - this.memoryUsedTokens;
    let prefillTokens = 0;
    while (this.#queue.length > 0) {
      const next = this.#queue[0]!;
      const cached = this.#cache.countCachedBlocks(next.blockHashes) *
        PROMPT_BLOCK_TOKENS;
      const needed = next.promptTokens + next.generatedTokens - cached;
      const isBatchEmpty = this.#running.length === 0;
      if (this.#running.length >= this.options.maxRunning) break;
      if (needed + 1 > free && !isBatchEmpty) break;
      this.#queue.shift();
      next.cachedTokens = cached;
      next.state = "running";
      this.#running.push(next);
      this.#recordCacheEvents(this.#cache.store(next.blockHashes));
      free -= needed;
      prefillTokens += needed;
    }
    return prefillTokens;
  }

  #decode(): void {
    const isBadVersion = this.#state.version === this.options.badVersion;
    if (
      this.#running.some(({ isPoison }) => isPoison) ||
      (isBadVersion && this.#running.length > 0)
    ) {
      this.crash();
      return;
    }
    this.#preemptUntilFits();
    const batch = this.#running;
    this.#running = [];
    for (const sequence of batch) {
      sequence.generateToken();
      this.counters.generatedTokens++;
      if (sequence.generatedTokens < sequence.lengthTokens) {
        if (sequence.state === "running") this.#running.push(sequence);
        continue;
      }
      const { maxTokens } = sequence.request;
      this.#end(
        sequence,
        sequence.generatedTokens >= maxTokens ? "length" : "stop",
      );
    }
  }

  /**
   * Preempts sequences until the batch fits into memory; the lowest priority
   * first, and within a priority the latest arrival.
   */
  #preemptUntilFits(): void {
    let used = this.memoryUsedTokens + this.#running.length;
    while (used > this.options.memoryTokens && this.#running.length > 1) {
      const victim = this.#running.reduce((worst, next) =>
        outranks(worst, next) ? next : worst
      );
      this.#running = this.#running.filter((other) => other !== victim);
      used -= victim.memoryTokens + 1;
      victim.preemptions++;
      this.counters.preemptions++;
      this.#enqueue(victim);
    }
  }

  #end(sequence: Sequence, finish: "stop" | "length" | "cancelled"): void {
    sequence.end(finish);
    this.#clock.setTimer(this.options.keepEndedMs, () => {
      this.#sequences.delete(sequence.request.id);
    });
  }

  #recordCacheEvents(events: readonly CacheEvent[]): void {
    const { cacheEventDelayMs, maxCacheEvents } = this.options;
    const visibleMs = this.#clock.monotonicMs() + cacheEventDelayMs;
    for (const event of events) this.#cacheEvents.push({ event, visibleMs });
    while (this.#cacheEvents.length > maxCacheEvents) {
      this.#droppedCacheSequence = this.#cacheEvents.shift()!.event.sequence;
    }
  }

  #currentLoad(): LoadReport {
    const { memoryTokens, reportsMemoryTotal } = this.options;
    return {
      ageMs: 0,
      running: this.#running.length,
      queued: this.#queue.length,
      memoryUsedTokens: this.memoryUsedTokens,
      memoryTotalTokens: reportsMemoryTotal ? memoryTokens : undefined,
      preemptions: this.counters.preemptions,
      incarnation: String(this.#incarnation),
      isLeaving: this.#isDraining,
    };
  }
}

function outranks(left: Sequence, right: Sequence): boolean {
  const byPriority = right.request.priority - left.request.priority;
  return byPriority < 0 ||
    (byPriority === 0 && left.arrivalOrder < right.arrivalOrder);
}
