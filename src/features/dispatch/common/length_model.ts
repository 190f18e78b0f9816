/** What is known of the lengths of answers, by class and busiest workspace. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { LengthHistogram } from "./length_histogram.ts";
import {
  fillProfileFromSurvival,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";

const MAX_CLASSES = 32;
const MAX_WORKSPACE_HISTOGRAMS = 64;
const MIN_WORKSPACE_SAMPLES = 40;
/** Part of a workspace's samples that is left when its turn comes. */
const AGING_FACTOR = 0.9;
/** Number of samples that the prior counts as. */
const PRIOR_SAMPLES = 2;
const PRIOR_SHORTEST_TOKENS = 16;
/** Exponent of the tail beyond all that has been seen. */
const TAIL_EXPONENT = 1.5;
const TAIL_SAMPLES = 0.5;

/** What a forecast needs to know of a request. */
export interface LengthFeatures {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly maxTokens: number;
}

/** Forecasts lengths and learns from the ends of requests. */
export interface LengthModel {
  /** @returns The forecast of a new request. */
  forecast(subject: LengthFeatures): MemoryForecast;
  /**
   * Learns that an answer goes on.
   *
   * @param subject - Its request.
   * @param fromTokens - Length that was told before.
   * @param toTokens - Its length now.
   */
  onProgress(
    subject: LengthFeatures,
    fromTokens: number,
    toTokens: number,
  ): void;
  /**
   * Learns the length of an answer that came to its end.
   *
   * @param subject - Its request.
   * @param generatedTokens - Its length.
   * @param countedTokens - Length that was told before.
   */
  onEnded(
    subject: LengthFeatures,
    generatedTokens: number,
    countedTokens?: number,
  ): void;
}

interface WorkspaceHistogram {
  readonly histogram: LengthHistogram;
  samples: number;
}

/** Histograms of one service; bounded in number. */
export class HistogramLengthModel implements LengthModel {
  readonly #classHistograms = new Map<string, LengthHistogram>();
  readonly #workspaceHistograms = new Map<string, WorkspaceHistogram>();

  /** {@inheritDoc LengthModel.forecast} */
  forecast(subject: LengthFeatures): MemoryForecast {
    const own = this.#workspaceHistograms.get(keyOf(subject));
    const histogram = own && own.samples >= MIN_WORKSPACE_SAMPLES
      ? own.histogram
      : this.#classHistogram(subject.className);
    return new HistogramForecast(histogram, subject.maxTokens);
  }

  /** {@inheritDoc LengthModel.onProgress} */
  onProgress(
    subject: LengthFeatures,
    fromTokens: number,
    toTokens: number,
  ): void {
    this.#classHistogram(subject.className).recordProgress(
      fromTokens,
      toTokens,
    );
    const lengths = this.#workspaceHistograms.get(keyOf(subject));
    lengths?.histogram.recordProgress(fromTokens, toTokens);
  }

  /** {@inheritDoc LengthModel.onEnded} */
  onEnded(
    subject: LengthFeatures,
    generatedTokens: number,
    countedTokens = 0,
  ): void {
    const ofClass = this.#classHistogram(subject.className);
    ofClass.recordCompletion(generatedTokens, countedTokens);
    const lengths = this.#workspaceHistogram(keyOf(subject));
    if (!lengths) return;
    lengths.histogram.recordCompletion(generatedTokens, countedTokens);
    lengths.samples++;
  }

  #classHistogram(className: string): LengthHistogram {
    const known = this.#classHistograms.get(className);
    if (known) return known;
    if (this.#classHistograms.size >= MAX_CLASSES) {
      return this.#classHistograms.values().next().value!;
    }
    const histogram = new LengthHistogram();
    this.#classHistograms.set(className, histogram);
    return histogram;
  }

  /** Lengths of a workspace, unless busier ones take all the places. */
  #workspaceHistogram(key: string): WorkspaceHistogram | undefined {
    const known = this.#workspaceHistograms.get(key);
    if (known) return known;
    const isFull = this.#workspaceHistograms.size >= MAX_WORKSPACE_HISTOGRAMS;
    if (isFull && !this.#ageAndEvictIdle()) return undefined;
    const lengths = { histogram: new LengthHistogram(), samples: 0 };
    this.#workspaceHistograms.set(key, lengths);
    return lengths;
  }

  /** Ages one workspace, in turn, and drops it when it has become quiet. */
  #ageAndEvictIdle(): boolean {
    const [key, lengths] = this.#workspaceHistograms.entries().next().value!;
    this.#workspaceHistograms.delete(key);
    lengths.samples *= AGING_FACTOR;
    if (lengths.samples < 1) return true;
    this.#workspaceHistograms.set(key, lengths);
    return false;
  }
}

/** Forecast from a histogram, mixed with a prior up to the request's limit. */
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
    into: MemoryProfile,
  ): void {
    const alive = this.#countAbove(generatedTokens);
    fillProfileFromSurvival(
      baseTokens,
      generatedTokens,
      into,
      (furtherTokens) => {
        const total = generatedTokens + furtherTokens;
        if (total >= this.#maxTokens) return 0;
        const tail = (Math.max(1, generatedTokens) / total) ** TAIL_EXPONENT;
        return (this.#countAbove(total) + TAIL_SAMPLES * tail) /
          (alive + TAIL_SAMPLES);
      },
    );
  }

  #countAbove(tokens: number): number {
    return this.#histogram.countAbove(tokens) +
      PRIOR_SAMPLES * this.#priorSurvival(tokens);
  }

  /** Logarithm of the length evenly spread up to the limit. */
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
