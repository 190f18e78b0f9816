/** Workloads of the dispatch bench: classes, lengths, workspaces, arrivals. */

import type { SeededRandom } from "../../src/base/common/random.ts";
import {
  asId,
  type GenerationId,
  type WorkspaceId,
} from "../../src/base/common/ids.ts";

const CHARACTERS_PER_TOKEN = 4;
/** Samples from which the sustained rate is computed. */
const SAMPLES = 20_000;
/** Part of the memory that sequences can fill on average. */
const PACKING = 0.9;
const BRIEF_VARIANTS = 4;

/** One class of a workload. */
export interface BenchClass {
  readonly name: string;
  readonly priority: number;
  readonly isShort: boolean;
  readonly patienceMs: number;
  /** Relative number of requests. */
  readonly weight: number;
  /** Prompt tokens that requests of one workspace have in common. */
  readonly sharedTokens: number;
  readonly ownTokens: readonly [number, number];
  readonly medianTokens: number;
  /** Deviation of the logarithm of the length. */
  readonly sigma: number;
  readonly maxTokens: number;
}

/** A workload on a number of replicas. */
export interface Workload {
  readonly name: string;
  readonly replicas: number;
  readonly classes: readonly BenchClass[];
}

/** Requests of vehicle wrap design: long concepts with a heavy tail. */
const WRAP: Workload = {
  name: "wrap",
  replicas: 8,
  classes: [{
    name: "concept",
    priority: 3,
    isShort: false,
    patienceMs: 120_000,
    weight: 3,
    sharedTokens: 1_024,
    ownTokens: [300, 1_500],
    medianTokens: 1_000,
    sigma: 1.1,
    maxTokens: 30_000,
  }, {
    name: "caption",
    priority: 7,
    isShort: true,
    patienceMs: 10_000,
    weight: 7,
    sharedTokens: 64,
    ownTokens: [40, 200],
    medianTokens: 40,
    sigma: 0.5,
    maxTokens: 256,
  }],
};

/** Requests of dance studios: patient drafts, rota checks, look-ups. */
const TIMETABLE: Workload = {
  name: "timetable",
  replicas: 6,
  classes: [{
    name: "draft",
    priority: 3,
    isShort: false,
    patienceMs: 240_000,
    weight: 15,
    sharedTokens: 512,
    ownTokens: [500, 2_000],
    medianTokens: 2_500,
    sigma: 0.5,
    maxTokens: 16_000,
  }, {
    name: "rota",
    priority: 5,
    isShort: true,
    patienceMs: 20_000,
    weight: 25,
    sharedTokens: 128,
    ownTokens: [100, 400],
    medianTokens: 120,
    sigma: 0.5,
    maxTokens: 1_024,
  }, {
    name: "lookup",
    priority: 9,
    isShort: true,
    patienceMs: 4_000,
    weight: 60,
    sharedTokens: 64,
    ownTokens: [20, 120],
    medianTokens: 25,
    sigma: 0.4,
    maxTokens: 128,
  }],
};

/** All workloads. */
export const WORKLOADS: readonly Workload[] = [WRAP, TIMETABLE];

/** Share of requests of each workspace: a few are large. */
const WORKSPACE_WEIGHTS = [25, 20, 15, 10, 8, 7, 6, 4, 3, 2];

/** A request that arrives. */
export interface Arrival {
  readonly id: GenerationId;
  readonly atMs: number;
  readonly workspace: WorkspaceId;
  readonly class: BenchClass;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly lengthTokens: number;
}

/** How arrivals deviate from a steady stream. */
export interface ArrivalPlan {
  readonly seed: SeededRandom;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** A workspace that sends as much as all together, for a time. */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number };
  /** Moment from which long answers are three times as long and as rare. */
  readonly shiftMs?: number;
}

const SHIFT_FACTOR = 3;
const BURST_WORKSPACE = 8;

/** @returns The workspace that a burst comes from. */
export function burstWorkspace(): WorkspaceId {
  return workspaceId(BURST_WORKSPACE);
}

/** @returns All arrivals in order of time. */
export function createArrivals(
  workload: Workload,
  plan: ArrivalPlan,
): Arrival[] {
  const steady = createStream(workload, plan, 0, plan.durationMs, undefined);
  if (!plan.burst) return steady;
  const { fromMs, untilMs } = plan.burst;
  const extra = createStream(
    workload,
    plan,
    fromMs,
    untilMs,
    BURST_WORKSPACE,
  );
  return [...steady, ...extra].sort((left, right) => left.atMs - right.atMs);
}

function createStream(
  workload: Workload,
  plan: ArrivalPlan,
  fromMs: number,
  untilMs: number,
  onlyWorkspace: number | undefined,
): Arrival[] {
  const { seed, requestsPerSecond, shiftMs } = plan;
  const arrivals: Arrival[] = [];
  let atMs = fromMs;
  for (;;) {
    atMs += seed.exponential(1_000 / requestsPerSecond);
    if (atMs >= untilMs) return arrivals;
    const chosen = pickClass(workload, seed);
    const isShifted = atMs >= (shiftMs ?? Infinity) && !chosen.isShort;
    if (isShifted && seed.float() > 1 / SHIFT_FACTOR) continue;
    const workspace = onlyWorkspace ?? pickWeighted(WORKSPACE_WEIGHTS, seed);
    arrivals.push(createArrival({
      chosen,
      workspace,
      atMs,
      factor: isShifted ? SHIFT_FACTOR : 1,
      number: arrivals.length,
      prefix: onlyWorkspace === undefined ? "s" : "b",
    }, seed));
  }
}

interface ArrivalDraft {
  readonly chosen: BenchClass;
  readonly workspace: number;
  readonly atMs: number;
  readonly factor: number;
  readonly number: number;
  readonly prefix: string;
}

function createArrival(draft: ArrivalDraft, seed: SeededRandom): Arrival {
  const { chosen, workspace, atMs, factor, number, prefix } = draft;
  const id = `${prefix}${number}`;
  const [low, high] = chosen.ownTokens;
  const ownTokens = seed.int(low, high);
  const brief = `${chosen.name}-${workspace}-${seed.int(1, BRIEF_VARIANTS)} `;
  const shared = brief.repeat(
    Math.ceil(chosen.sharedTokens * CHARACTERS_PER_TOKEN / brief.length),
  ).slice(0, chosen.sharedTokens * CHARACTERS_PER_TOKEN);
  const own = `${id} `.repeat(
    Math.ceil(ownTokens * CHARACTERS_PER_TOKEN / (id.length + 1)),
  ).slice(0, ownTokens * CHARACTERS_PER_TOKEN);
  return {
    id: asId<GenerationId>(id),
    atMs,
    workspace: workspaceId(workspace),
    class: chosen,
    prompt: shared + own,
    promptTokens: chosen.sharedTokens + ownTokens,
    lengthTokens: sampleLength(chosen, factor, seed),
  };
}

function sampleLength(
  { medianTokens, sigma, maxTokens }: BenchClass,
  factor: number,
  seed: SeededRandom,
): number {
  const length = medianTokens * factor * Math.exp(sigma * seed.normal());
  return Math.max(1, Math.min(maxTokens, Math.round(length)));
}

/** What an engine of a bench is like. */
export interface EngineFigures {
  readonly memoryTokens: number;
  readonly maxRunning: number;
  readonly baseStepMs: number;
  readonly stepMsPerSequence: number;
  readonly prefillTokensPerMs: number;
}

/**
 * Requests a second that all replicas can serve for ever, by memory and step
 * time, when sequences fill the memory on average to a fixed part.
 */
export function sustainedRequestsPerSecond(
  workload: Workload,
  engine: EngineFigures,
  seed: SeededRandom,
): number {
  let lengthSum = 0;
  let memorySum = 0;
  let prefillSum = 0;
  for (let sample = 0; sample < SAMPLES; sample++) {
    const chosen = pickClass(workload, seed);
    const [low, high] = chosen.ownTokens;
    const length = sampleLength(chosen, 1, seed);
    const own = seed.int(low, high);
    lengthSum += length;
    memorySum += own * length + length * length / 2;
    prefillSum += own;
  }
  const perStepByMemory = PACKING * engine.memoryTokens * SAMPLES / memorySum;
  const perStepBySlots = engine.maxRunning * SAMPLES / lengthSum;
  const perStep = Math.min(perStepByMemory, perStepBySlots);
  const running = perStep * lengthSum / SAMPLES;
  const stepMs = engine.baseStepMs + engine.stepMsPerSequence * running +
    perStep * prefillSum / SAMPLES / engine.prefillTokensPerMs;
  return workload.replicas * perStep / stepMs * 1_000;
}

function pickClass(workload: Workload, seed: SeededRandom): BenchClass {
  const weights = workload.classes.map(({ weight }) => weight);
  return workload.classes[pickWeighted(weights, seed)]!;
}

function pickWeighted(weights: readonly number[], seed: SeededRandom): number {
  const sum = weights.reduce((total, weight) => total + weight, 0);
  let left = seed.float() * sum;
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.length - 1;
}

function workspaceId(number: number): WorkspaceId {
  return asId<WorkspaceId>(`bench/w${number}`);
}
