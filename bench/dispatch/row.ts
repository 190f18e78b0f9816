/** One row of the dispatch bench. */

import { percentileMs, round } from "./measures.ts";
import { type RunPlan, Simulation, type Variant } from "./simulation.ts";
import type { PolicyName } from "./policies.ts";

/** Results of one run. */
export interface Row {
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
  /** Refused at once, because the wait would not have fitted. */
  readonly refusedEarlyShare: Readonly<Record<string, number>>;
  readonly unfairness: number;
  readonly interrupted: number;
  readonly answersLost: number;
  readonly answersDoubled: number;
}

/**
 * @param plan - What to run.
 * @param engine - Name of the engine's figures.
 * @returns The results.
 */
export function runRow(plan: RunPlan, engine: string): Row {
  const simulation = new Simulation(plan);
  simulation.run();
  const { measures, engines, askedCount } = simulation;
  const preemptions = engines.reduce(
    (sum, { counters: counts }) => sum + counts.preemptions,
    0,
  );
  const firstTokenP95Ms: Record<string, number> = {};
  const refusedShare: Record<string, number> = {};
  const refusedEarlyShare: Record<string, number> = {};
  let interrupted = 0;
  for (const [name, figures] of measures.classes) {
    const { asked, refused, refusedEarly, left } = figures;
    firstTokenP95Ms[name] = percentileMs(figures.firstTokenMs, 95);
    refusedShare[name] = round((refused + refusedEarly + left) / asked, 4);
    refusedEarlyShare[name] = round(refusedEarly / asked, 4);
    interrupted += figures.interrupted;
  }
  return {
    policy: plan.policy,
    workload: plan.workload.name,
    load: plan.load,
    variant: plan.variant,
    engine,
    favour: plan.favour,
    preemptionsPer1000: round(preemptions / askedCount * 1_000, 2),
    stallMsP99: percentileMs(measures.requestStallMs, 99),
    stallMsTotal: Math.round(measures.stallMsTotal),
    tokenGapP95Ms: percentileMs(measures.tokenGapMs, 95),
    tokenGapP99Ms: percentileMs(measures.tokenGapMs, 99),
    firstTokenP95Ms,
    goodputTokensPerSecond: Math.round(
      measures.goodTokens / simulation.measuredSeconds,
    ),
    refusedShare,
    refusedEarlyShare,
    unfairness: measures.unfairness(simulation.greedyWorkspace),
    interrupted,
    answersLost: simulation.openCount,
    answersDoubled: measures.doubled,
  };
}
