/** What is known of the lengths of answers, by class and busiest workspace. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { LengthHistogram } from "./length_histogram.ts";
import {
  fillFromSurvival,
  type MemoryForecast,
  type MemoryProfile,
} from "./memory_profile.ts";

const MAX_CLASSES = 32;
const MAX_WORKSPACE_HISTOGRAMS = 64;
const MIN_WORKSPACE_SAMPLES = 40;
/** Part of a workspace's samples that is left when its turn comes. */
const AGEING = 0.9;
/** Number of samples that the prior counts as. */
const PRIOR_SAMPLES = 2;
const PRIOR_SHORTEST_TOKENS = 16;
/** Exponent of the tail beyond all that has been seen. */
const TAIL_EXPONENT = 1.5;
const MIN_EVIDENCE_SAMPLES = 0.5;

/** What a forecast needs to know of a request. */
export interface LengthSubject {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly maxTokens: number;
}

/** Forecasts lengths and learns from the ends of requests. */
export interface LengthModel {
  /** @returns The forecast of a new request. */
  forecast(subject: LengthSubject): MemoryForecast;
  /**
   * Learns that an answer goes on.
   *
   * @param subject - Its request.
   * @param fromTokens - Length that was told before.
   * @param toTokens - Its length now.
   */
  advance(subject: LengthSubject, fromTokens: number, toTokens: number): void;
  /**
   * Learns the length of an answer that came to its end.
   *
   * @param subject - Its request.
   * @param generatedTokens - Its length.
   * @param countedTokens - Length that was told before.
   */
  observe(
    subject: LengthSubject,
    generatedTokens: number,
    countedTokens?: number,
  ): void;
}

interface WorkspaceLengths {
  readonly histogram: LengthHistogram;
  samples: number;
}

/** Histograms of one service; bounded in number. */
export class LengthKnowledge implements LengthModel {
  readonly #classes = new Map<string, LengthHistogram>();
  readonly #workspaces = new Map<string, WorkspaceLengths>();

  /** {@inheritDoc LengthModel.forecast} */
  forecast(subject: LengthSubject): MemoryForecast {
    const own = this.#workspaces.get(keyOf(subject));
    const histogram = own && own.samples >= MIN_WORKSPACE_SAMPLES
      ? own.histogram
      : this.#classHistogram(subject.className);
    return new HistogramForecast(histogram, subject.maxTokens);
  }

  /** {@inheritDoc LengthModel.advance} */
  advance(subject: LengthSubject, fromTokens: number, toTokens: number): void {
    this.#classHistogram(subject.className).advance(fromTokens, toTokens);
    const lengths = this.#workspaces.get(keyOf(subject));
    lengths?.histogram.advance(fromTokens, toTokens);
  }

  /** {@inheritDoc LengthModel.observe} */
  observe(
    subject: LengthSubject,
    generatedTokens: number,
    countedTokens = 0,
  ): void {
    const ofClass = this.#classHistogram(subject.className);
    ofClass.add(generatedTokens, countedTokens);
    const lengths = this.#workspaceLengths(keyOf(subject));
    if (!lengths) return;
    lengths.histogram.add(generatedTokens, countedTokens);
    lengths.samples++;
  }

  #classHistogram(className: string): LengthHistogram {
    const known = this.#classes.get(className);
    if (known) return known;
    if (this.#classes.size >= MAX_CLASSES) {
      return this.#classes.values().next().value!;
    }
    const histogram = new LengthHistogram();
    this.#classes.set(className, histogram);
    return histogram;
  }

  /** Lengths of a workspace, unless busier ones take all the places. */
  #workspaceLengths(key: string): WorkspaceLengths | undefined {
    const known = this.#workspaces.get(key);
    if (known) return known;
    const isFull = this.#workspaces.size >= MAX_WORKSPACE_HISTOGRAMS;
    if (isFull && !this.#dropQuiet()) return undefined;
    const lengths = { histogram: new LengthHistogram(), samples: 0 };
    this.#workspaces.set(key, lengths);
    return lengths;
  }

  /** Ages one workspace, in turn, and drops it when it has become quiet. */
  #dropQuiet(): boolean {
    const [key, lengths] = this.#workspaces.entries().next().value!;
    this.#workspaces.delete(key);
    lengths.samples *= AGEING;
    if (lengths.samples < 1) return true;
    this.#workspaces.set(key, lengths);
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

  fill(
    baseTokens: number,
    generatedTokens: number,
    into: MemoryProfile,
  ): void {
    const alive = this.#countAbove(generatedTokens);
    fillFromSurvival(baseTokens, generatedTokens, into, (furtherTokens) => {
      const total = generatedTokens + furtherTokens;
      if (total >= this.#maxTokens) return 0;
      const tail = (Math.max(1, generatedTokens) / total) ** TAIL_EXPONENT;
      return (this.#countAbove(total) + MIN_EVIDENCE_SAMPLES * tail) /
        (alive + MIN_EVIDENCE_SAMPLES);
    });
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

function keyOf({ workspace, className }: LengthSubject): string {
  return `${className}|${workspace}`;
}
