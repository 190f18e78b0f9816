/** Runs a scenario on the manual clock and collects what did not hold. */

import { assertNever } from "../../src/base/common/errors.ts";
import {
  asId,
  type EndpointId,
  type RequestId,
} from "../../src/base/common/ids.ts";
import {
  toServiceId,
  toWorkspaceId,
} from "../../src/features/configuration/common/configuration.ts";
import type { GenerationHandle } from "../../src/features/generations/common/generation_service.ts";
import {
  SimulatedDeployment,
  SIMULATION_TEAM,
} from "../../standins/world/simulated_deployment.ts";
import { toCallRequest } from "./call_request.ts";
import { CallRecord, GenerationRecord } from "./caller_record.ts";
import { applyFault } from "./faults.ts";
import type {
  CallStep,
  CancelStep,
  DesireStep,
  EndpointStep,
  ExpectStep,
  FaultStep,
  GenerateStep,
  LeaveStep,
  ResumeStep,
  Scenario,
  Step,
} from "./scenario_schema.ts";

const TEAM = asId<Parameters<typeof toServiceId>[0]>(SIMULATION_TEAM);

/** A promise of a scenario that did not hold. */
export interface ScenarioFailure {
  /** Number of the step, from 1. */
  readonly step: number;
  readonly detail: string;
}

/**
 * Runs a scenario.
 *
 * @param scenario - The scenario.
 * @returns What did not hold; empty when all did.
 */
export async function runScenario(
  scenario: Scenario,
): Promise<readonly ScenarioFailure[]> {
  const runner = new ScenarioRunner(
    await SimulatedDeployment.create(scenario.world),
  );
  for (const [index, step] of scenario.steps.entries()) {
    await runner.run(step, index + 1);
  }
  runner.checkAlways(scenario.steps.length);
  return runner.failures;
}

class ScenarioRunner {
  readonly failures: ScenarioFailure[] = [];
  readonly #world: SimulatedDeployment;
  readonly #generations = new Map<string, GenerationRecord>();
  readonly #hostOf = new Map<GenerationRecord, string>();
  readonly #handles = new Map<GenerationRecord, GenerationHandle>();
  readonly #calls = new Map<string, CallRecord>();
  #requests = 0;

  constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  async run(step: Step, number: number): Promise<void> {
    switch (step.do) {
      case "generate":
        this.#generate(step);
        break;
      case "resume":
        this.#resume(step);
        break;
      case "leave":
        this.#leave(step);
        break;
      case "cancel":
        this.#cancel(step);
        break;
      case "call":
        this.#call(step);
        break;
      case "wait":
        await this.#world.clock.advanceAsync(step.forMs);
        break;
      case "desire":
        this.#desire(step);
        break;
      case "fault":
        this.#fault(step);
        break;
      case "configure":
        this.#world.setClassLimit(step.class, step.maxWaitMs);
        break;
      case "drain-endpoint":
      case "return-endpoint":
        this.#tellOfEndpoint(step);
        break;
      case "expect":
        this.#expect(step, number);
        break;
      default:
        assertNever(step);
    }
    await this.#world.clock.advanceAsync(0);
  }

  /** Checks what must hold of every answer, in every scenario. */
  checkAlways(number: number): void {
    for (const [request, record] of this.#generations) {
      const violation = record.findViolation();
      if (violation) this.#fail(number, `${request}: ${violation}`);
    }
  }

  #generate(step: GenerateStep): void {
    const { core } = this.#world.host(step.host);
    const record = new GenerationRecord(step.workspace);
    this.#generations.set(step.as, record);
    this.#hostOf.set(record, step.host);
    const prompt = `${step.prompt} #tokens=${step.tokens}`;
    const handle = core.generations.start({
      requestId: this.#nextRequestId(),
      workspace: toWorkspaceId(TEAM, step.workspace),
      service: toServiceId(TEAM, step.service),
      className: step.class,
      model: step.service,
      prompt,
      maxTokens: Math.max(1, step.tokens),
      sizeBytes: prompt.length,
      maxWaitMs: step.maxWaitMs ??
        core.configuration.findClassOfService(
          toServiceId(TEAM, step.service),
          step.class,
        )
          ?.maxWaitMs,
      delivery: step.delivery,
    }, record);
    this.#handles.set(record, handle);
  }

  #resume(step: ResumeStep): void {
    const record = this.#generation(step.of);
    const caller = step.workspace === undefined
      ? record
      : new GenerationRecord(step.workspace);
    if (caller !== record) {
      this.#generations.set(`${step.of}@${step.workspace}`, caller);
    }
    record.isCutOff = false;
    if (record.outcome === "interrupted") record.ends = [];
    this.#hostOf.set(caller, step.host);
    const { generations } = this.#world.host(step.host).core;
    const handle = generations.resume({
      requestId: this.#nextRequestId(),
      workspace: toWorkspaceId(TEAM, caller.workspace),
      id: record.id,
      fromOffset: record.tokens.length,
    }, caller);
    this.#handles.set(caller, handle);
  }

  #leave(step: LeaveStep): void {
    const record = this.#generation(step.of);
    record.isCutOff = true;
    this.#handles.get(record)?.onCallerDisconnected();
  }

  #cancel(step: CancelStep): void {
    const { id, workspace } = this.#generation(step.of);
    const { generations } = this.#world.host(step.host).core;
    void generations.cancel(toWorkspaceId(TEAM, workspace), id);
  }

  #call(step: CallStep): void {
    const record = new CallRecord();
    this.#calls.set(step.as, record);
    const { clock, core } = this.#world.host(step.host);
    const request = toCallRequest(core, this.#nextRequestId(), step);
    void core.calls.run(request).then((result) => {
      if (!clock.isKilled) record.result = result;
    });
  }

  #desire(
    { service, model, version, adapters, canaryObserveMs }: DesireStep,
  ): void {
    this.#world.desiredStates.set(service, {
      model,
      version,
      adapters,
      canaryObserveMs,
    });
    this.#world.writeTeamDocument();
  }

  #tellOfEndpoint(step: EndpointStep): void {
    const { endpoints } = this.#world.host(step.host).core;
    const { service, id } = this.#world.endpoint(step.endpoint);
    const serviceId = toServiceId(TEAM, service);
    const endpointId = asId<EndpointId>(id);
    if (step.do === "drain-endpoint") {
      endpoints.markDraining(serviceId, endpointId, "operator");
    } else {
      endpoints.markAvailable(serviceId, endpointId, "operator");
    }
  }

  #fault(step: FaultStep): void {
    applyFault(this.#world, step);
    if (step.fault !== "crash-host" && step.fault !== "restart-host") return;
    for (const [record, host] of this.#hostOf) {
      if (host === step.host && record.ends.length === 0) {
        record.isCutOff = true;
      }
    }
  }

  #expect(step: ExpectStep, number: number): void {
    if (step.request !== undefined) {
      this.#expectRequest(step, step.request, number);
    }
    if (step.app !== undefined) {
      const app = this.#world.app(step.app);
      const runs = step.body === undefined
        ? app.maxRunCount
        : app.runCountOf(step.body);
      this.#same(number, `${step.app} runs`, runs, step.runs);
    }
    if (step.engine !== undefined) {
      this.#expectEngine(step, step.engine, number);
    }
    if (step.host !== undefined) {
      const { core } = this.#world.host(step.host);
      this.#same(number, `${step.host} active`, core.activeCount, step.active);
      this.#same(number, `${step.host} isReady`, core.isReady, step.isReady);
      const { isLeaseHolder: isHolder } = core.rollouts;
      this.#same(
        number,
        `${step.host} gives orders`,
        isHolder,
        step.isOrderHolder,
      );
      this.#expectView(step, step.host, number);
    }
  }

  #expectEngine(step: ExpectStep, id: string, number: number): void {
    const engine = this.#world.engine(id);
    const { started, staleOrders } = engine.counters;
    this.#same(number, `${id} started`, started, step.started);
    this.#same(number, `${id} running`, engine.runningCount, step.running);
    this.#same(
      number,
      `${id} version`,
      engine.readState().version,
      step.version,
    );
    this.#same(number, `${id} stale orders`, staleOrders, step.staleOrders);
  }

  #expectView(step: ExpectStep, name: string, number: number): void {
    const { core, membership } = this.#world.host(name);
    const { length } = membership.members();
    this.#same(number, `${name} members`, length, step.members);
    if (step.class === undefined) return;
    const known = core.configuration.resolveClass(
      TEAM,
      [step.class],
      undefined,
    );
    const { maxWaitMs } = known?.config ?? {};
    this.#same(number, `${name} maxWaitMs`, maxWaitMs, step.maxWaitMs);
  }

  #expectRequest(step: ExpectStep, request: string, number: number): void {
    const record = this.#calls.get(request) ?? this.#generation(request);
    this.#same(number, `${request} outcome`, record.outcome, step.outcome);
    this.#same(number, `${request} reason`, record.reason, step.reason);
    if (record instanceof CallRecord) {
      this.#same(number, `${request} status`, record.status, step.status);
      return;
    }
    const { length } = record.tokens;
    this.#same(number, `${request} tokens`, length, step.tokens);
    if (length < (step.tokensAtLeast ?? 0)) {
      this.#fail(number, `${request} has ${length} tokens`);
    }
    const violation = record.findViolation();
    if (violation) this.#fail(number, `${request}: ${violation}`);
  }

  #same<T>(number: number, what: string, seen: T, wanted: T | undefined): void {
    if (wanted === undefined || seen === wanted) return;
    this.#fail(
      number,
      `${what}: saw ${String(seen)}, expected ${String(wanted)}`,
    );
  }

  #fail(step: number, detail: string): void {
    this.failures.push({ step, detail });
  }

  #generation(name: string): GenerationRecord {
    const record = this.#generations.get(name);
    if (!record) throw new Error(`there is no request ${name}`);
    return record;
  }

  #nextRequestId(): RequestId {
    return asId<RequestId>(`request-${this.#requests++}`);
  }
}
