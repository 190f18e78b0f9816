/**
 * Runs schedules of requests and faults against a small simulated deployment and
 * checks that every request ends with a correct outcome.
 */

import { assertNever } from "../../src/base/common/errors.ts";
import {
  asId,
  type GenerationId,
  type HostId,
  type RequestId,
  type TeamName,
} from "../../src/base/common/ids.ts";
import {
  toServiceId,
  toWorkspaceId,
} from "../../src/features/configuration/common/configuration.ts";
import type { Token } from "../../src/features/generations/common/frame_sequencer.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationResult,
} from "../../src/features/generations/common/generation_service.ts";
import type { IdempotencyKey } from "../../src/features/ledger/common/claim_ledger.ts";
import { POISON_MARKER } from "../../standins/engine/engine_options.ts";
import {
  SimulatedDeployment,
  SIMULATION_TEAM,
} from "../../standins/world/simulated_deployment.ts";
import type { SimulatedHost } from "../../standins/world/simulated_host.ts";
import { CallRecord, GenerationRecord } from "../runner/caller_record.ts";
import { applyFault } from "../runner/fault_injection.ts";
import type { FaultStep } from "../runner/scenario_schema.ts";
import {
  type ScheduleStep,
  SIMULATION_APPS,
  SIMULATION_ENGINES,
  SIMULATION_HOSTS,
  SIMULATION_WORKSPACES,
  type TimedScheduleStep,
} from "./schedule_steps.ts";

const TEAM = asId<TeamName>(SIMULATION_TEAM);
const RESUME_WINDOW_MS = 3_000;
const HALF_OPEN_DETECTION_MS = 1_500;
/** Exceeds every timeout of calls, streams and resume windows. */
const MAX_SETTLE_MS = 60_000;
const SETTLE_STEP_MS = 5_000;

/** A generation, the actions of its caller and what the caller received. */
interface TrackedGeneration {
  readonly record: GenerationRecord;
  readonly prompt: string;
  readonly tokenCount: number;
  connection: CallerConnection | undefined;
  isCancelled: boolean;
}

interface TrackedCall {
  readonly record: CallRecord;
  readonly body: string;
  readonly key: string | undefined;
  readonly host: string;
  isDisconnected: boolean;
}

/** Connection of a caller; data on a replaced connection is ignored. */
class CallerConnection implements GenerationListener {
  readonly host: string;
  readonly #generation: TrackedGeneration;
  handle: GenerationHandle | undefined;
  isSlow = false;
  isClosed = false;

  constructor(generation: TrackedGeneration, host: string) {
    this.#generation = generation;
    this.host = host;
  }

  onStarted(id: GenerationId): void {
    if (this.#isActive) this.#generation.record.onStarted(id);
  }

  onTokens(tokens: readonly Token[]): boolean {
    if (this.#isActive) this.#generation.record.onTokens(tokens);
    return !this.isSlow;
  }

  onEnded(result: GenerationResult): void {
    if (this.#isActive) this.#generation.record.onEnded(result);
  }

  get #isActive(): boolean {
    return this.#generation.connection === this && !this.isClosed;
  }
}

/** Simulates a small deployment and its callers on one manual clock. */
export class OutcomeSimulation {
  readonly #world: SimulatedDeployment;
  readonly #generations: TrackedGeneration[] = [];
  readonly #calls: TrackedCall[] = [];
  #requestCount = 0;

  private constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  /**
   * Runs a schedule, clears all faults and waits until all requests have ended.
   *
   * @param schedule - Steps to apply, in order.
   * @returns Descriptions of the violations; empty if there are none.
   */
  static async run(schedule: readonly TimedScheduleStep[]): Promise<string[]> {
    const engine = { baseStepMs: 60 };
    const simulation = new OutcomeSimulation(
      await SimulatedDeployment.create({
        zones: { zone: { hosts: SIMULATION_HOSTS.length } },
        services: {
          llm: {
            kind: "engine",
            replicas: { zone: SIMULATION_ENGINES.length },
            engine,
          },
          app: { kind: "app", replicas: { zone: SIMULATION_APPS.length } },
        },
        workspaces: SIMULATION_WORKSPACES,
        classes: { normal: { priority: 3, maxWaitMs: 4_000 } },
        resumeWindowMs: RESUME_WINDOW_MS,
      }),
    );
    for (const { afterMs, step } of schedule) {
      await simulation.#world.clock.advanceAsync(afterMs);
      simulation.#applyStep(step);
    }
    await simulation.#recoverAndSettle();
    return simulation.#findViolations();
  }

  #applyStep(step: ScheduleStep): void {
    switch (step.kind) {
      case "generate":
        this.#generate(step);
        return;
      case "call":
        this.#call(step);
        return;
      case "leave":
        this.#disconnect(this.#generations[step.generation]?.connection);
        return;
      case "resume":
        this.#resume(step);
        return;
      case "cancel":
        this.#cancel(step);
        return;
      case "slow-caller":
        this.#setSlow(step);
        return;
      case "fault":
        this.#injectFault(step.fault);
        return;
      default:
        assertNever(step);
    }
  }

  #generate(step: ScheduleStep & { kind: "generate" }): void {
    const number = this.#requestCount++;
    const prompt = step.isPoison
      ? `${step.workspace} ${POISON_MARKER}`
      : `prompt ${number} #tokens=${step.tokens}`;
    const generation: TrackedGeneration = {
      record: new GenerationRecord(step.workspace),
      prompt,
      tokenCount: step.tokens,
      connection: undefined,
      isCancelled: false,
    };
    this.#generations.push(generation);
    const host = this.#world.host(step.host);
    if (!isServing(host)) return;
    const connection = new CallerConnection(generation, step.host);
    generation.connection = connection;
    connection.handle = host.core.generations.start({
      requestId: asId<RequestId>(`request-${number}`),
      workspace: toWorkspaceId(TEAM, step.workspace),
      service: toServiceId(TEAM, "llm"),
      className: "normal",
      model: "llm",
      prompt,
      maxTokens: 50,
      sizeBytes: prompt.length,
      maxWaitMs: 4_000,
      delivery: step.delivery,
    }, connection);
  }

  #resume(step: ScheduleStep & { kind: "resume" }): void {
    const generation = this.#generations[step.generation];
    const host = this.#world.host(step.host);
    if (!generation || !isServing(host)) return;
    const { record } = generation;
    if (record.id === "" || record.outcome === "completed") return;
    this.#closePrevious(generation.connection, step.isEarlierHalfOpen);
    record.results = [];
    const connection = new CallerConnection(generation, step.host);
    generation.connection = connection;
    connection.handle = host.core.generations.resume({
      requestId: asId<RequestId>(`request-${this.#requestCount++}`),
      workspace: toWorkspaceId(TEAM, record.workspace),
      id: record.id,
      fromOffset: record.tokens.length,
    }, connection);
  }

  #closePrevious(
    previous: CallerConnection | undefined,
    isHalfOpen: boolean,
  ): void {
    if (!isHalfOpen) this.#disconnect(previous);
    else {
      this.#world.clock.setTimer(
        HALF_OPEN_DETECTION_MS,
        () => this.#disconnect(previous),
      );
    }
  }

  /** Uses the clock of the host: a crashed host sees no disconnect. */
  #disconnect(connection: CallerConnection | undefined): void {
    if (!connection || connection.isClosed) return;
    connection.isClosed = true;
    const { clock } = this.#world.host(connection.host);
    clock.setTimer(1, () => connection.handle?.onCallerDisconnected());
  }

  #cancel(step: ScheduleStep & { kind: "cancel" }): void {
    const generation = this.#generations[step.generation];
    const host = this.#world.host(step.host);
    if (!generation || generation.record.id === "" || !isServing(host)) return;
    generation.isCancelled = true;
    const { workspace, id } = generation.record;
    void host.core.generations.cancel(toWorkspaceId(TEAM, workspace), id);
  }

  #setSlow(step: ScheduleStep & { kind: "slow-caller" }): void {
    const connection = this.#generations[step.generation]?.connection;
    if (!connection || connection.isClosed) return;
    connection.isSlow = step.isSlow;
    if (!step.isSlow) connection.handle?.resumeReading();
  }

  #call(step: ScheduleStep & { kind: "call" }): void {
    const host = this.#world.host(step.host);
    if (!isServing(host)) return;
    const number = this.#requestCount++;
    const name = step.key === undefined ? `call ${number}` : `key ${step.key}`;
    const body = `${step.workspace} ${name}`;
    const call = {
      record: new CallRecord(),
      body,
      key: step.key,
      host: step.host,
      isDisconnected: false,
    };
    this.#calls.push(call);
    const { configuration, calls } = host.core;
    const route = configuration.findCallRoute(TEAM, "/app/calls")!;
    const callClass = configuration.resolveClass(TEAM, ["normal"], undefined)!;
    void calls.run({
      requestId: asId<RequestId>(`request-${number}`),
      workspace: toWorkspaceId(TEAM, step.workspace),
      route,
      class: callClass,
      method: "POST",
      path: "/app/calls",
      headers: [],
      body: Buffer.from(body),
      idempotencyKey: step.key === undefined
        ? undefined
        : asId<IdempotencyKey>(step.key),
      signal: new AbortController().signal,
    }).then((result) => {
      if (!call.isDisconnected) call.record.result = result;
    });
  }

  #injectFault(fault: FaultStep): void {
    if (fault.fault === "restart-engine" || fault.fault === "restart-host") {
      this.#restart(fault);
      return;
    }
    if (fault.fault === "crash-host") this.#markCallersDisconnected(fault.host);
    applyFault(this.#world, fault);
  }

  #restart(fault: FaultStep): void {
    if (fault.fault === "restart-engine") {
      if (this.#world.engine(fault.engine).isDown) {
        applyFault(this.#world, fault);
      }
    } else if (fault.fault === "restart-host") {
      this.#markCallersDisconnected(fault.host);
      applyFault(this.#world, fault);
    }
  }

  /** Closes all connections to a host whose process crashed. */
  #markCallersDisconnected(host: string): void {
    for (const { connection } of this.#generations) {
      if (connection?.host === host) connection.isClosed = true;
    }
    for (const call of this.#calls) {
      if (call.host === host) call.isDisconnected = true;
    }
  }

  async #recoverAndSettle(): Promise<void> {
    const { store, hosts, engines, apps, clock } = this.#world;
    this.#injectFault({ do: "fault", fault: "heal-links" });
    Object.assign(store.faults, {
      isDown: false,
      delayMs: 0,
      loseWriteAnswers: 0,
    });
    for (const host of hosts.values()) {
      host.store.isDisconnected = false;
      host.clock.thaw();
    }
    for (const app of apps.values()) {
      Object.assign(app.faults, { isDown: false, delayMs: 0, loseAnswers: 0 });
    }
    for (const engine of engines.values()) {
      engine.setStalled(false);
      if (engine.isDown) engine.restart();
    }
    for (const { connection } of this.#generations) {
      if (!connection || connection.isClosed) continue;
      connection.isSlow = false;
      connection.handle?.resumeReading();
    }
    for (let waitMs = 0; waitMs < MAX_SETTLE_MS; waitMs += SETTLE_STEP_MS) {
      await clock.advanceAsync(SETTLE_STEP_MS);
      if (this.#isSettled()) return;
    }
  }

  #isSettled(): boolean {
    const hostsIdle = [...this.#world.hosts.values()].every(({ clock, core }) =>
      clock.isKilled || core.activeCount === 0
    );
    const enginesIdle = [...this.#world.engines.values()].every((engine) =>
      engine.runningCount === 0
    );
    return hostsIdle && enginesIdle;
  }

  #findViolations(): string[] {
    return [
      ...this.#generations.flatMap((generation, index) =>
        this.#findGenerationViolations(generation).map((text) =>
          `generation ${index}: ${text}`
        )
      ),
      ...this.#calls.flatMap((call, index) =>
        this.#findCallViolations(call).map((text) => `call ${index}: ${text}`)
      ),
      ...this.#findUnfinishedRequests(),
    ];
  }

  #findGenerationViolations(generation: TrackedGeneration): string[] {
    const { record, prompt, tokenCount, connection } = generation;
    const found: string[] = [];
    const violation = record.findViolation();
    if (violation) found.push(violation);
    const startedPrompts = this.#listStartedPrompts(record.id);
    if (record.id !== "" && !startedPrompts.includes(prompt)) {
      found.push("its ID belongs to the generation of another request");
    }
    if (record.outcome === "completed" && record.tokens.length !== tokenCount) {
      found.push(`got ${record.tokens.length} of ${tokenCount} tokens`);
    }
    const isOnlyRequest =
      this.#generations.filter((other) => other.prompt === prompt).length === 1;
    const wasRun = isOnlyRequest && this.#listStartedPrompts().includes(prompt);
    if (record.outcome === "not-run" && wasRun) found.push("not-run, but ran");
    if (record.reason === "cancelled" && !generation.isCancelled) {
      found.push("cancelled without a request of its caller");
    }
    const isWaiting = connection && !connection.isClosed &&
      record.results.length === 0;
    if (isWaiting) found.push("its caller never received a result");
    return found;
  }

  #listStartedPrompts(id?: string): string[] {
    return [...this.#world.engines.values()].flatMap(({ startedPrompts }) =>
      [...startedPrompts]
        .filter(([startedId]) => id === undefined || startedId === id)
        .map(([, prompt]) => prompt)
    );
  }

  #findCallViolations(
    { record, body, key, isDisconnected }: TrackedCall,
  ): string[] {
    const runCount = [...this.#world.apps.values()].reduce(
      (sum, app) => sum + app.runCountOf(body),
      0,
    );
    const found: string[] = [];
    if (runCount > 1) found.push(`${body} ran ${runCount} times`);
    const isOnlyCall = key === undefined ||
      this.#calls.filter((other) => other.body === body).length === 1;
    if (record.outcome === "not-run" && isOnlyCall && runCount > 0) {
      found.push(`${body} ran, but its outcome is not-run`);
    }
    if (record.outcome === "none" && !isDisconnected) {
      found.push(`${body} received no response`);
    }
    record.result?.ifRight((response) => {
      const payload = JSON.parse(Buffer.from(response.body).toString()) as {
        readonly booked: string;
      };
      if (payload.booked !== body) found.push("response of another caller");
    });
    return found;
  }

  #findUnfinishedRequests(): string[] {
    const found: string[] = [];
    for (const { host, core, clock } of this.#world.hosts.values()) {
      if (clock.isKilled || core.activeCount === 0) continue;
      found.push(
        `${host as HostId} still has ${core.activeCount} requests`,
      );
    }
    return found;
  }
}

/** Checks a daemon: without a configuration it refuses all requests. */
function isServing({ clock, core }: SimulatedHost): boolean {
  return !clock.isKilled && core.configuration.isReady;
}
