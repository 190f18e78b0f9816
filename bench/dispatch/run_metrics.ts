/** Metrics of a simulation run of the dispatch benchmark. */

import { build, type Histogram } from "hdr-histogram-js";
import type { WorkspaceId } from "../../src/base/common/ids.ts";
import type { BenchClass, Workload } from "./workload.ts";

/** Part of a token gap above this time counts as a stall. */
const STALL_THRESHOLD_MS = 500;
const SIGNIFICANT_DIGITS = 3;
const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 3_600_000_000;

/** Outcome of a request for its caller. */
export type RequestOutcome =
  | "completed"
  | "refused-early"
  | "refused"
  | "left"
  | "interrupted";

/** Metrics of one class; the counts are numbers of requests. */
export interface ClassMetrics {
  /** Times to the first token; recorded in microseconds. */
  readonly firstTokenMs: Histogram;
  requestCount: number;
  /** Refused because the estimated wait exceeded the limit. */
  refusedEarly: number;
  refused: number;
  /** Ended because the caller waited too long for the first token. */
  abandoned: number;
  interrupted: number;
  completed: number;
}

/** Token counts of one workspace. */
interface WorkspaceTokens {
  requestedTokens: number;
  deliveredTokens: number;
}

/** Collects metrics over all callers of a run. */
export class RunMetrics {
  readonly tokenGapMs = createHistogram();
  readonly requestStallMs = createHistogram();
  readonly classes = new Map<string, ClassMetrics>();
  readonly #workspaces = new Map<WorkspaceId, WorkspaceTokens>();
  stallMsTotal = 0;
  /** Tokens of completed requests that arrived in the measurement period. */
  goodputTokens = 0;
  /** Tokens that were received at another offset than expected. */
  duplicatedTokens = 0;

  /** @param workload - Workload whose classes are counted. */
  constructor(workload: Workload) {
    for (const { name } of workload.classes) {
      this.classes.set(name, {
        firstTokenMs: createHistogram(),
        requestCount: 0,
        refusedEarly: 0,
        refused: 0,
        abandoned: 0,
        interrupted: 0,
        completed: 0,
      });
    }
  }

  /** Records the arrival of a request. */
  recordRequest(
    { name }: BenchClass,
    workspace: WorkspaceId,
    lengthTokens: number,
  ): void {
    this.classes.get(name)!.requestCount++;
    this.#workspaceTokens(workspace).requestedTokens += lengthTokens;
  }

  /**
   * Records a token gap.
   *
   * @param gapMs - Time in milliseconds between two tokens of a generation.
   */
  recordTokenGap(gapMs: number): void {
    record(this.tokenGapMs, gapMs);
  }

  /** @returns Part of a token gap that counts as a stall, in milliseconds. */
  stallTimeMs(gapMs: number): number {
    return Math.max(0, gapMs - STALL_THRESHOLD_MS);
  }

  /** Records the first token of a generation. */
  recordFirstToken({ name }: BenchClass, waitMs: number): void {
    record(this.classes.get(name)!.firstTokenMs, waitMs);
  }

  /** Records the end of a request. */
  recordEnd(
    { name }: BenchClass,
    workspace: WorkspaceId,
    end: RequestOutcome,
    totals: { readonly stallMs: number; readonly tokens: number },
  ): void {
    const metrics = this.classes.get(name)!;
    if (totals.tokens > 0) {
      record(this.requestStallMs, totals.stallMs);
      this.stallMsTotal += totals.stallMs;
    }
    switch (end) {
      case "completed":
        metrics.completed++;
        this.#workspaceTokens(workspace).deliveredTokens += totals.tokens;
        return;
      case "refused-early":
        metrics.refusedEarly++;
        return;
      case "refused":
        metrics.refused++;
        return;
      case "left":
        metrics.abandoned++;
        return;
      case "interrupted":
        metrics.interrupted++;
    }
  }

  /**
   * Computes how far the workspaces fell short of their max-min fair shares of
   * the delivered tokens.
   *
   * @param excludedWorkspace - Workspace to leave out because it exceeded its
   *   share.
   * @returns Largest fraction of its fair share that a workspace did not receive,
   *   from 0 to 1.
   */
  unfairness(excludedWorkspace: WorkspaceId | undefined): number {
    const allTokens = [...this.#workspaces.values()];
    const fairShareTokens = maxMinFairShareTokens(allTokens);
    let worstShortfall = 0;
    for (const [workspace, tokens] of this.#workspaces) {
      if (workspace === excludedWorkspace) continue;
      const entitledTokens = Math.min(tokens.requestedTokens, fairShareTokens);
      worstShortfall = Math.max(
        worstShortfall,
        1 - tokens.deliveredTokens / entitledTokens,
      );
    }
    return round(worstShortfall, 3);
  }

  #workspaceTokens(workspace: WorkspaceId): WorkspaceTokens {
    let tokens = this.#workspaces.get(workspace);
    if (!tokens) {
      tokens = { requestedTokens: 0, deliveredTokens: 0 };
      this.#workspaces.set(workspace, tokens);
    }
    return tokens;
  }
}

/**
 * Computes the max-min fair share: the largest number of tokens that a workspace
 * is entitled to, or `Infinity` if all requested tokens were delivered.
 */
function maxMinFairShareTokens(
  allTokens: readonly WorkspaceTokens[],
): number {
  let remainingTokens = allTokens.reduce(
    (sum, tokens) => sum + tokens.deliveredTokens,
    0,
  );
  const requests = allTokens.map(({ requestedTokens }) => requestedTokens);
  requests.sort((left, right) => left - right);
  for (const [index, tokens] of requests.entries()) {
    const shareTokens = remainingTokens / (requests.length - index);
    if (tokens > shareTokens) return shareTokens;
    remainingTokens -= tokens;
  }
  return Infinity;
}

/** @returns A percentile in milliseconds, rounded to one decimal. */
export function percentileMs(histogram: Histogram, percent: number): number {
  const value = histogram.getValueAtPercentile(percent);
  return round(value / MICROSECONDS_PER_MS, 1);
}

/** @returns The value rounded to the given number of decimals. */
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
