/**
 * Learns the output lengths of each route, and forecasts the output of a
 * generation from them and its output so far.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import { LengthHistogram } from "../../../dispatch/common/length_histogram.ts";
import type {
  OutputLengthModel,
  OutputLimits,
} from "../requests/gateway_services.ts";

const MAX_ROUTES = 256;
/**
 * Completed outputs from which the lengths of a route are used. One of 80 hosts
 * sees few; outputs in progress count in the histogram as well.
 */
const MIN_COMPLETIONS = 8;
/** Number of outputs after which the weight of a hint's error has halved. */
const HINT_ERROR_HALF_LIFE = 40;
const HINT_ERROR_DECAY = 0.5 ** (1 / HINT_ERROR_HALF_LIFE);
/**
 * Hints contradict the observed lengths if their mean error is above that of
 * the mean length by this factor. A hint that carries any information about a
 * single output has a smaller error than the mean.
 */
const MAX_HINT_ERROR_RATIO = 1.25;
/** Ratio of two lengths between which the share of longer outputs is summed. */
const INTEGRATION_STEP = 2 ** 0.25;

/** Lengths of one route. */
class RouteLengths {
  readonly histogram = new LengthHistogram();
  #completions = 0;
  #hintedCompletions = 0;
  #hintErrorTokens = 0;
  #meanErrorTokens = 0;

  get isKnown(): boolean {
    return this.#completions >= MIN_COMPLETIONS;
  }

  get areHintsContradicted(): boolean {
    return this.#hintedCompletions >= MIN_COMPLETIONS &&
      this.#hintErrorTokens > this.#meanErrorTokens * MAX_HINT_ERROR_RATIO;
  }

  recordCompletion(
    tokens: number,
    countedTokens: number,
    hintedTokens: number | undefined,
  ): void {
    if (hintedTokens !== undefined && this.isKnown) {
      this.#hintedCompletions++;
      this.#hintErrorTokens = this.#hintErrorTokens * HINT_ERROR_DECAY +
        Math.abs(tokens - hintedTokens);
      this.#meanErrorTokens = this.#meanErrorTokens * HINT_ERROR_DECAY +
        Math.abs(tokens - this.histogram.meanTokens);
    }
    this.#completions++;
    this.histogram.recordCompletion(tokens, countedTokens);
  }
}

/** Output lengths of all routes of one daemon. */
export class OutputLengths implements OutputLengthModel {
  readonly #routes = new BoundedMap<string, RouteLengths>(MAX_ROUTES);

  /** {@inheritDoc OutputLengthModel.forecast} */
  forecast(
    route: string,
    generatedTokens: number,
    { hintedTokens, maxTokens }: OutputLimits,
  ): number | undefined {
    const lengths = this.#routes.get(route);
    if (!lengths?.isKnown) return undefined;
    if (hintedTokens !== undefined && !lengths.areHintsContradicted) {
      return undefined;
    }
    return generatedTokens +
      expectedFurtherTokens(lengths.histogram, generatedTokens, maxTokens);
  }

  /** {@inheritDoc OutputLengthModel.recordProgress} */
  recordProgress(route: string, fromTokens: number, toTokens: number): void {
    this.#lengthsOf(route).histogram.recordProgress(fromTokens, toTokens);
  }

  /** {@inheritDoc OutputLengthModel.recordCompletion} */
  recordCompletion(
    route: string,
    tokens: number,
    countedTokens: number,
    { hintedTokens }: OutputLimits,
  ): void {
    this.#lengthsOf(route).recordCompletion(
      tokens,
      countedTokens,
      hintedTokens,
    );
  }

  #lengthsOf(route: string): RouteLengths {
    const lengths = this.#routes.get(route) ?? new RouteLengths();
    if (!this.#routes.has(route)) this.#routes.set(route, lengths);
    return lengths;
  }
}

/**
 * Returns the mean further output of the generations that have reached a
 * length: the integral of the share that goes on beyond each greater length.
 */
function expectedFurtherTokens(
  histogram: LengthHistogram,
  generatedTokens: number,
  maxTokens: number,
): number {
  const reached = histogram.countAbove(generatedTokens);
  if (reached <= 0) return 0;
  let furtherTokens = 0;
  let from = Math.max(1, generatedTokens);
  let above = reached;
  while (from < maxTokens) {
    const to = Math.min(maxTokens, from * INTEGRATION_STEP);
    const aboveNext = histogram.countAbove(to);
    furtherTokens += (above + aboveNext) / 2 / reached * (to - from);
    from = to;
    above = aboveNext;
  }
  return furtherTokens;
}
