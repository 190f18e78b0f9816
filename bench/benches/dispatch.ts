/** Compares policies of dispatch under memory pressure and faults. */

import type { Bench, BenchOptions } from "../bench.ts";
import { type Row, runRow } from "../dispatch/row.ts";
import { POLICY_NAMES, type PolicyName } from "../dispatch/policies.ts";
import { summarize } from "../dispatch/summary.ts";
import type { MarginRule } from "../../src/features/dispatch/common/endpoint_state.ts";
import {
  type GroupPolicy,
  policyFor,
} from "../../src/features/dispatch/common/group_policy.ts";
import { VARIANTS } from "../dispatch/simulation.ts";
import { type EngineFigures, WORKLOADS } from "../dispatch/workload.ts";

/** Loads as a part of what the engines sustain. */
const LOADS = [0.7, 0.9, 1.1, 1.5];
/** Loads at which faults are tried. */
const FAULT_LOADS = [0.9, 1.1];
/** Policies of which the ranking is compared under other engines. */
const RANKED: readonly PolicyName[] = [
  "round-robin",
  "least-loaded",
  "power-of-two",
  "ours",
  "oracle",
];

const ENGINE: EngineFigures = {
  memoryTokens: 120_000,
  maxRunning: 64,
  baseStepMs: 20,
  stepMsPerSequence: 0.3,
  prefillTokensPerMs: 20,
};

/** The same engines with step time and memory halved and doubled. */
const OTHER_ENGINES: Readonly<Record<string, EngineFigures>> = {
  "half-step": { ...ENGINE, baseStepMs: 10, stepMsPerSequence: 0.15 },
  "double-step": { ...ENGINE, baseStepMs: 40, stepMsPerSequence: 0.6 },
  "half-memory": { ...ENGINE, memoryTokens: 60_000 },
  "double-memory": { ...ENGINE, memoryTokens: 240_000 },
};

/** Narrows a run to rows whose names are all given; empty means all. */
class Filter {
  readonly #words: ReadonlySet<string>;

  constructor(words: readonly string[]) {
    this.#words = new Set(words);
  }

  keep<T extends string | number>(all: readonly T[]): readonly T[] {
    const kept = all.filter((one) => this.#words.has(String(one)));
    return kept.length > 0 ? kept : all;
  }

  has(word: string): boolean {
    return this.#words.has(word);
  }
}

function run(options: BenchOptions): Promise<object> {
  const filter = new Filter(options.args);
  const favour = filter.has("token-latency") ? "token-latency" : "stall";
  const rows: Row[] = [];
  const changes = readChanges(options.args, policyFor(favour));
  const base = { seed: options.seed, favour, changes } as const;
  const addRow = (row: Row): void => {
    rows.push(row);
    options.printRow(row);
  };
  const names = filter.keep(WORKLOADS.map(({ name }) => name));
  const workloads = WORKLOADS.filter(({ name }) => names.includes(name));
  const engineNames = Object.keys(OTHER_ENGINES)
    .filter((name) => filter.has("sensitivity") || filter.has(name));
  for (const workload of workloads) {
    for (const variant of filter.keep(VARIANTS)) {
      const all = variant === "calm" ? LOADS : FAULT_LOADS;
      for (const load of engineNames.length > 0 ? [] : filter.keep(all)) {
        for (const policy of filter.keep(POLICY_NAMES)) {
          addRow(runRow({
            ...base,
            policy,
            workload,
            load,
            variant,
            engine: ENGINE,
          }, "base"));
        }
      }
    }
    for (const name of engineNames) {
      for (const policy of filter.keep(RANKED)) {
        for (const load of filter.keep(FAULT_LOADS)) {
          addRow(runRow({
            ...base,
            policy,
            workload,
            load,
            variant: "calm",
            engine: OTHER_ENGINES[name]!,
          }, name));
        }
      }
    }
  }
  return Promise.resolve(summarize(rows));
}

/** Figures of the policy given as `name=value` or `margin.name=value`. */
function readChanges(
  words: readonly string[],
  policy: GroupPolicy,
): Partial<GroupPolicy> {
  const changes: Record<string, unknown> = {};
  const margin: Record<string, number> = { ...policy.margin };
  for (const word of words) {
    const [, isMargin, name, value] =
      /^(margin\.)?(\w+)=([\d.]+)$/.exec(word) ?? [];
    if (name === undefined) continue;
    if (isMargin) margin[name] = Number(value);
    else changes[name] = Number(value);
  }
  return { ...changes, margin: margin as unknown as MarginRule };
}

/** The measurement. */
export const bench: Bench = {
  description: "Dispatch policies under memory pressure and faults",
  run,
};
