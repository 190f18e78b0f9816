/** Workloads of the dispatch bench: classes, lengths, workspaces, arrivals. */

import type { SeededRandom } from "../../src/base/common/random.ts";
import {
  asId,
  type GenerationId,
  type WorkspaceId,
} from "../../src/base/common/ids.ts";

const CHARACTERS_PER_TOKEN = 4;
/** Samples from which the sustained rate is computed. */
const RATE_SAMPLE_COUNT = 20_000;
/** Part of the memory that sequences can fill on average. */
const MEMORY_FILL_FRACTION = 0.9;
const SHARED_PREFIX_VARIANTS = 4;

/** One class of a workload. */
export interface BenchClass {
  readonly name: string;
  readonly priority: number;
  readonly isInteractive: boolean;
  readonly maxWaitMs: number;
  /** Relative number of requests. */
  readonly weight: number;
  /** Prompt tokens that requests of one workspace have in common. */
  readonly sharedTokens: number;
  readonly uniqueTokenRange: readonly [number, number];
  readonly medianLengthTokens: number;
  /** Deviation of the logarithm of the length. */
  readonly lengthSigma: number;
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
    isInteractive: false,
    maxWaitMs: 120_000,
    weight: 3,
    sharedTokens: 1_024,
    uniqueTokenRange: [300, 1_500],
    medianLengthTokens: 1_000,
    lengthSigma: 1.1,
    maxTokens: 30_000,
  }, {
    name: "caption",
    priority: 7,
    isInteractive: true,
    maxWaitMs: 10_000,
    weight: 7,
    sharedTokens: 64,
    uniqueTokenRange: [40, 200],
    medianLengthTokens: 40,
    lengthSigma: 0.5,
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
    isInteractive: false,
    maxWaitMs: 240_000,
    weight: 15,
    sharedTokens: 512,
    uniqueTokenRange: [500, 2_000],
    medianLengthTokens: 2_500,
    lengthSigma: 0.5,
    maxTokens: 16_000,
  }, {
    name: "rota",
    priority: 5,
    isInteractive: true,
    maxWaitMs: 20_000,
    weight: 25,
    sharedTokens: 128,
    uniqueTokenRange: [100, 400],
    medianLengthTokens: 120,
    lengthSigma: 0.5,
    maxTokens: 1_024,
  }, {
    name: "lookup",
    priority: 9,
    isInteractive: true,
    maxWaitMs: 4_000,
    weight: 60,
    sharedTokens: 64,
    uniqueTokenRange: [20, 120],
    medianLengthTokens: 25,
    lengthSigma: 0.4,
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
export interface ArrivalOptions {
  readonly random: SeededRandom;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** A workspace that sends as much as all together, for a time. */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number };
  /** Moment from which long answers are three times as long and as rare. */
  readonly lengthShiftMs?: number;
}

const LENGTH_SHIFT_FACTOR = 3;
const BURST_WORKSPACE_INDEX = 8;

/** @returns The workspace that a burst comes from. */
export function burstWorkspaceId(): WorkspaceId {
  return toWorkspaceId(BURST_WORKSPACE_INDEX);
}

/** @returns All arrivals in order of time. */
export function createArrivals(
  workload: Workload,
  options: ArrivalOptions,
): Arrival[] {
  const regularArrivals = createPoissonArrivals(
    workload,
    options,
    0,
    options.durationMs,
    undefined,
  );
  if (!options.burst) return regularArrivals;
  const { fromMs, untilMs } = options.burst;
  const burstArrivals = createPoissonArrivals(
    workload,
    options,
    fromMs,
    untilMs,
    BURST_WORKSPACE_INDEX,
  );
  return [...regularArrivals, ...burstArrivals].sort((left, right) =>
    left.atMs - right.atMs
  );
}

function createPoissonArrivals(
  workload: Workload,
  options: ArrivalOptions,
  fromMs: number,
  untilMs: number,
  workspaceIndex: number | undefined,
): Arrival[] {
  const { random: seed, requestsPerSecond, lengthShiftMs: shiftMs } = options;
  const arrivals: Arrival[] = [];
  let atMs = fromMs;
  for (;;) {
    atMs += seed.exponential(1_000 / requestsPerSecond);
    if (atMs >= untilMs) return arrivals;
    const requestClass = pickClass(workload, seed);
    const isShifted = atMs >= (shiftMs ?? Infinity) &&
      !requestClass.isInteractive;
    if (isShifted && seed.float() > 1 / LENGTH_SHIFT_FACTOR) continue;
    const workspace = workspaceIndex ?? pickWeighted(WORKSPACE_WEIGHTS, seed);
    arrivals.push(createArrival({
      requestClass: requestClass,
      workspaceIndex: workspace,
      atMs,
      lengthFactor: isShifted ? LENGTH_SHIFT_FACTOR : 1,
      index: arrivals.length,
      idPrefix: workspaceIndex === undefined ? "s" : "b",
    }, seed));
  }
}

interface ArrivalParameters {
  readonly requestClass: BenchClass;
  readonly workspaceIndex: number;
  readonly atMs: number;
  readonly lengthFactor: number;
  readonly index: number;
  readonly idPrefix: string;
}

function createArrival(
  parameters: ArrivalParameters,
  seed: SeededRandom,
): Arrival {
  const {
    requestClass: chosen,
    workspaceIndex: workspace,
    atMs,
    lengthFactor: factor,
    index: number,
    idPrefix: prefix,
  } = parameters;
  const id = `${prefix}${number}`;
  const [low, high] = chosen.uniqueTokenRange;
  const uniqueTokens = seed.int(low, high);
  const sharedPattern = `${chosen.name}-${workspace}-${
    seed.int(1, SHARED_PREFIX_VARIANTS)
  } `;
  const sharedText = sharedPattern.repeat(
    Math.ceil(
      chosen.sharedTokens * CHARACTERS_PER_TOKEN / sharedPattern.length,
    ),
  ).slice(0, chosen.sharedTokens * CHARACTERS_PER_TOKEN);
  const uniqueText = `${id} `.repeat(
    Math.ceil(uniqueTokens * CHARACTERS_PER_TOKEN / (id.length + 1)),
  ).slice(0, uniqueTokens * CHARACTERS_PER_TOKEN);
  return {
    id: asId<GenerationId>(id),
    atMs,
    workspace: toWorkspaceId(workspace),
    class: chosen,
    prompt: sharedText + uniqueText,
    promptTokens: chosen.sharedTokens + uniqueTokens,
    lengthTokens: sampleLength(chosen, factor, seed),
  };
}

function sampleLength(
  { medianLengthTokens: medianTokens, lengthSigma: sigma, maxTokens }:
    BenchClass,
  factor: number,
  seed: SeededRandom,
): number {
  const length = medianTokens * factor * Math.exp(sigma * seed.normal());
  return Math.max(1, Math.min(maxTokens, Math.round(length)));
}

/** What an engine of a bench is like. */
export interface EngineParameters {
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
export function estimateSustainedRequestsPerSecond(
  workload: Workload,
  engine: EngineParameters,
  seed: SeededRandom,
): number {
  let lengthSum = 0;
  let memorySum = 0;
  let prefillSum = 0;
  for (let sample = 0; sample < RATE_SAMPLE_COUNT; sample++) {
    const chosen = pickClass(workload, seed);
    const [low, high] = chosen.uniqueTokenRange;
    const length = sampleLength(chosen, 1, seed);
    const own = seed.int(low, high);
    lengthSum += length;
    memorySum += own * length + length * length / 2;
    prefillSum += own;
  }
  const perStepByMemory = MEMORY_FILL_FRACTION * engine.memoryTokens *
    RATE_SAMPLE_COUNT / memorySum;
  const perStepBySlots = engine.maxRunning * RATE_SAMPLE_COUNT / lengthSum;
  const perStep = Math.min(perStepByMemory, perStepBySlots);
  const running = perStep * lengthSum / RATE_SAMPLE_COUNT;
  const stepMs = engine.baseStepMs + engine.stepMsPerSequence * running +
    perStep * prefillSum / RATE_SAMPLE_COUNT / engine.prefillTokensPerMs;
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

function toWorkspaceId(number: number): WorkspaceId {
  return asId<WorkspaceId>(`bench/w${number}`);
}
