/** Cost of one decision of the dispatcher, by size of the group. */

import { build } from "hdr-histogram-js";
import {
  type Address,
  asId,
  type EndpointId,
  type WorkspaceId,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import type { GrantId } from "../../src/features/dispatch/common/dispatcher.ts";
import { GroupDispatcher } from "../../src/features/dispatch/common/group_dispatcher.ts";
import { policyFor } from "../../src/features/dispatch/common/group_policy.ts";
import { HistogramLengthModel } from "../../src/features/dispatch/common/length_model.ts";
import type { Bench, BenchOptions } from "../bench.ts";

const WARM_UP_DECISIONS = 20_000;
const DECISIONS = 100_000;
const MEMORY_TOKENS = 120_000;
const MAX_TOKENS = 16_000;
const WORKSPACES = 50;
const NANOSECONDS_PER_US = 1_000;
const HIGHEST_NANOSECONDS = 1_000_000_000;
const MAX_RATIO = 2;
const MAX_P50_US = 20;

interface Size {
  readonly replicas: number;
  readonly queued: number;
}

const SIZES: readonly Size[] = [
  { replicas: 8, queued: 100 },
  { replicas: 24, queued: 2_000 },
];

/** Figures of one size. */
interface CostRow extends Size {
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly decisions: number;
}

/** A full group in which each release is followed by a new request. */
class BusyGroup {
  readonly group: GroupDispatcher;
  readonly #running: GrantId[] = [];
  readonly #random: SeededRandom;
  #sequence = 0;
  #nowMs = 0;

  constructor({ replicas }: Size, seed: number) {
    this.#random = new SeededRandom(seed);
    this.group = new GroupDispatcher({
      policy: policyFor("stall"),
      lengths: new HistogramLengthModel(),
      random: this.#random,
      nowMs: 0,
      listener: {
        onGranted: ({ id }) => this.#running.push(id),
        onRefused: () => undefined,
      },
    });
    const endpoints = Array.from({ length: replicas }, (_, index) => ({
      id: asId<EndpointId>(`e${index}`),
      address: asId<Address>(`127.0.0.1:${index + 1}`),
      isLeaving: false,
    }));
    this.group.setEndpoints(endpoints, 0);
    this.report();
  }

  report(): void {
    for (const { endpoint, reservations: ledger } of this.group.states) {
      this.group.onLoadReport(endpoint.id, {
        ageMs: 0,
        running: ledger.size,
        queued: 0,
        memoryUsedTokens: ledger.heldTokens,
        memoryTotalTokens: MEMORY_TOKENS,
        preemptions: 0,
        incarnation: "1",
        isLeaving: false,
      }, this.#nowMs);
    }
  }

  ask(): void {
    const isLong = this.#random.float() < 0.3;
    this.group.submit({
      id: asId<GrantId>(`g${this.#sequence++}`),
      workspace: asId<WorkspaceId>(`team/${this.#random.int(1, WORKSPACES)}`),
      className: isLong ? "long" : "short",
      maxTokens: isLong ? MAX_TOKENS : 256,
      promptTokens: this.#random.int(50, 1_500),
      blocks: [],
      sizeBytes: 4_000,
      patienceMs: Infinity,
      excludedEndpoints: [],
      priority: isLong ? 3 : 7,
      starvationMs: 60_000,
      share: 1,
      limit: { tokensPerSecond: undefined, maxConcurrent: undefined },
    }, this.#nowMs);
  }

  releaseOne(): void {
    this.#nowMs += 1;
    const index = this.#random.int(0, this.#running.length - 1);
    const id = this.#running[index]!;
    this.#running[index] = this.#running.at(-1)!;
    this.#running.pop();
    const generatedTokens = this.#random.int(20, 2_000);
    this.group.release(
      { id, end: "completed", generatedTokens },
      this.#nowMs,
    );
  }
}

function measure(size: Size, seed: number): CostRow {
  const busy = new BusyGroup(size, seed);
  const histogram = build({
    bitBucketSize: 64,
    highestTrackableValue: HIGHEST_NANOSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  while (busy.group.queuedCount < size.queued) busy.ask();
  for (let count = 0; count < WARM_UP_DECISIONS + DECISIONS; count++) {
    const startedNs = process.hrtime.bigint();
    if (busy.group.queuedCount < size.queued) busy.ask();
    else busy.releaseOne();
    const tookNs = Number(process.hrtime.bigint() - startedNs);
    if (count >= WARM_UP_DECISIONS) histogram.recordValue(tookNs);
    if (count % 1_000 === 0) busy.report();
  }
  const percentileUs = (percent: number): number =>
    histogram.getValueAtPercentile(percent) / NANOSECONDS_PER_US;
  return {
    ...size,
    decisionP50Us: percentileUs(50),
    decisionP99Us: percentileUs(99),
    decisions: DECISIONS,
  };
}

function run({ seed, printRow }: BenchOptions): Promise<object> {
  const rows = SIZES.map((size) => {
    const row = measure(size, seed);
    printRow(row);
    return row;
  });
  const [small, large] = rows;
  const ratio = large!.decisionP50Us / small!.decisionP50Us;
  return Promise.resolve({
    summary: true,
    ratio: Number(ratio.toFixed(2)),
    isMet: ratio <= MAX_RATIO && large!.decisionP50Us <= MAX_P50_US,
  });
}

/** The measurement. */
export const bench: Bench = {
  description: "Cost of one decision of the dispatcher",
  run,
};
