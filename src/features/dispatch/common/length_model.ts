/**
 * Forecasts output lengths from the histograms of each class and of the busiest
 * workspaces.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { LengthHistogram } from "./length_histogram.ts";
import {
  fillProfileFromSurvival,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";

/** Maximum number of class histograms; further classes share the first one. */
const MAX_CLASSES = 32;
const MAX_WORKSPACE_HISTOGRAMS = 64;
/** Number of samples from which the histogram of a workspace is used. */
const MIN_WORKSPACE_SAMPLES = 40;
/**
 * Factor by which the sample count of a workspace decays each time its eviction
 * is considered.
 */
const AGING_FACTOR = 0.9;
/** Weight of the prior distribution, in samples. */
const PRIOR_SAMPLES = 2;
const PRIOR_SHORTEST_TOKENS = 16;
/** Exponent of the power-law tail beyond all observed lengths. */
const TAIL_EXPONENT = 1.5;
/** Weight of the tail, in samples. */
const TAIL_SAMPLES = 0.5;

/** Properties of a request on which the length forecast depends. */
export interface LengthFeatures {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly maxTokens: number;
}

/**
 * Forecasts output lengths and learns from running and completed generations.
 */
export interface LengthModel {
  /** @returns The memory forecast of a new request. */
  forecast(features: LengthFeatures): MemoryForecast;
  /**
   * Records that a running generation has produced more tokens.
   *
   * @param features - Properties of the request.
   * @param fromTokens - Length in tokens that has been reported already.
   * @param toTokens - Current length in tokens.
   */
  onProgress(
    features: LengthFeatures,
    fromTokens: number,
    toTokens: number,
  ): void;
  /**
   * Records the final length of a completed generation.
   *
   * @param features - Properties of the request.
   * @param generatedTokens - Final length in tokens.
   * @param countedTokens - Length in tokens that has been reported already.
   */
  onEnded(
    features: LengthFeatures,
    generatedTokens: number,
    countedTokens?: number,
  ): void;
}

interface WorkspaceHistogram {
  readonly histogram: LengthHistogram;
  samples: number;
}

/** Length model based on a bounded number of histograms. */
export class HistogramLengthModel implements LengthModel {
  readonly #classHistograms = new Map<string, LengthHistogram>();
  readonly #workspaceHistograms = new Map<string, WorkspaceHistogram>();

  /** {@inheritDoc LengthModel.forecast} */
  forecast(features: LengthFeatures): MemoryForecast {
    const workspace = this.#workspaceHistograms.get(keyOf(features));
    const histogram = workspace && workspace.samples >= MIN_WORKSPACE_SAMPLES
      ? workspace.histogram
      : this.#classHistogram(features.className);
    return new HistogramForecast(histogram, features.maxTokens);
  }

  /** {@inheritDoc LengthModel.onProgress} */
  onProgress(
    features: LengthFeatures,
    fromTokens: number,
    toTokens: number,
  ): void {
    this.#classHistogram(features.className).recordProgress(
      fromTokens,
      toTokens,
    );
    const entry = this.#workspaceHistograms.get(keyOf(features));
    entry?.histogram.recordProgress(fromTokens, toTokens);
  }

  /** {@inheritDoc LengthModel.onEnded} */
  onEnded(
    features: LengthFeatures,
    generatedTokens: number,
    countedTokens = 0,
  ): void {
    const classHistogram = this.#classHistogram(features.className);
    classHistogram.recordCompletion(generatedTokens, countedTokens);
    const entry = this.#workspaceHistogram(keyOf(features));
    if (!entry) return;
    entry.histogram.recordCompletion(generatedTokens, countedTokens);
    entry.samples++;
  }

  #classHistogram(className: string): LengthHistogram {
    const existing = this.#classHistograms.get(className);
    if (existing) return existing;
    if (this.#classHistograms.size >= MAX_CLASSES) {
      return this.#classHistograms.values().next().value!;
    }
    const histogram = new LengthHistogram();
    this.#classHistograms.set(className, histogram);
    return histogram;
  }

  /**
   * Returns the histogram of a workspace, or `undefined` if busier workspaces
   * occupy the table.
   */
  #workspaceHistogram(key: string): WorkspaceHistogram | undefined {
    const existing = this.#workspaceHistograms.get(key);
    if (existing) return existing;
    const isFull = this.#workspaceHistograms.size >= MAX_WORKSPACE_HISTOGRAMS;
    if (isFull && !this.#ageAndEvictIdle()) return undefined;
    const entry = { histogram: new LengthHistogram(), samples: 0 };
    this.#workspaceHistograms.set(key, entry);
    return entry;
  }

  /**
   * Decays the sample count of one workspace in round-robin order and evicts
   * the workspace if it has become idle.
   *
   * @returns Whether a workspace was evicted.
   */
  #ageAndEvictIdle(): boolean {
    const [key, entry] = this.#workspaceHistograms.entries().next().value!;
    this.#workspaceHistograms.delete(key);
    entry.samples *= AGING_FACTOR;
    if (entry.samples < 1) return true;
    this.#workspaceHistograms.set(key, entry);
    return false;
  }
}

/**
 * Forecast that combines a histogram with a prior up to the request's token
 * limit.
 */
class HistogramForecast implements MemoryForecast {
  readonly #histogram: LengthHistogram;
  readonly #maxTokens: number;

  constructor(histogram: LengthHistogram, maxTokens: number) {
    this.#histogram = histogram;
    this.#maxTokens = maxTokens;
  }

  get expectedTokens(): number {
    const samples = this.#histogram.sampleCount;
    const priorMean = (this.#maxTokens - PRIOR_SHORTEST_TOKENS) /
      Math.log(Math.max(2, this.#maxTokens / PRIOR_SHORTEST_TOKENS));
    const mean =
      (samples * this.#histogram.meanTokens + PRIOR_SAMPLES * priorMean) /
      (samples + PRIOR_SAMPLES);
    return Math.max(1, Math.min(mean, this.#maxTokens));
  }

  fillProfile(
    baseTokens: number,
    generatedTokens: number,
    profile: MemoryProfile,
  ): void {
    const survivors = this.#countAbove(generatedTokens);
    fillProfileFromSurvival(
      baseTokens,
      generatedTokens,
      profile,
      (furtherTokens) => {
        const total = generatedTokens + furtherTokens;
        if (total >= this.#maxTokens) return 0;
        const tail = (Math.max(1, generatedTokens) / total) ** TAIL_EXPONENT;
        return (this.#countAbove(total) + TAIL_SAMPLES * tail) /
          (survivors + TAIL_SAMPLES);
      },
    );
  }

  #countAbove(tokens: number): number {
    return this.#histogram.countAbove(tokens) +
      PRIOR_SAMPLES * this.#priorSurvival(tokens);
  }

  /**
   * Returns the prior survival probability. The prior distributes the logarithm
   * of the length uniformly up to the token limit.
   */
  #priorSurvival(tokens: number): number {
    if (tokens <= PRIOR_SHORTEST_TOKENS) return 1;
    if (tokens >= this.#maxTokens) return 0;
    return 1 - Math.log(tokens / PRIOR_SHORTEST_TOKENS) /
        Math.log(this.#maxTokens / PRIOR_SHORTEST_TOKENS);
  }
}

function keyOf({ workspace, className }: LengthFeatures): string {
  return `${className}|${workspace}`;
}
