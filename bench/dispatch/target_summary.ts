/** Checks the results of the dispatch benchmark against its targets. */

import type { ResultRow } from "./result_row.ts";
import { WORKLOADS } from "./workload.ts";

/** Limits of the results of `ours` relative to the best baseline. */
const MAX_PREEMPTION_RATIO = 0.1;
const MAX_STALL_RATIO = 0.25;
/** Smallest goodput of `ours` relative to the other dispatcher policies. */
const MIN_GOODPUT_RATIO_TO_ORACLE = 0.95;
const MIN_GOODPUT_RATIO_TO_RESERVE_MAX = 1.3;
/** Latency limits of `ours`; that of the first token is for the 95th percentile. */
const MAX_INTERACTIVE_FIRST_TOKEN_MS = 1_600;
const MAX_TOKEN_GAP_P95_MS = 56;
const BASELINES = ["round-robin", "least-loaded", "power-of-two"];

/** Result of a target: the measured value, its limit and whether it is met. */
export interface TargetResult {
  readonly target: string;
  readonly workload: string;
  readonly load: number;
  readonly measured: number;
  readonly limit: number;
  readonly isMet: boolean;
}

/** Last row of the benchmark. */
export interface Summary {
  readonly summary: true;
  readonly targets: readonly TargetResult[];
  readonly met: number;
  readonly missed: number;
  readonly answersLost: number;
  readonly answersDoubled: number;
}

/**
 * Summarizes the rows of the benchmark.
 *
 * @param rows - All rows of the run.
 * @returns The results of the targets for which the required rows exist.
 */
export function summarize(rows: readonly ResultRow[]): Summary {
  const targets = WORKLOADS.flatMap(({ name }) => [
    ...checkRatioTargets(rows, name, 0.9),
    ...checkRatioTargets(rows, name, 1.1),
    ...checkLatencyTargets(rows, name, 0.9),
    ...checkLatencyTargets(rows, name, 1.5),
  ]);
  const sumOf = (field: "answersLost" | "answersDoubled"): number =>
    rows.reduce((sum, row) => sum + row[field], 0);
  return {
    summary: true,
    targets,
    met: targets.filter(({ isMet }) => isMet).length,
    missed: targets.filter(({ isMet }) => !isMet).length,
    answersLost: sumOf("answersLost"),
    answersDoubled: sumOf("answersDoubled"),
  };
}

function findRow(
  rows: readonly ResultRow[],
  policy: string,
  workload: string,
  load: number,
): ResultRow | undefined {
  return rows.find((row) =>
    row.policy === policy && row.workload === workload && row.load === load &&
    row.variant === "calm" && row.engine === "base"
  );
}

/** Checks the targets of `ours` that are ratios to other policies. */
function checkRatioTargets(
  rows: readonly ResultRow[],
  workload: string,
  load: number,
): TargetResult[] {
  const ours = findRow(rows, "ours", workload, load);
  if (!ours) return [];
  const results: TargetResult[] = [];
  const addRatio = (
    target: string,
    value: number,
    reference: number | undefined,
    limit: number,
    isUpper: boolean,
  ): void => {
    if (reference === undefined) return;
    const measured = ratio(value, reference);
    const isMet = isUpper ? measured <= limit : measured >= limit;
    results.push({ target, workload, load, measured, limit, isMet });
  };
  const baselines = BASELINES
    .map((policy) => findRow(rows, policy, workload, load))
    .filter((row) => row !== undefined);
  const bestBaseline = (field: "preemptionsPer1000" | "stallMsTotal"): number =>
    Math.min(...baselines.map((row) => row[field]));
  if (baselines.length === BASELINES.length) {
    addRatio(
      "preemptions of best baseline",
      ours.preemptionsPer1000,
      bestBaseline("preemptionsPer1000"),
      MAX_PREEMPTION_RATIO,
      true,
    );
    addRatio(
      "stall of best baseline",
      ours.stallMsTotal,
      bestBaseline("stallMsTotal"),
      MAX_STALL_RATIO,
      true,
    );
  }
  addRatio(
    "goodput of oracle",
    ours.goodputTokensPerSecond,
    findRow(rows, "oracle", workload, load)?.goodputTokensPerSecond,
    MIN_GOODPUT_RATIO_TO_ORACLE,
    false,
  );
  addRatio(
    "goodput of reserve-max",
    ours.goodputTokensPerSecond,
    findRow(rows, "reserve-max", workload, load)?.goodputTokensPerSecond,
    MIN_GOODPUT_RATIO_TO_RESERVE_MAX,
    false,
  );
  return results;
}

/** Checks the latency targets of `ours`. */
function checkLatencyTargets(
  rows: readonly ResultRow[],
  workload: string,
  load: number,
): TargetResult[] {
  const ours = findRow(rows, "ours", workload, load);
  const classes = WORKLOADS.find(({ name }) => name === workload)!.classes;
  if (!ours) return [];
  const firstTokenResults = classes.filter(({ isInteractive }) => isInteractive)
    .map(
      ({ name }): TargetResult => {
        const measured = ours.firstTokenP95Ms[name]!;
        return {
          target: `first token p95 of ${name}`,
          workload,
          load,
          measured,
          limit: MAX_INTERACTIVE_FIRST_TOKEN_MS,
          isMet: measured <= MAX_INTERACTIVE_FIRST_TOKEN_MS,
        };
      },
    );
  return [...firstTokenResults, {
    target: "token gap p95",
    workload,
    load,
    measured: ours.tokenGapP95Ms,
    limit: MAX_TOKEN_GAP_P95_MS,
    isMet: ours.tokenGapP95Ms <= MAX_TOKEN_GAP_P95_MS,
  }];
}

/** @returns The ratio of two values; 0 if the value is 0. */
function ratio(value: number, reference: number): number {
  if (value === 0) return 0;
  return Number((value / reference).toFixed(3));
}
