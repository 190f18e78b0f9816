/**
 * Runs the steps of a scenario against a simulated deployment on a manual clock
 * and collects the expectations that failed.
 */

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
import { createCallRequest } from "./call_request.ts";
import { CallRecord, GenerationRecord } from "./caller_record.ts";
import { applyFault } from "./fault_injection.ts";
import type {
  CallStep,
  CancelStep,
  DesireStep,
  EndpointDrainStep,
  ExpectStep,
  FaultStep,
  GenerateStep,
  LeaveStep,
  ResumeStep,
  Scenario,
  Step,
} from "./scenario_schema.ts";

const TEAM = asId<Parameters<typeof toServiceId>[0]>(SIMULATION_TEAM);

/** An expectation of a scenario that failed. */
export interface ScenarioFailure {
  /** One-based number of the step. */
  readonly step: number;
  readonly detail: string;
}

/**
 * Runs a scenario.
 *
 * @param scenario - Validated scenario to run.
 * @returns The failed expectations; empty if the scenario passed.
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
  runner.checkInvariants(scenario.steps.length);
  return runner.failures;
}

class ScenarioRunner {
  readonly failures: ScenarioFailure[] = [];
  readonly #world: SimulatedDeployment;
  readonly #generations = new Map<string, GenerationRecord>();
  readonly #hostByRecord = new Map<GenerationRecord, string>();
  readonly #handles = new Map<GenerationRecord, GenerationHandle>();
  readonly #calls = new Map<string, CallRecord>();
  #requestCount = 0;

  constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  async run(step: Step, stepNumber: number): Promise<void> {
    switch (step.do) {
      case "generate":
        this.#generate(step);
        break;
      case "resume":
        this.#resume(step);
        break;
      case "leave":
        this.#disconnectCaller(step);
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
        this.#setDesiredState(step);
        break;
      case "fault":
        this.#fault(step);
        break;
      case "configure":
        this.#world.setClassLimit(step.class, step.maxWaitMs);
        break;
      case "drain-endpoint":
      case "return-endpoint":
        this.#setEndpointDrainState(step);
        break;
      case "expect":
        this.#expect(step, stepNumber);
        break;
      default:
        assertNever(step);
    }
    await this.#world.clock.advanceAsync(0);
  }

  /** Checks the invariants that apply to every response of any scenario. */
  checkInvariants(stepNumber: number): void {
    for (const [request, record] of this.#generations) {
      const violation = record.findViolation();
      if (violation) this.#fail(stepNumber, `${request}: ${violation}`);
    }
  }

  #generate(step: GenerateStep): void {
    const { core } = this.#world.host(step.host);
    const record = new GenerationRecord(step.workspace);
    this.#generations.set(step.as, record);
    this.#hostByRecord.set(record, step.host);
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
    const record = this.#getGeneration(step.of);
    const caller = step.workspace === undefined
      ? record
      : new GenerationRecord(step.workspace);
    if (caller !== record) {
      this.#generations.set(`${step.of}@${step.workspace}`, caller);
    }
    record.isDisconnected = false;
    if (record.outcome === "interrupted") record.results = [];
    this.#hostByRecord.set(caller, step.host);
    const { generations } = this.#world.host(step.host).core;
    const handle = generations.resume({
      requestId: this.#nextRequestId(),
      workspace: toWorkspaceId(TEAM, caller.workspace),
      id: record.id,
      fromOffset: record.tokens.length,
    }, caller);
    this.#handles.set(caller, handle);
  }

  #disconnectCaller(step: LeaveStep): void {
    const record = this.#getGeneration(step.of);
    record.isDisconnected = true;
    this.#handles.get(record)?.onCallerDisconnected();
  }

  #cancel(step: CancelStep): void {
    const { id, workspace } = this.#getGeneration(step.of);
    const { generations } = this.#world.host(step.host).core;
    void generations.cancel(toWorkspaceId(TEAM, workspace), id);
  }

  #call(step: CallStep): void {
    const record = new CallRecord();
    this.#calls.set(step.as, record);
    const { clock, core } = this.#world.host(step.host);
    const request = createCallRequest(core, this.#nextRequestId(), step);
    void core.calls.run(request).then((result) => {
      if (!clock.isKilled) record.result = result;
    });
  }

  #setDesiredState(
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

  #setEndpointDrainState(step: EndpointDrainStep): void {
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
    for (const [record, host] of this.#hostByRecord) {
      if (host === step.host && record.results.length === 0) {
        record.isDisconnected = true;
      }
    }
  }

  #expect(step: ExpectStep, stepNumber: number): void {
    if (step.request !== undefined) {
      this.#expectRequest(step, step.request, stepNumber);
    }
    if (step.app !== undefined) {
      const app = this.#world.app(step.app);
      const runCount = step.body === undefined
        ? app.maxRunCount
        : app.runCountOf(step.body);
      this.#expectEqual(stepNumber, `${step.app} runs`, runCount, step.runs);
    }
    if (step.engine !== undefined) {
      this.#expectEngine(step, step.engine, stepNumber);
    }
    if (step.host !== undefined) {
      const { core } = this.#world.host(step.host);
      this.#expectEqual(
        stepNumber,
        `${step.host} active`,
        core.activeCount,
        step.active,
      );
      this.#expectEqual(
        stepNumber,
        `${step.host} isReady`,
        core.isReady,
        step.isReady,
      );
      const { isLeaseHolder } = core.rollouts;
      this.#expectEqual(
        stepNumber,
        `${step.host} isOrderHolder`,
        isLeaseHolder,
        step.isOrderHolder,
      );
      this.#expectHostView(step, step.host, stepNumber);
    }
  }

  #expectEngine(step: ExpectStep, id: string, stepNumber: number): void {
    const engine = this.#world.engine(id);
    const { started, staleOrders } = engine.counters;
    this.#expectEqual(stepNumber, `${id} started`, started, step.started);
    this.#expectEqual(
      stepNumber,
      `${id} running`,
      engine.runningCount,
      step.running,
    );
    this.#expectEqual(
      stepNumber,
      `${id} version`,
      engine.readState().version,
      step.version,
    );
    this.#expectEqual(
      stepNumber,
      `${id} stale orders`,
      staleOrders,
      step.staleOrders,
    );
  }

  #expectHostView(step: ExpectStep, host: string, stepNumber: number): void {
    const { core, membership } = this.#world.host(host);
    const { length } = membership.members();
    this.#expectEqual(stepNumber, `${host} members`, length, step.members);
    if (step.class === undefined) return;
    const resolvedClass = core.configuration.resolveClass(
      TEAM,
      [step.class],
      undefined,
    );
    const { maxWaitMs } = resolvedClass?.config ?? {};
    this.#expectEqual(
      stepNumber,
      `${host} maxWaitMs`,
      maxWaitMs,
      step.maxWaitMs,
    );
  }

  #expectRequest(step: ExpectStep, request: string, stepNumber: number): void {
    const record = this.#calls.get(request) ?? this.#getGeneration(request);
    this.#expectEqual(
      stepNumber,
      `${request} outcome`,
      record.outcome,
      step.outcome,
    );
    this.#expectEqual(
      stepNumber,
      `${request} reason`,
      record.reason,
      step.reason,
    );
    if (record instanceof CallRecord) {
      this.#expectEqual(
        stepNumber,
        `${request} status`,
        record.status,
        step.status,
      );
      return;
    }
    const { length } = record.tokens;
    this.#expectEqual(stepNumber, `${request} tokens`, length, step.tokens);
    if (length < (step.tokensAtLeast ?? 0)) {
      this.#fail(stepNumber, `${request} has only ${length} tokens`);
    }
    const violation = record.findViolation();
    if (violation) this.#fail(stepNumber, `${request}: ${violation}`);
  }

  #expectEqual<T>(
    stepNumber: number,
    label: string,
    actual: T,
    expected: T | undefined,
  ): void {
    if (expected === undefined || actual === expected) return;
    this.#fail(
      stepNumber,
      `${label}: expected ${String(expected)}, got ${String(actual)}`,
    );
  }

  #fail(step: number, detail: string): void {
    this.failures.push({ step, detail });
  }

  #getGeneration(name: string): GenerationRecord {
    const record = this.#generations.get(name);
    if (!record) throw new Error(`unknown request ${name}`);
    return record;
  }

  #nextRequestId(): RequestId {
    return asId<RequestId>(`request-${this.#requestCount++}`);
  }
}
