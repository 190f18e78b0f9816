/**
 * Workloads of the dispatch benchmark: classes with their distributions of
 * lengths, and random arrivals of requests.
 */

import type { SeededRandom } from "../../src/base/common/random.ts";
import {
  asId,
  type GenerationId,
  type WorkspaceId,
} from "../../src/base/common/ids.ts";

const CHARACTERS_PER_TOKEN = 4;
/** Number of samples from which the sustainable rate is estimated. */
const RATE_SAMPLE_COUNT = 20_000;
/** Fraction of the engine memory that sequences can fill on average. */
const MEMORY_FILL_FRACTION = 0.9;
/** Number of different shared prompt prefixes per class and workspace. */
const SHARED_PREFIX_VARIANTS = 4;

/** Service class of a workload. */
export interface BenchClass {
  readonly name: string;
  readonly priority: number;
  /** Whether the latency targets of short requests apply. */
  readonly isInteractive: boolean;
  /** Time in milliseconds that a caller waits for the first token. */
  readonly maxWaitMs: number;
  /** Relative frequency of requests. */
  readonly weight: number;
  /** Number of prompt tokens that requests of one workspace can share. */
  readonly sharedTokens: number;
  /** Smallest and largest number of prompt tokens that are not shared. */
  readonly uniqueTokenRange: readonly [number, number];
  /** Median number of generated tokens. */
  readonly medianLengthTokens: number;
  /** Standard deviation of the natural logarithm of the length. */
  readonly lengthSigma: number;
  readonly maxTokens: number;
}

/** Workload and the number of replicas that serve it. */
export interface Workload {
  readonly name: string;
  readonly replicas: number;
  readonly classes: readonly BenchClass[];
}

/** Vehicle wrap design: long concepts with a heavy-tailed length, and captions. */
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

/** Dance studios: drafts that can wait, rota checks and short lookups. */
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

/** Relative request rates of the workspaces; a few send most requests. */
const WORKSPACE_WEIGHTS = [25, 20, 15, 10, 8, 7, 6, 4, 3, 2];

/** Request with its arrival time and the length of its generation. */
export interface Arrival {
  readonly id: GenerationId;
  readonly atMs: number;
  readonly workspace: WorkspaceId;
  readonly class: BenchClass;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Number of tokens that the engine generates. */
  readonly lengthTokens: number;
}

/** Rate of the arrivals and deviations from it. */
export interface ArrivalOptions {
  readonly random: SeededRandom;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /**
   * Period in which one workspace sends, in addition, as many requests as all
   * workspaces together.
   */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number };
  /**
   * Time from which long generations are three times as long and arrive at a
   * third of the rate.
   */
  readonly lengthShiftMs?: number;
}

const LENGTH_SHIFT_FACTOR = 3;
const BURST_WORKSPACE_INDEX = 8;

/** @returns The workspace that sends the requests of a burst. */
export function burstWorkspaceId(): WorkspaceId {
  return toWorkspaceId(BURST_WORKSPACE_INDEX);
}

/** @returns All arrivals, ordered by time. */
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

/**
 * Creates arrivals with exponentially distributed gaps, from one workspace or,
 * if none is given, from all of them.
 */
function createPoissonArrivals(
  workload: Workload,
  options: ArrivalOptions,
  fromMs: number,
  untilMs: number,
  workspaceIndex: number | undefined,
): Arrival[] {
  const { random, requestsPerSecond, lengthShiftMs } = options;
  const arrivals: Arrival[] = [];
  let atMs = fromMs;
  for (;;) {
    atMs += random.exponential(1_000 / requestsPerSecond);
    if (atMs >= untilMs) return arrivals;
    const requestClass = pickClass(workload, random);
    const isShifted = atMs >= (lengthShiftMs ?? Infinity) &&
      !requestClass.isInteractive;
    if (isShifted && random.float() > 1 / LENGTH_SHIFT_FACTOR) continue;
    const workspace = workspaceIndex ?? pickWeighted(WORKSPACE_WEIGHTS, random);
    arrivals.push(createArrival({
      requestClass,
      workspaceIndex: workspace,
      atMs,
      lengthFactor: isShifted ? LENGTH_SHIFT_FACTOR : 1,
      index: arrivals.length,
      idPrefix: workspaceIndex === undefined ? "s" : "b",
    }, random));
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
  random: SeededRandom,
): Arrival {
  const {
    requestClass,
    workspaceIndex,
    atMs,
    lengthFactor,
    index,
    idPrefix,
  } = parameters;
  const id = `${idPrefix}${index}`;
  const [low, high] = requestClass.uniqueTokenRange;
  const uniqueTokens = random.int(low, high);
  const sharedPattern = `${requestClass.name}-${workspaceIndex}-${
    random.int(1, SHARED_PREFIX_VARIANTS)
  } `;
  const sharedText = sharedPattern.repeat(
    Math.ceil(
      requestClass.sharedTokens * CHARACTERS_PER_TOKEN / sharedPattern.length,
    ),
  ).slice(0, requestClass.sharedTokens * CHARACTERS_PER_TOKEN);
  const uniqueText = `${id} `.repeat(
    Math.ceil(uniqueTokens * CHARACTERS_PER_TOKEN / (id.length + 1)),
  ).slice(0, uniqueTokens * CHARACTERS_PER_TOKEN);
  return {
    id: asId<GenerationId>(id),
    atMs,
    workspace: toWorkspaceId(workspaceIndex),
    class: requestClass,
    prompt: sharedText + uniqueText,
    promptTokens: requestClass.sharedTokens + uniqueTokens,
    lengthTokens: sampleLength(requestClass, lengthFactor, random),
  };
}

function sampleLength(
  { medianLengthTokens, lengthSigma, maxTokens }: BenchClass,
  lengthFactor: number,
  random: SeededRandom,
): number {
  const length = medianLengthTokens * lengthFactor *
    Math.exp(lengthSigma * random.normal());
  return Math.max(1, Math.min(maxTokens, Math.round(length)));
}

/** Parameters of the simulated engines. */
export interface EngineParameters {
  readonly memoryTokens: number;
  readonly maxRunning: number;
  readonly baseStepMs: number;
  readonly stepMsPerSequence: number;
  readonly prefillTokensPerMs: number;
}

/**
 * Estimates the request rate that all replicas together can sustain, given their
 * memory, slots and step time. Assumes that sequences fill a fixed fraction of
 * the memory on average.
 *
 * @returns The rate in requests per second.
 */
export function estimateSustainedRequestsPerSecond(
  workload: Workload,
  engine: EngineParameters,
  random: SeededRandom,
): number {
  let lengthSum = 0;
  let memorySum = 0;
  let prefillSum = 0;
  for (let sample = 0; sample < RATE_SAMPLE_COUNT; sample++) {
    const requestClass = pickClass(workload, random);
    const [low, high] = requestClass.uniqueTokenRange;
    const length = sampleLength(requestClass, 1, random);
    const uniqueTokens = random.int(low, high);
    lengthSum += length;
    memorySum += uniqueTokens * length + length * length / 2;
    prefillSum += uniqueTokens;
  }
  const memoryRatePerStep = MEMORY_FILL_FRACTION * engine.memoryTokens *
    RATE_SAMPLE_COUNT / memorySum;
  const slotRatePerStep = engine.maxRunning * RATE_SAMPLE_COUNT / lengthSum;
  const requestsPerStep = Math.min(memoryRatePerStep, slotRatePerStep);
  const running = requestsPerStep * lengthSum / RATE_SAMPLE_COUNT;
  const stepMs = engine.baseStepMs + engine.stepMsPerSequence * running +
    requestsPerStep * prefillSum / RATE_SAMPLE_COUNT /
      engine.prefillTokensPerMs;
  return workload.replicas * requestsPerStep / stepMs * 1_000;
}

function pickClass(workload: Workload, random: SeededRandom): BenchClass {
  const weights = workload.classes.map(({ weight }) => weight);
  return workload.classes[pickWeighted(weights, random)]!;
}

function pickWeighted(
  weights: readonly number[],
  random: SeededRandom,
): number {
  const sum = weights.reduce((total, weight) => total + weight, 0);
  let remainingWeight = random.float() * sum;
  for (const [index, weight] of weights.entries()) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return index;
  }
  return weights.length - 1;
}

function toWorkspaceId(index: number): WorkspaceId {
  return asId<WorkspaceId>(`bench/w${index}`);
}
