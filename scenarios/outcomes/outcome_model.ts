/** Runs schedules on a small world and checks what must always hold. */

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
import { applyFault } from "../runner/faults.ts";
import type { FaultStep } from "../runner/scenario_schema.ts";
import {
  MODEL_APPS,
  MODEL_ENGINES,
  MODEL_HOSTS,
  MODEL_WORKSPACES,
  type ModelStep,
  type TimedStep,
} from "./model_steps.ts";

const TEAM = asId<TeamName>(SIMULATION_TEAM);
const RESUME_WINDOW_MS = 3_000;
const HALF_OPEN_MS = 1_500;
/** Longer than any timeout of a call, a stream or a window. */
const REST_MS = 60_000;
const REST_SLICE_MS = 5_000;

/** A generation with all that its caller does and sees. */
interface ModelGeneration {
  readonly record: GenerationRecord;
  readonly prompt: string;
  readonly tokens: number;
  connection: ModelConnection | undefined;
  isCancelled: boolean;
}

interface ModelCall {
  readonly record: CallRecord;
  readonly body: string;
  readonly key: string | undefined;
  readonly host: string;
  isCutOff: boolean;
}

/** One connection of a caller; what comes on an earlier one is not read. */
class ModelConnection implements GenerationListener {
  readonly host: string;
  readonly #generation: ModelGeneration;
  handle: GenerationHandle | undefined;
  isSlow = false;
  isGone = false;

  constructor(generation: ModelGeneration, host: string) {
    this.#generation = generation;
    this.host = host;
  }

  onStarted(id: GenerationId): void {
    if (this.#isRead) this.#generation.record.onStarted(id);
  }

  onTokens(tokens: readonly Token[]): boolean {
    if (this.#isRead) this.#generation.record.onTokens(tokens);
    return !this.isSlow;
  }

  onEnded(end: GenerationResult): void {
    if (this.#isRead) this.#generation.record.onEnded(end);
  }

  get #isRead(): boolean {
    return this.#generation.connection === this && !this.isGone;
  }
}

/** Small deployment with callers, all on one manual clock. */
export class OutcomeModel {
  readonly #world: SimulatedDeployment;
  readonly #generations: ModelGeneration[] = [];
  readonly #calls: ModelCall[] = [];
  #requests = 0;

  private constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  /**
   * Runs a schedule, mends all faults and lets everything end.
   *
   * @param schedule - The steps.
   * @returns What did not hold; empty when all did.
   */
  static async run(schedule: readonly TimedStep[]): Promise<string[]> {
    const engine = { baseStepMs: 60 };
    const model = new OutcomeModel(
      await SimulatedDeployment.create({
        zones: { zone: { hosts: MODEL_HOSTS.length } },
        services: {
          llm: {
            kind: "engine",
            replicas: { zone: MODEL_ENGINES.length },
            engine,
          },
          app: { kind: "app", replicas: { zone: MODEL_APPS.length } },
        },
        workspaces: MODEL_WORKSPACES,
        classes: { normal: { priority: 3, maxWaitMs: 4_000 } },
        resumeWindowMs: RESUME_WINDOW_MS,
      }),
    );
    for (const { afterMs, step } of schedule) {
      await model.#world.clock.advanceAsync(afterMs);
      model.#apply(step);
    }
    await model.#rest();
    return model.#findViolations();
  }

  #apply(step: ModelStep): void {
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
        this.#fault(step.fault);
        return;
      default:
        assertNever(step);
    }
  }

  #generate(step: ModelStep & { kind: "generate" }): void {
    const number = this.#requests++;
    const prompt = step.isPoison
      ? `${step.workspace} ${POISON_MARKER}`
      : `prompt ${number} #tokens=${step.tokens}`;
    const generation: ModelGeneration = {
      record: new GenerationRecord(step.workspace),
      prompt,
      tokens: step.tokens,
      connection: undefined,
      isCancelled: false,
    };
    this.#generations.push(generation);
    const host = this.#world.host(step.host);
    if (!isServing(host)) return;
    const connection = new ModelConnection(generation, step.host);
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

  #resume(step: ModelStep & { kind: "resume" }): void {
    const generation = this.#generations[step.generation];
    const host = this.#world.host(step.host);
    if (!generation || !isServing(host)) return;
    const { record } = generation;
    if (record.id === "" || record.outcome === "completed") return;
    this.#dropEarlier(generation.connection, step.isEarlierHalfOpen);
    record.ends = [];
    const connection = new ModelConnection(generation, step.host);
    generation.connection = connection;
    connection.handle = host.core.generations.resume({
      requestId: asId<RequestId>(`request-${this.#requests++}`),
      workspace: toWorkspaceId(TEAM, record.workspace),
      id: record.id,
      fromOffset: record.tokens.length,
    }, connection);
  }

  #dropEarlier(
    earlier: ModelConnection | undefined,
    isHalfOpen: boolean,
  ): void {
    if (!isHalfOpen) this.#disconnect(earlier);
    else {
      this.#world.clock.setTimer(
        HALF_OPEN_MS,
        () => this.#disconnect(earlier),
      );
    }
  }

  /** A dead host does not learn that its callers have gone. */
  #disconnect(connection: ModelConnection | undefined): void {
    if (!connection || connection.isGone) return;
    connection.isGone = true;
    const { clock } = this.#world.host(connection.host);
    clock.setTimer(1, () => connection.handle?.onCallerDisconnected());
  }

  #cancel(step: ModelStep & { kind: "cancel" }): void {
    const generation = this.#generations[step.generation];
    const host = this.#world.host(step.host);
    if (!generation || generation.record.id === "" || !isServing(host)) return;
    generation.isCancelled = true;
    const { workspace, id } = generation.record;
    void host.core.generations.cancel(toWorkspaceId(TEAM, workspace), id);
  }

  #setSlow(step: ModelStep & { kind: "slow-caller" }): void {
    const connection = this.#generations[step.generation]?.connection;
    if (!connection || connection.isGone) return;
    connection.isSlow = step.isSlow;
    if (!step.isSlow) connection.handle?.resumeReading();
  }

  #call(step: ModelStep & { kind: "call" }): void {
    const host = this.#world.host(step.host);
    if (!isServing(host)) return;
    const number = this.#requests++;
    const name = step.key === undefined ? `call ${number}` : `key ${step.key}`;
    const body = `${step.workspace} ${name}`;
    const call = {
      record: new CallRecord(),
      body,
      key: step.key,
      host: step.host,
      isCutOff: false,
    };
    this.#calls.push(call);
    const { configuration, calls } = host.core;
    const route = configuration.findCallRoute(TEAM, "/app/calls")!;
    const known = configuration.resolveClass(TEAM, ["normal"], undefined)!;
    void calls.run({
      requestId: asId<RequestId>(`request-${number}`),
      workspace: toWorkspaceId(TEAM, step.workspace),
      route,
      class: known,
      method: "POST",
      path: "/app/calls",
      headers: [],
      body: Buffer.from(body),
      idempotencyKey: step.key === undefined
        ? undefined
        : asId<IdempotencyKey>(step.key),
      signal: new AbortController().signal,
    }).then((result) => {
      if (!call.isCutOff) call.record.result = result;
    });
  }

  #fault(fault: FaultStep): void {
    if (fault.fault === "restart-engine" || fault.fault === "restart-host") {
      this.#restart(fault);
      return;
    }
    if (fault.fault === "crash-host") this.#cutOff(fault.host);
    applyFault(this.#world, fault);
  }

  #restart(fault: FaultStep): void {
    if (fault.fault === "restart-engine") {
      if (this.#world.engine(fault.engine).isDown) {
        applyFault(this.#world, fault);
      }
    } else if (fault.fault === "restart-host") {
      this.#cutOff(fault.host);
      applyFault(this.#world, fault);
    }
  }

  /** Connections to a host end when its process dies. */
  #cutOff(host: string): void {
    for (const { connection } of this.#generations) {
      if (connection?.host === host) connection.isGone = true;
    }
    for (const call of this.#calls) {
      if (call.host === host) call.isCutOff = true;
    }
  }

  async #rest(): Promise<void> {
    const { store, hosts, engines, apps, clock } = this.#world;
    this.#fault({ do: "fault", fault: "heal-links" });
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
      if (!connection || connection.isGone) continue;
      connection.isSlow = false;
      connection.handle?.resumeReading();
    }
    for (let restedMs = 0; restedMs < REST_MS; restedMs += REST_SLICE_MS) {
      await clock.advanceAsync(REST_SLICE_MS);
      if (this.#isAtRest()) return;
    }
  }

  #isAtRest(): boolean {
    const isIdle = [...this.#world.hosts.values()].every(({ clock, core }) =>
      clock.isKilled || core.activeCount === 0
    );
    const isStill = [...this.#world.engines.values()].every((engine) =>
      engine.runningCount === 0
    );
    return isIdle && isStill;
  }

  #findViolations(): string[] {
    return [
      ...this.#generations.flatMap((generation, index) =>
        this.#violationsOf(generation).map((text) =>
          `generation ${index}: ${text}`
        )
      ),
      ...this.#calls.flatMap((call, index) =>
        this.#violationsOfCall(call).map((text) => `call ${index}: ${text}`)
      ),
      ...this.#leftovers(),
    ];
  }

  #violationsOf(generation: ModelGeneration): string[] {
    const { record, prompt, tokens, connection } = generation;
    const found: string[] = [];
    const violation = record.findViolation();
    if (violation) found.push(violation);
    const started = this.#startedPrompts(record.id);
    if (record.id !== "" && !started.includes(prompt)) {
      found.push("its id names the generation of another request");
    }
    if (record.outcome === "completed" && record.tokens.length !== tokens) {
      found.push(`completed with ${record.tokens.length} of ${tokens} tokens`);
    }
    const isAlone =
      this.#generations.filter((other) => other.prompt === prompt).length === 1;
    const wasRun = isAlone && this.#startedPrompts().includes(prompt);
    if (record.outcome === "not-run" && wasRun) found.push("not-run, but ran");
    if (record.reason === "cancelled" && !generation.isCancelled) {
      found.push("cancelled without a wish of its caller");
    }
    const isWaiting = connection && !connection.isGone &&
      record.ends.length === 0;
    if (isWaiting) found.push("its caller waits for ever");
    return found;
  }

  #startedPrompts(id?: string): string[] {
    return [...this.#world.engines.values()].flatMap(({ startedPrompts }) =>
      [...startedPrompts]
        .filter(([started]) => id === undefined || started === id)
        .map(([, prompt]) => prompt)
    );
  }

  #violationsOfCall({ record, body, key, isCutOff }: ModelCall): string[] {
    const runs = [...this.#world.apps.values()].reduce(
      (sum, app) => sum + app.runCountOf(body),
      0,
    );
    const found: string[] = [];
    if (runs > 1) found.push(`${body} ran ${runs} times`);
    const isAlone = key === undefined ||
      this.#calls.filter((other) => other.body === body).length === 1;
    if (record.outcome === "not-run" && isAlone && runs > 0) {
      found.push(`${body} ran, but not-run was said`);
    }
    if (record.outcome === "none" && !isCutOff) {
      found.push(`${body} has no answer`);
    }
    record.result?.ifRight((response) => {
      const answer = JSON.parse(Buffer.from(response.body).toString()) as {
        readonly booked: string;
      };
      if (answer.booked !== body) found.push("the answer is another caller's");
    });
    return found;
  }

  #leftovers(): string[] {
    const found: string[] = [];
    for (const { host, core, clock } of this.#world.hosts.values()) {
      if (clock.isKilled || core.activeCount === 0) continue;
      found.push(`${host as HostId} still holds ${core.activeCount} requests`);
    }
    return found;
  }
}

/** A daemon without the configuration refuses all requests. */
function isServing({ clock, core }: SimulatedHost): boolean {
  return !clock.isKilled && core.configuration.isReady;
}
