/**
 * Benchmark of the processor time that one decision of the dispatcher takes,
 * for groups of different sizes.
 */

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
const MEASURED_DECISIONS = 100_000;
const ENDPOINT_MEMORY_TOKENS = 120_000;
const LONG_REQUEST_MAX_TOKENS = 16_000;
const WORKSPACE_COUNT = 50;
const NS_PER_US = 1_000;
const MAX_TRACKABLE_NS = 1_000_000_000;
/** Largest allowed ratio of the median times of the large and small group. */
const MAX_P50_RATIO = 2;
/** Largest allowed median time for the large group. */
const MAX_P50_US = 20;

/** Size of a dispatch group. */
interface GroupSize {
  readonly replicas: number;
  readonly queued: number;
}

const GROUP_SIZES: readonly GroupSize[] = [
  { replicas: 8, queued: 100 },
  { replicas: 24, queued: 2_000 },
];

/** Decision times of one group size, in microseconds. */
interface CostRow extends GroupSize {
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly decisions: number;
}

/** Group without free capacity, in which a new request follows each release. */
class SaturatedGroup {
  readonly group: GroupDispatcher;
  readonly #runningGrants: GrantId[] = [];
  readonly #random: SeededRandom;
  #submittedCount = 0;
  #nowMs = 0;

  constructor({ replicas }: GroupSize, seed: number) {
    this.#random = new SeededRandom(seed);
    this.group = new GroupDispatcher({
      policy: policyFor("stall"),
      lengths: new HistogramLengthModel(),
      random: this.#random,
      nowMs: 0,
      listener: {
        onGranted: ({ id }) => this.#runningGrants.push(id),
        onRefused: () => undefined,
      },
    });
    const endpoints = Array.from({ length: replicas }, (_, index) => ({
      id: asId<EndpointId>(`e${index}`),
      address: asId<Address>(`127.0.0.1:${index + 1}`),
      isLeaving: false,
    }));
    this.group.setEndpoints(endpoints, 0);
    this.reportLoad();
  }

  /** Reports a current load for each endpoint. */
  reportLoad(): void {
    for (const { endpoint, reservations: ledger } of this.group.states) {
      this.group.onLoadReport(endpoint.id, {
        ageMs: 0,
        running: ledger.size,
        queued: 0,
        memoryUsedTokens: ledger.heldTokens,
        memoryTotalTokens: ENDPOINT_MEMORY_TOKENS,
        preemptions: 0,
        incarnation: "1",
        isLeaving: false,
      }, this.#nowMs);
    }
  }

  /** Submits a request with a random class, workspace and prompt length. */
  submitRequest(): void {
    const isLong = this.#random.float() < 0.3;
    this.group.submit({
      id: asId<GrantId>(`g${this.#submittedCount++}`),
      workspace: asId<WorkspaceId>(
        `team/${this.#random.int(1, WORKSPACE_COUNT)}`,
      ),
      className: isLong ? "long" : "short",
      maxTokens: isLong ? LONG_REQUEST_MAX_TOKENS : 256,
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

  /** Ends a random running request, 1 ms after the previous one. */
  releaseRandomGrant(): void {
    this.#nowMs += 1;
    const index = this.#random.int(0, this.#runningGrants.length - 1);
    const id = this.#runningGrants[index]!;
    this.#runningGrants[index] = this.#runningGrants.at(-1)!;
    this.#runningGrants.pop();
    const generatedTokens = this.#random.int(20, 2_000);
    this.group.release(
      { id, end: "completed", generatedTokens },
      this.#nowMs,
    );
  }
}

function measureDecisionCost(size: GroupSize, seed: number): CostRow {
  const saturated = new SaturatedGroup(size, seed);
  const histogram = build({
    bitBucketSize: 64,
    highestTrackableValue: MAX_TRACKABLE_NS,
    numberOfSignificantValueDigits: 3,
  });
  while (saturated.group.queuedCount < size.queued) saturated.submitRequest();
  for (let count = 0; count < WARM_UP_DECISIONS + MEASURED_DECISIONS; count++) {
    const startNs = process.hrtime.bigint();
    if (saturated.group.queuedCount < size.queued) saturated.submitRequest();
    else saturated.releaseRandomGrant();
    const elapsedNs = Number(process.hrtime.bigint() - startNs);
    if (count >= WARM_UP_DECISIONS) histogram.recordValue(elapsedNs);
    if (count % 1_000 === 0) saturated.reportLoad();
  }
  const percentileUs = (percent: number): number =>
    histogram.getValueAtPercentile(percent) / NS_PER_US;
  return {
    ...size,
    decisionP50Us: percentileUs(50),
    decisionP99Us: percentileUs(99),
    decisions: MEASURED_DECISIONS,
  };
}

function run({ seed, printRow }: BenchOptions): Promise<object> {
  const rows = GROUP_SIZES.map((size) => {
    const row = measureDecisionCost(size, seed);
    printRow(row);
    return row;
  });
  const [small, large] = rows;
  const ratio = large!.decisionP50Us / small!.decisionP50Us;
  return Promise.resolve({
    summary: true,
    ratio: Number(ratio.toFixed(2)),
    isMet: ratio <= MAX_P50_RATIO && large!.decisionP50Us <= MAX_P50_US,
  });
}

/** Benchmark of the dispatcher's decision time. */
export const bench: Bench = {
  description: "processor time of one decision of the dispatcher",
  run,
};
