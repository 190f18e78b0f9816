/**
 * Simulates a run of the dispatch benchmark: engines, callers and a dispatch
 * policy on a manual clock, with one of several faults.
 */

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
import {
  DispatcherPolicy,
  OracleLengthModel,
  ReserveMaxLengthModel,
} from "./dispatcher_policy.ts";
import { type RequestOutcome, RunMetrics } from "./run_metrics.ts";
import {
  BaselinePolicy,
  type BenchPolicy,
  type PolicyName,
} from "./policies.ts";
import {
  type Arrival,
  burstWorkspaceId,
  createArrivals,
  type EngineParameters,
  estimateSustainedRequestsPerSecond,
  type Workload,
} from "./workload.ts";

/** Names of the variants of a run, each with another fault or disturbance. */
export const VARIANTS = [
  "calm",
  "endpoint-dies",
  "late-reports",
  "dispatcher-dies",
  "burst",
  "length-shift",
] as const;

/** Name of a variant of a run. */
export type Variant = typeof VARIANTS[number];

/** Options of a simulation. */
export interface SimulationOptions {
  readonly policy: PolicyName;
  readonly workload: Workload;
  /** Offered load, as a fraction of the sustainable request rate. */
  readonly load: number;
  readonly variant: Variant;
  readonly seed: number;
  readonly engine: EngineParameters;
  readonly goal: OptimizationGoal;
  /** Overrides of the default policy for `goal`. */
  readonly policyOverrides: Partial<GroupPolicy>;
}

/** Requests arrive from the start of the run until this time. */
const ARRIVAL_PERIOD_MS = 600_000;
/** Tokens count as goodput from this time until the end of the arrivals. */
const WARM_UP_MS = 240_000;
/** Time limit after the last arrival until all requests must have ended. */
const MAX_DRAIN_MS = 1_500_000;
const DRAIN_STEP_MS = 10_000;
const LINK_DELAY_MS = 1;
const POLL_INTERVAL_MS = 500;
const TICK_INTERVAL_MS = 100;
/** Age of load reports in the variant `late-reports`. */
const DELAYED_REPORT_LAG_MS = 5_000;
/** Age of load reports in all other variants. */
const REPORT_LAG_MS = 1_000;
/** Time at which a fault or burst starts. */
const FAULT_TIME_MS = 360_000;
const ENDPOINT_DOWNTIME_MS = 30_000;
const BURST_DURATION_MS = 60_000;
const LENGTH_SHIFT_TIME_MS = 300_000;
const MAX_ATTEMPTS = 3;
const ENDED_RETENTION_MS = 1_000;

/** Simulates all requests from the first arrival to the end of the last one. */
export class Simulation implements CallerListener {
  readonly metrics: RunMetrics;
  readonly engines: SimulatedEngine[];
  readonly #options: SimulationOptions;
  readonly #clock = new ManualClock();
  readonly #policy: BenchPolicy;
  readonly #arrivals: readonly Arrival[];
  readonly #callers = new Map<GenerationId, BenchCaller>();

  /** @param options - Options of the simulation. */
  constructor(options: SimulationOptions) {
    this.#options = options;
    this.metrics = new RunMetrics(options.workload);
    this.#arrivals = this.#createArrivals();
    const lengths = new Map(
      this.#arrivals.map(({ id, lengthTokens }) => [id, lengthTokens]),
    );
    const areReportsDelayed = options.variant === "late-reports";
    this.engines = Array.from(
      { length: options.workload.replicas },
      () =>
        new SimulatedEngine(this.#clock, {
          ...options.engine,
          keepEndedMs: ENDED_RETENTION_MS,
          loadLagMs: areReportsDelayed ? DELAYED_REPORT_LAG_MS : REPORT_LAG_MS,
          lengthOf: ({ id }) => lengths.get(id)!,
        }),
    );
    this.#policy = this.#createPolicy(lengths);
  }

  /** Simulated time since the start in milliseconds. */
  get nowMs(): number {
    return this.#clock.monotonicMs();
  }

  /** {@inheritDoc CallerServer.isInMeasurementPeriod} */
  get isInMeasurementPeriod(): boolean {
    return this.nowMs >= WARM_UP_MS && this.nowMs < ARRIVAL_PERIOD_MS;
  }

  /** Length in seconds of the period in which tokens count as goodput. */
  get measuredSeconds(): number {
    return (ARRIVAL_PERIOD_MS - WARM_UP_MS) / 1_000;
  }

  /** Total number of requests. */
  get requestCount(): number {
    return this.#arrivals.length;
  }

  /** Number of requests that have not ended; 0 after a complete run. */
  get unfinishedCount(): number {
    return this.#callers.size;
  }

  /** Runs the simulation until all requests have ended, or a time limit. */
  run(): void {
    this.#scheduleArrival(0);
    this.#scheduleFault();
    this.#schedulePoll();
    this.#scheduleTick();
    this.#clock.advance(ARRIVAL_PERIOD_MS);
    for (let drainedMs = 0; drainedMs < MAX_DRAIN_MS;) {
      if (this.unfinishedCount === 0) return;
      this.#clock.advance(DRAIN_STEP_MS);
      drainedMs += DRAIN_STEP_MS;
    }
  }

  /** {@inheritDoc CallerServer.onCompleted} */
  onCompleted(caller: BenchCaller): void {
    this.metrics.goodputTokens += caller.measuredTokens;
    this.#end(caller, "completed");
    this.#releaseLater(caller, "completed");
  }

  /** {@inheritDoc CallerServer.onDisconnect} */
  onDisconnect(caller: BenchCaller): void {
    const { id } = caller.arrival;
    this.#clock.setTimer(LINK_DELAY_MS, () => {
      this.#policy.release(id, "failed", caller.tokens);
      this.#retryOrEnd(caller);
    });
  }

  #createArrivals(): Arrival[] {
    const { workload, engine, load, variant, seed } = this.#options;
    const random = new SeededRandom(seed);
    const sustained = estimateSustainedRequestsPerSecond(
      workload,
      engine,
      random,
    );
    const burst = {
      fromMs: FAULT_TIME_MS,
      untilMs: FAULT_TIME_MS + BURST_DURATION_MS,
    };
    return createArrivals(workload, {
      random,
      durationMs: ARRIVAL_PERIOD_MS,
      requestsPerSecond: sustained * load,
      ...(variant === "burst" ? { burst } : {}),
      ...(variant === "length-shift"
        ? { lengthShiftMs: LENGTH_SHIFT_TIME_MS }
        : {}),
    });
  }

  #createPolicy(lengths: ReadonlyMap<string, number>): BenchPolicy {
    const {
      policy: name,
      seed,
      workload,
      goal,
      policyOverrides,
    } = this.#options;
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
    const createLengthModel = {
      "reserve-max": () => new ReserveMaxLengthModel(),
      "ours": () => new HistogramLengthModel(),
      "oracle": () => new OracleLengthModel(lengths),
    }[name];
    const policy = { ...policyFor(goal), ...policyOverrides };
    return new DispatcherPolicy({
      endpoints,
      random,
      listener,
      policy,
      now,
      createLengthModel,
    });
  }

  #scheduleArrival(index: number): void {
    const arrival = this.#arrivals[index];
    if (!arrival) return;
    this.#clock.setTimer(arrival.atMs - this.nowMs, () => {
      this.#scheduleArrival(index + 1);
      this.#startCaller(arrival);
    });
  }

  #startCaller(arrival: Arrival): void {
    const caller = new BenchCaller(arrival, this);
    this.#callers.set(arrival.id, caller);
    const { class: requestClass, workspace, lengthTokens } = arrival;
    this.metrics.recordRequest(requestClass, workspace, lengthTokens);
    this.#clock.setTimer(
      requestClass.maxWaitMs,
      () => this.#abandonIfUnserved(caller),
    );
    this.#submit(caller);
  }

  #submit(caller: BenchCaller): void {
    caller.attempts++;
    caller.endpoint = undefined;
    this.#policy.submit(caller.arrival, caller.excludedEndpoints);
  }

  #onGranted(id: GenerationId, endpoint: number): void {
    const caller = this.#callers.get(id);
    if (!caller) return;
    caller.endpoint = endpoint;
    this.#clock.setTimer(
      LINK_DELAY_MS,
      () => this.#startGeneration(caller, endpoint),
    );
  }

  #startGeneration(caller: BenchCaller, endpoint: number): void {
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

  /** Retries a request unless its caller has received tokens. */
  #retryOrEnd(caller: BenchCaller): void {
    if (caller.isEnded) return;
    caller.excludedEndpoints.push(caller.endpoint!);
    if (caller.tokens > 0) this.#end(caller, "interrupted");
    else if (caller.attempts >= MAX_ATTEMPTS) this.#end(caller, "refused");
    else this.#submit(caller);
  }

  /** Ends a request whose caller waited too long for the first token. */
  #abandonIfUnserved(caller: BenchCaller): void {
    if (caller.isEnded || caller.tokens > 0) return;
    this.#end(caller, "left");
    if (caller.endpoint === undefined) {
      this.#policy.abandon(caller.arrival.id);
      return;
    }
    this.engines[caller.endpoint]!.cancel(caller.arrival.id);
    this.#releaseLater(caller, "cancelled");
  }

  /**
   * Releases the grant after a delay, because the engine may still be in the
   * middle of a step and its response takes time to arrive.
   */
  #releaseLater(caller: BenchCaller, end: "completed" | "cancelled"): void {
    this.#clock.setTimer(
      LINK_DELAY_MS,
      () => this.#policy.release(caller.arrival.id, end, caller.tokens),
    );
  }

  #end(caller: BenchCaller, end: RequestOutcome): void {
    const { class: requestClass, workspace, id } = caller.arrival;
    caller.isEnded = true;
    this.#callers.delete(id);
    this.metrics.recordEnd(requestClass, workspace, end, caller);
  }

  #schedulePoll(): void {
    this.#clock.setTimer(POLL_INTERVAL_MS, () => {
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
    this.#clock.setTimer(TICK_INTERVAL_MS, () => {
      this.#scheduleTick();
      this.#policy.tick();
    });
  }

  #scheduleFault(): void {
    const { variant } = this.#options;
    if (variant === "dispatcher-dies") {
      this.#clock.setTimer(
        FAULT_TIME_MS,
        () => this.#policy.replaceDispatcher(),
      );
    }
    if (variant !== "endpoint-dies") return;
    const [engine] = this.engines;
    this.#clock.setTimer(FAULT_TIME_MS, () => engine!.crash());
    this.#clock.setTimer(
      FAULT_TIME_MS + ENDPOINT_DOWNTIME_MS,
      () => engine!.restart(),
    );
  }

  /** Workspace that exceeds its fair share in the variant, if there is one. */
  get burstingWorkspace(): ReturnType<typeof burstWorkspaceId> | undefined {
    return this.#options.variant === "burst" ? burstWorkspaceId() : undefined;
  }
}
