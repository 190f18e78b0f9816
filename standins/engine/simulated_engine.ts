/** Stand-in model engine without sockets: continuous batching on a clock. */

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

/** How an engine takes a request. */
export type StartResult = "accepted" | "down" | "leaving";

/** Figures of an engine since it was made. */
export interface EngineCounters {
  preemptions: number;
  generatedTokens: number;
  started: number;
  crashes: number;
  /** Orders carried out although a higher fencing number had been seen. */
  staleOrders: number;
}

/** Queue, batch and memory of one engine. */
export class SimulatedEngine {
  readonly options: EngineOptions;
  readonly counters: EngineCounters = {
    preemptions: 0,
    generatedTokens: 0,
    started: 0,
    crashes: 0,
    staleOrders: 0,
  };
  /** Prompts of all generations that were started, crashes included. */
  readonly startedPrompts = new Map<GenerationId, string>();
  readonly #clock: Clock;
  readonly #sequences = new Map<GenerationId, Sequence>();
  #queue: Sequence[] = [];
  #running: Sequence[] = [];
  #cache: PrefixCache;
  #cacheEvents: { readonly event: CacheEvent; readonly visibleMs: number }[] =
    [];
  #droppedCacheSequence = 0;
  #loadReports: { readonly madeMs: number; readonly report: LoadReport }[] = [];
  #state: EngineState = INITIAL_ENGINE_STATE;
  #stepTimer: Disposable = NOOP_DISPOSABLE;
  #isStepping = false;
  #isStalled = false;
  #isDown = false;
  #isDraining = false;
  #incarnation = 1;
  #arrivalCount = 0;

  /**
   * @param clock - Clock of the steps.
   * @param options - Differences from the defaults.
   */
  constructor(clock: Clock, options: Partial<EngineOptions> = {}) {
    this.#clock = clock;
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.#cache = new PrefixCache(this.options.cacheBlocks);
  }

  /** Whether the engine answers at all. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Ids of the generations that the engine knows. */
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

  /** Takes a request; the same id again joins the running generation. */
  start(request: EngineRequest, reader: FrameListener): StartResult {
    if (this.#isDown) return "down";
    const known = this.#sequences.get(request.id);
    if (known) {
      known.attach(reader, 0);
      return "accepted";
    }
    if (this.#isDraining || this.#state.role === "standby") return "leaving";
    const length = this.options.lengthOf(request);
    const sequence = new Sequence(request, length, this.#arrivalCount++);
    this.counters.started++;
    this.startedPrompts.set(request.id, request.prompt);
    this.#sequences.set(request.id, sequence);
    sequence.attach(reader, 0);
    this.#enqueue(sequence);
    this.#scheduleStep();
    return "accepted";
  }

  /** @returns Whether the generation is known. */
  attach(id: GenerationId, fromOffset: number, reader: FrameListener): boolean {
    const sequence = this.#isDown ? undefined : this.#sequences.get(id);
    sequence?.attach(reader, fromOffset);
    return sequence !== undefined;
  }

  /** Drops one reader. */
  detach(id: GenerationId, reader: FrameListener): void {
    this.#sequences.get(id)?.listeners.delete(reader);
  }

  /** Ends a generation. */
  cancel(id: GenerationId): CancelResult {
    const sequence = this.#sequences.get(id);
    if (!sequence) return "unknown-generation";
    if (sequence.state === "ended") return "ended";
    this.#queue = this.#queue.filter((other) => other !== sequence);
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#end(sequence, "cancelled");
    return "cancelled";
  }

  /** The load as it was some time ago. */
  readLoad(): LoadReport {
    const nowMs = this.#clock.monotonicMs();
    this.#loadReports.push({ madeMs: nowMs, report: this.#currentLoad() });
    const wantedMs = nowMs - this.options.loadLagMs;
    while (
      this.#loadReports.length > 1 && this.#loadReports[1]!.madeMs <= wantedMs
    ) {
      this.#loadReports.shift();
    }
    const { madeMs, report } = this.#loadReports[0]!;
    return { ...report, ageMs: nowMs - madeMs, isLeaving: this.#isDraining };
  }

  /** Cache events that are visible by now. */
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

  /** @returns The new state, or `undefined` when the order is fenced off. */
  order(order: FencedOrder): EngineState | undefined {
    const isStale = order.fence < this.#state.highestFence;
    if (isStale && this.options.honoursFence) return undefined;
    if (isStale) this.counters.staleOrders++;
    this.#state = applyOrder(this.#state, order);
    if (order.order.kind === "load-model") this.#breakAllSequences();
    return this.#state;
  }

  /** What is loaded. */
  readState(): EngineState {
    return this.#state;
  }

  /** The process dies; everything it knew is lost. */
  crash(): void {
    this.counters.crashes++;
    this.#isDown = true;
    this.#isStepping = false;
    this.#stepTimer.dispose();
    this.#breakAllSequences();
  }

  /** Loading a model takes the memory of all that runs. */
  #breakAllSequences(): void {
    const lost = [...this.#sequences.values()];
    this.#sequences.clear();
    this.#queue = [];
    this.#running = [];
    for (const sequence of lost) sequence.breakConnections();
  }

  /** A new process takes the place of a dead one. */
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

  /** The platform takes the engine back after a notice. */
  reclaim(noticeMs: number): void {
    this.#isDraining = true;
    this.#clock.setTimer(noticeMs, () => this.crash());
  }

  /** Steps stop or go on; connections stay open. */
  setStalled(isStalled: boolean): void {
    this.#isStalled = isStalled;
    if (!isStalled) this.#scheduleStep();
  }

  /** Open connections go silent for good; new ones work. */
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

  /** @returns Prompt tokens that the coming step has to read. */
  #admit(): number {
    let free = this.options.memoryTokens - this.memoryUsedTokens;
    let prefillTokens = 0;
    while (this.#queue.length > 0) {
      const next = this.#queue[0]!;
      const cached = this.#cache.countCachedBlocks(next.blockHashes) *
        PROMPT_BLOCK_TOKENS;
      const needed = next.promptTokens + next.generatedTokens - cached;
      const isAlone = this.#running.length === 0;
      if (this.#running.length >= this.options.maxRunning) break;
      if (needed + 1 > free && !isAlone) break;
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
    const isBad = this.#state.version === this.options.badVersion;
    if (
      this.#running.some(({ isPoison }) => isPoison) ||
      (isBad && this.#running.length > 0)
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

  /** The lowest priority yields first, then the latest arrival. */
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
    const { cacheEventDelayMs, maxCacheEvents: keptCacheEvents } = this.options;
    const visibleMs = this.#clock.monotonicMs() + cacheEventDelayMs;
    for (const event of events) this.#cacheEvents.push({ event, visibleMs });
    while (this.#cacheEvents.length > keptCacheEvents) {
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
