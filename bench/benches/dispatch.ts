/**
 * Benchmark that compares dispatch policies under memory pressure and faults,
 * in a simulation with a manual clock.
 */

import type { Bench, BenchOptions } from "../bench.ts";
import { type ResultRow, runSimulation } from "../dispatch/result_row.ts";
import { POLICY_NAMES, type PolicyName } from "../dispatch/policies.ts";
import { summarize } from "../dispatch/target_summary.ts";
import type { MarginRule } from "../../src/features/dispatch/common/endpoint_state.ts";
import {
  type GroupPolicy,
  policyFor,
} from "../../src/features/dispatch/common/group_policy.ts";
import { VARIANTS } from "../dispatch/simulation.ts";
import { type EngineParameters, WORKLOADS } from "../dispatch/workload.ts";

/** Offered loads, as fractions of the sustainable request rate. */
const CALM_LOADS = [0.7, 0.9, 1.1, 1.5];
/** Offered loads of the runs with faults, and of those with other engines. */
const FAULT_LOADS = [0.9, 1.1];
/** Policies whose ranking is compared on engines with other parameters. */
const SENSITIVITY_POLICIES: readonly PolicyName[] = [
  "round-robin",
  "least-loaded",
  "power-of-two",
  "ours",
  "oracle",
];

const BASE_ENGINE: EngineParameters = {
  memoryTokens: 120_000,
  maxRunning: 64,
  baseStepMs: 20,
  stepMsPerSequence: 0.3,
  prefillTokensPerMs: 20,
};

/** Engines with half and twice the step time or memory of the base engine. */
const ENGINE_VARIANTS: Readonly<Record<string, EngineParameters>> = {
  "half-step": { ...BASE_ENGINE, baseStepMs: 10, stepMsPerSequence: 0.15 },
  "double-step": { ...BASE_ENGINE, baseStepMs: 40, stepMsPerSequence: 0.6 },
  "half-memory": { ...BASE_ENGINE, memoryTokens: 60_000 },
  "double-memory": { ...BASE_ENGINE, memoryTokens: 240_000 },
};

/**
 * Selects the variants of a run that are named by the command-line arguments.
 * All items of a list are selected if none of them is named.
 */
class ArgumentFilter {
  readonly #args: ReadonlySet<string>;

  constructor(args: readonly string[]) {
    this.#args = new Set(args);
  }

  select<T extends string | number>(items: readonly T[]): readonly T[] {
    const selected = items.filter((item) => this.#args.has(String(item)));
    return selected.length > 0 ? selected : items;
  }

  has(arg: string): boolean {
    return this.#args.has(arg);
  }
}

function runComparison(options: BenchOptions): Promise<object> {
  const filter = new ArgumentFilter(options.args);
  const goal = filter.has("token-latency") ? "token-latency" : "stall";
  const rows: ResultRow[] = [];
  const policyOverrides = parsePolicyOverrides(options.args, policyFor(goal));
  const baseOptions = {
    seed: options.seed,
    goal,
    policyOverrides,
  } as const;
  const addRow = (row: ResultRow): void => {
    rows.push(row);
    options.printRow(row);
  };
  const workloadNames = filter.select(WORKLOADS.map(({ name }) => name));
  const workloads = WORKLOADS.filter(({ name }) =>
    workloadNames.includes(name)
  );
  const engineNames = Object.keys(ENGINE_VARIANTS)
    .filter((name) => filter.has("sensitivity") || filter.has(name));
  for (const workload of workloads) {
    for (const variant of filter.select(VARIANTS)) {
      const loads = variant === "calm" ? CALM_LOADS : FAULT_LOADS;
      for (const load of engineNames.length > 0 ? [] : filter.select(loads)) {
        for (const policy of filter.select(POLICY_NAMES)) {
          addRow(runSimulation({
            ...baseOptions,
            policy,
            workload,
            load,
            variant,
            engine: BASE_ENGINE,
          }, "base"));
        }
      }
    }
    for (const name of engineNames) {
      for (const policy of filter.select(SENSITIVITY_POLICIES)) {
        for (const load of filter.select(FAULT_LOADS)) {
          addRow(runSimulation({
            ...baseOptions,
            policy,
            workload,
            load,
            variant: "calm",
            engine: ENGINE_VARIANTS[name]!,
          }, name));
        }
      }
    }
  }
  return Promise.resolve(summarize(rows));
}

/**
 * Parses policy parameters from arguments of the form `name=value` or
 * `margin.name=value`. The names are the fields of `GroupPolicy` and of its
 * margin.
 */
function parsePolicyOverrides(
  args: readonly string[],
  policy: GroupPolicy,
): Partial<GroupPolicy> {
  const overrides: Record<string, unknown> = {};
  const margin: Record<string, number> = { ...policy.margin };
  for (const arg of args) {
    const [, marginPrefix, name, value] =
      /^(margin\.)?(\w+)=([\d.]+)$/.exec(arg) ?? [];
    if (name === undefined) continue;
    if (marginPrefix) margin[name] = Number(value);
    else overrides[name] = Number(value);
  }
  return { ...overrides, margin: margin as unknown as MarginRule };
}

/** Benchmark of the dispatch policies. */
export const bench: Bench = {
  description: "dispatch policies under memory pressure and faults",
  run: runComparison,
};
