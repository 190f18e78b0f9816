/** Runs a simulation and converts its metrics to a row of results. */

import { percentileMs, round } from "./run_metrics.ts";
import {
  Simulation,
  type SimulationOptions,
  type Variant,
} from "./simulation.ts";
import type { PolicyName } from "./policies.ts";

/** Results of one simulation run, as printed by the dispatch benchmark. */
export interface ResultRow {
  readonly policy: PolicyName;
  readonly workload: string;
  readonly load: number;
  readonly variant: Variant;
  readonly engine: string;
  readonly favour: string;
  readonly preemptionsPer1000: number;
  readonly stallMsP99: number;
  readonly stallMsTotal: number;
  readonly tokenGapP95Ms: number;
  readonly tokenGapP99Ms: number;
  readonly firstTokenP95Ms: Readonly<Record<string, number>>;
  readonly goodputTokensPerSecond: number;
  readonly refusedShare: Readonly<Record<string, number>>;
  /** Refused on arrival because the estimated wait exceeded the limit. */
  readonly refusedEarlyShare: Readonly<Record<string, number>>;
  readonly unfairness: number;
  readonly interrupted: number;
  readonly answersLost: number;
  readonly answersDoubled: number;
}

/**
 * Runs a simulation.
 *
 * @param options - Options of the simulation.
 * @param engineName - Name of the engine parameters, for the row.
 * @returns The results.
 */
export function runSimulation(
  options: SimulationOptions,
  engineName: string,
): ResultRow {
  const simulation = new Simulation(options);
  simulation.run();
  const { metrics, engines, requestCount } = simulation;
  const preemptions = engines.reduce(
    (sum, { counters: counts }) => sum + counts.preemptions,
    0,
  );
  const firstTokenP95Ms: Record<string, number> = {};
  const refusedShare: Record<string, number> = {};
  const refusedEarlyShare: Record<string, number> = {};
  let interrupted = 0;
  for (const [name, classMetrics] of metrics.classes) {
    const { requestCount: classCount, refused, refusedEarly, abandoned } =
      classMetrics;
    firstTokenP95Ms[name] = percentileMs(classMetrics.firstTokenMs, 95);
    refusedShare[name] = round(
      (refused + refusedEarly + abandoned) / classCount,
      4,
    );
    refusedEarlyShare[name] = round(refusedEarly / classCount, 4);
    interrupted += classMetrics.interrupted;
  }
  return {
    policy: options.policy,
    workload: options.workload.name,
    load: options.load,
    variant: options.variant,
    engine: engineName,
    favour: options.goal,
    preemptionsPer1000: round(preemptions / requestCount * 1_000, 2),
    stallMsP99: percentileMs(metrics.requestStallMs, 99),
    stallMsTotal: Math.round(metrics.stallMsTotal),
    tokenGapP95Ms: percentileMs(metrics.tokenGapMs, 95),
    tokenGapP99Ms: percentileMs(metrics.tokenGapMs, 99),
    firstTokenP95Ms,
    goodputTokensPerSecond: Math.round(
      metrics.goodputTokens / simulation.measuredSeconds,
    ),
    refusedShare,
    refusedEarlyShare,
    unfairness: metrics.unfairness(simulation.burstingWorkspace),
    interrupted,
    answersLost: simulation.unfinishedCount,
    answersDoubled: metrics.duplicatedTokens,
  };
}
