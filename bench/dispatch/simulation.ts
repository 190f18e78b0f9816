/** One run of the dispatch bench: engines, callers and a policy on one clock. */

import { ManualClock } from "../../src/base/common/clock.ts";
import {
  type Address,
  asId,
  type EndpointId,
  type GenerationId,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import type { Endpoint } from "../../src/services/endpoints/common/engine_client.ts";
import {
  type GroupPolicy,
  type OptimizationGoal,
  policyFor,
} from "../../src/features/dispatch/common/group_policy.ts";
import { HistogramLengthModel } from "../../src/features/dispatch/common/length_model.ts";
import { SimulatedEngine } from "../../standins/engine/simulated_engine.ts";
import { BenchCaller, type CallerListener } from "./bench_caller.ts";
import { CorePolicy, OracleLengths, ReserveMaxLengths } from "./core_policy.ts";
import { type BenchEnd, Measures } from "./measures.ts";
import {
  BaselinePolicy,
  type BenchPolicy,
  type PolicyName,
} from "./policies.ts";
import {
  type Arrival,
  burstWorkspace,
  createArrivals,
  type EngineFigures,
  sustainedRequestsPerSecond,
  type Workload,
} from "./workload.ts";

/** Variants of a run. */
export const VARIANTS = [
  "calm",
  "endpoint-dies",
  "late-reports",
  "dispatcher-dies",
  "burst",
  "length-shift",
] as const;

/** Name of a variant. */
export type Variant = typeof VARIANTS[number];

/** What is run. */
export interface RunPlan {
  readonly policy: PolicyName;
  readonly workload: Workload;
  readonly load: number;
  readonly variant: Variant;
  readonly seed: number;
  readonly engine: EngineFigures;
  readonly favour: OptimizationGoal;
  /** Differences from the policy of `favour`. */
  readonly changes: Partial<GroupPolicy>;
}

const ARRIVALS_MS = 600_000;
const WARM_UP_MS = 240_000;
const MAX_DRAIN_MS = 1_500_000;
const DRAIN_STEP_MS = 10_000;
const LINK_DELAY_MS = 1;
const POLL_MS = 500;
const TICK_MS = 100;
const LATE_REPORT_MS = 5_000;
const REPORT_LAG_MS = 1_000;
const FAULT_MS = 360_000;
const ENDPOINT_DOWN_MS = 30_000;
const BURST_MS = 60_000;
const SHIFT_MS = 300_000;
const MAX_ATTEMPTS = 3;
const KEEP_ENDED_MS = 1_000;

/** Runs one plan from the first arrival to the last end. */
export class Simulation implements CallerListener {
  readonly measures: Measures;
  readonly engines: SimulatedEngine[];
  readonly #plan: RunPlan;
  readonly #clock = new ManualClock();
  readonly #policy: BenchPolicy;
  readonly #arrivals: readonly Arrival[];
  readonly #callers = new Map<GenerationId, BenchCaller>();

  /** @param plan - What is run. */
  constructor(plan: RunPlan) {
    this.#plan = plan;
    this.measures = new Measures(plan.workload);
    this.#arrivals = this.#createArrivals();
    const lengths = new Map(
      this.#arrivals.map(({ id, lengthTokens }) => [id, lengthTokens]),
    );
    const isLate = plan.variant === "late-reports";
    this.engines = Array.from(
      { length: plan.workload.replicas },
      () =>
        new SimulatedEngine(this.#clock, {
          ...plan.engine,
          keepEndedMs: KEEP_ENDED_MS,
          loadLagMs: isLate ? LATE_REPORT_MS : REPORT_LAG_MS,
          lengthOf: ({ id }) => lengths.get(id)!,
        }),
    );
    this.#policy = this.#createPolicy(lengths);
  }

  /** Time since the start, in milliseconds. */
  get nowMs(): number {
    return this.#clock.monotonicMs();
  }

  /** {@inheritDoc CallerServer.isMeasuring} */
  get isMeasuring(): boolean {
    return this.nowMs >= WARM_UP_MS && this.nowMs < ARRIVALS_MS;
  }

  /** Time over which tokens count towards the goodput, in seconds. */
  get measuredSeconds(): number {
    return (ARRIVALS_MS - WARM_UP_MS) / 1_000;
  }

  /** Requests that were made. */
  get askedCount(): number {
    return this.#arrivals.length;
  }

  /** Requests without an end; 0 once the run is over. */
  get openCount(): number {
    return this.#callers.size;
  }

  /** Runs everything. */
  run(): void {
    this.#scheduleArrival(0);
    this.#scheduleFault();
    this.#schedulePoll();
    this.#scheduleTick();
    this.#clock.advance(ARRIVALS_MS);
    for (let drainedMs = 0; drainedMs < MAX_DRAIN_MS;) {
      if (this.openCount === 0) return;
      this.#clock.advance(DRAIN_STEP_MS);
      drainedMs += DRAIN_STEP_MS;
    }
  }

  /** {@inheritDoc CallerServer.onCompleted} */
  onCompleted(caller: BenchCaller): void {
    this.measures.goodTokens += caller.measuredTokens;
    this.#end(caller, "completed");
    this.#releaseLater(caller, "completed");
  }

  /** {@inheritDoc CallerServer.onBroken} */
  onBroken(caller: BenchCaller): void {
    const { id } = caller.arrival;
    this.#clock.setTimer(LINK_DELAY_MS, () => {
      this.#policy.release(id, "failed", caller.tokens);
      this.#retryOrEnd(caller);
    });
  }

  #createArrivals(): Arrival[] {
    const { workload, engine, load, variant, seed } = this.#plan;
    const random = new SeededRandom(seed);
    const sustained = sustainedRequestsPerSecond(workload, engine, random);
    const burst = { fromMs: FAULT_MS, untilMs: FAULT_MS + BURST_MS };
    return createArrivals(workload, {
      seed: random,
      durationMs: ARRIVALS_MS,
      requestsPerSecond: sustained * load,
      ...(variant === "burst" ? { burst } : {}),
      ...(variant === "length-shift" ? { shiftMs: SHIFT_MS } : {}),
    });
  }

  #createPolicy(lengths: ReadonlyMap<string, number>): BenchPolicy {
    const { policy: name, seed, workload, favour, changes } = this.#plan;
    const endpoints = Array.from(
      { length: workload.replicas },
      (_, index): Endpoint => ({
        id: asId<EndpointId>(`e${index}`),
        address: asId<Address>(`127.0.0.1:${index + 1}`),
      }),
    );
    const random = new SeededRandom(seed + 1);
    const now = (): number => this.nowMs;
    const listener = {
      onGranted: (id: GenerationId, endpoint: number) =>
        this.#onGranted(id, endpoint),
      onRefused: (id: GenerationId, isEarly: boolean) =>
        this.#end(
          this.#callers.get(id)!,
          isEarly ? "refused-early" : "refused",
        ),
    };
    if (name !== "reserve-max" && name !== "ours" && name !== "oracle") {
      return new BaselinePolicy(name, endpoints, random, listener, now);
    }
    const createLengths = {
      "reserve-max": () => new ReserveMaxLengths(),
      "ours": () => new HistogramLengthModel(),
      "oracle": () => new OracleLengths(lengths),
    }[name];
    const policy = { ...policyFor(favour), ...changes };
    return new CorePolicy({
      endpoints,
      random,
      listener,
      policy,
      now,
      createLengths,
    });
  }

  #scheduleArrival(index: number): void {
    const arrival = this.#arrivals[index];
    if (!arrival) return;
    this.#clock.setTimer(arrival.atMs - this.nowMs, () => {
      this.#scheduleArrival(index + 1);
      this.#arrive(arrival);
    });
  }

  #arrive(arrival: Arrival): void {
    const caller = new BenchCaller(arrival, this);
    this.#callers.set(arrival.id, caller);
    const { class: asked, workspace, lengthTokens } = arrival;
    this.measures.onAsked(asked, workspace, lengthTokens);
    this.#clock.setTimer(asked.patienceMs, () => this.#leaveIfUnserved(caller));
    this.#ask(caller);
  }

  #ask(caller: BenchCaller): void {
    caller.attempts++;
    caller.endpoint = undefined;
    this.#policy.request(caller.arrival, caller.excluded);
  }

  #onGranted(id: GenerationId, endpoint: number): void {
    const caller = this.#callers.get(id);
    if (!caller) return;
    caller.endpoint = endpoint;
    this.#clock.setTimer(LINK_DELAY_MS, () => this.#start(caller, endpoint));
  }

  #start(caller: BenchCaller, endpoint: number): void {
    if (caller.isEnded) return;
    const { arrival } = caller;
    const result = this.engines[endpoint]!.start({
      id: arrival.id,
      model: "model",
      prompt: arrival.prompt,
      maxTokens: arrival.class.maxTokens,
      priority: arrival.class.priority,
    }, caller);
    if (result === "accepted") return;
    this.#policy.release(arrival.id, "not-run", 0);
    this.#retryOrEnd(caller);
  }

  #retryOrEnd(caller: BenchCaller): void {
    if (caller.isEnded) return;
    caller.excluded.push(caller.endpoint!);
    if (caller.tokens > 0) this.#end(caller, "interrupted");
    else if (caller.attempts >= MAX_ATTEMPTS) this.#end(caller, "refused");
    else this.#ask(caller);
  }

  #leaveIfUnserved(caller: BenchCaller): void {
    if (caller.isEnded || caller.tokens > 0) return;
    this.#end(caller, "left");
    if (caller.endpoint === undefined) {
      this.#policy.abandon(caller.arrival.id);
      return;
    }
    this.engines[caller.endpoint]!.cancel(caller.arrival.id);
    this.#releaseLater(caller, "cancelled");
  }

  /** The engine may be in the middle of a step; the answer takes a while. */
  #releaseLater(caller: BenchCaller, end: "completed" | "cancelled"): void {
    this.#clock.setTimer(
      LINK_DELAY_MS,
      () => this.#policy.release(caller.arrival.id, end, caller.tokens),
    );
  }

  #end(caller: BenchCaller, end: BenchEnd): void {
    const { class: asked, workspace, id } = caller.arrival;
    caller.isEnded = true;
    this.#callers.delete(id);
    this.measures.onEnded(asked, workspace, end, caller);
  }

  #schedulePoll(): void {
    this.#clock.setTimer(POLL_MS, () => {
      this.#schedulePoll();
      for (const { arrival, endpoint, tokens } of this.#callers.values()) {
        if (endpoint !== undefined) this.#policy.progress(arrival.id, tokens);
      }
      this.engines.forEach((engine, index) => this.#poll(engine, index));
    });
  }

  #poll(engine: SimulatedEngine, index: number): void {
    if (engine.isDown) {
      this.#policy.onReport(index, undefined);
      return;
    }
    this.#policy.onReport(index, engine.readLoad());
    const after = this.#policy.lastCacheSequence(index);
    this.#policy.onCacheEvents(index, engine.readCacheEvents(after));
  }

  #scheduleTick(): void {
    this.#clock.setTimer(TICK_MS, () => {
      this.#scheduleTick();
      this.#policy.tick();
    });
  }

  #scheduleFault(): void {
    const { variant } = this.#plan;
    if (variant === "dispatcher-dies") {
      this.#clock.setTimer(FAULT_MS, () => this.#policy.replaceDispatcher());
    }
    if (variant !== "endpoint-dies") return;
    const [engine] = this.engines;
    this.#clock.setTimer(FAULT_MS, () => engine!.crash());
    this.#clock.setTimer(
      FAULT_MS + ENDPOINT_DOWN_MS,
      () => engine!.restart(),
    );
  }

  /** Workspace that asked for more than its part, if any. */
  get greedyWorkspace(): ReturnType<typeof burstWorkspace> | undefined {
    return this.#plan.variant === "burst" ? burstWorkspace() : undefined;
  }
}
