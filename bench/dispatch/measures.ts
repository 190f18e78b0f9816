/** What the dispatch bench measures in one run. */

import { build, type Histogram } from "hdr-histogram-js";
import type { WorkspaceId } from "../../src/base/common/ids.ts";
import type { BenchClass, Workload } from "./workload.ts";

/** A gap between tokens above this counts as a stall. */
const STALL_LIMIT_MS = 500;
const SIGNIFICANT_DIGITS = 3;
const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 3_600_000_000;

/** How a request ended for its caller. */
export type BenchEnd =
  | "completed"
  | "refused-early"
  | "refused"
  | "left"
  | "interrupted";

/** Figures of one class. */
export interface ClassFigures {
  readonly firstTokenMs: Histogram;
  asked: number;
  refusedEarly: number;
  refused: number;
  left: number;
  interrupted: number;
  completed: number;
}

interface WorkspaceFigures {
  askedTokens: number;
  deliveredTokens: number;
}

/** Collects figures over all callers of one run. */
export class Measures {
  readonly tokenGapMs = createHistogram();
  readonly requestStallMs = createHistogram();
  readonly classes = new Map<string, ClassFigures>();
  readonly #workspaces = new Map<WorkspaceId, WorkspaceFigures>();
  stallMsTotal = 0;
  goodTokens = 0;
  doubled = 0;

  /** @param workload - Names the classes. */
  constructor(workload: Workload) {
    for (const { name } of workload.classes) {
      this.classes.set(name, {
        firstTokenMs: createHistogram(),
        asked: 0,
        refusedEarly: 0,
        refused: 0,
        left: 0,
        interrupted: 0,
        completed: 0,
      });
    }
  }

  /** Counts a request that was made. */
  onAsked(
    { name }: BenchClass,
    workspace: WorkspaceId,
    lengthTokens: number,
  ): void {
    this.classes.get(name)!.asked++;
    this.#figuresOf(workspace).askedTokens += lengthTokens;
  }

  /** @param gapMs - Time between two tokens of one answer. */
  onGap(gapMs: number): void {
    record(this.tokenGapMs, gapMs);
  }

  /** @returns Part of a gap that counts as a stall. */
  stallOf(gapMs: number): number {
    return Math.max(0, gapMs - STALL_LIMIT_MS);
  }

  /** Counts the first token of an answer. */
  onFirstToken({ name }: BenchClass, waitMs: number): void {
    record(this.classes.get(name)!.firstTokenMs, waitMs);
  }

  /** Counts the end of a request. */
  onEnded(
    { name }: BenchClass,
    workspace: WorkspaceId,
    end: BenchEnd,
    totals: { readonly stallMs: number; readonly tokens: number },
  ): void {
    const figures = this.classes.get(name)!;
    if (totals.tokens > 0) {
      record(this.requestStallMs, totals.stallMs);
      this.stallMsTotal += totals.stallMs;
    }
    switch (end) {
      case "completed":
        figures.completed++;
        this.#figuresOf(workspace).deliveredTokens += totals.tokens;
        return;
      case "refused-early":
        figures.refusedEarly++;
        return;
      case "refused":
        figures.refused++;
        return;
      case "left":
        figures.left++;
        return;
      case "interrupted":
        figures.interrupted++;
    }
  }

  /**
   * @param except - A workspace that asked for more than its part.
   * @returns Largest part of its max-min fair share that a workspace did not
   *   get, from 0 to 1.
   */
  unfairness(except: WorkspaceId | undefined): number {
    const all = [...this.#workspaces.values()];
    const level = fairLevel(all);
    let worst = 0;
    for (const [workspace, figures] of this.#workspaces) {
      if (workspace === except) continue;
      const entitled = Math.min(figures.askedTokens, level);
      worst = Math.max(worst, 1 - figures.deliveredTokens / entitled);
    }
    return round(worst, 3);
  }

  #figuresOf(workspace: WorkspaceId): WorkspaceFigures {
    let figures = this.#workspaces.get(workspace);
    if (!figures) {
      figures = { askedTokens: 0, deliveredTokens: 0 };
      this.#workspaces.set(workspace, figures);
    }
    return figures;
  }
}

/** Tokens above which no workspace is entitled to more. */
function fairLevel(all: readonly WorkspaceFigures[]): number {
  let left = all.reduce((sum, figures) => sum + figures.deliveredTokens, 0);
  const asked = all.map(({ askedTokens }) => askedTokens);
  asked.sort((one, other) => one - other);
  for (const [index, tokens] of asked.entries()) {
    const level = left / (asked.length - index);
    if (tokens > level) return level;
    left -= tokens;
  }
  return Infinity;
}

/** @returns A percentile in milliseconds, with one decimal. */
export function percentileMs(histogram: Histogram, percent: number): number {
  const value = histogram.getValueAtPercentile(percent);
  return round(value / MICROSECONDS_PER_MS, 1);
}

/** @returns A number with so many decimals. */
export function round(value: number, decimals: number): number {
  return Number(value.toFixed(decimals));
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 64,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function record(histogram: Histogram, valueMs: number): void {
  const microseconds = Math.round(valueMs * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.min(MAX_MICROSECONDS, microseconds));
}
