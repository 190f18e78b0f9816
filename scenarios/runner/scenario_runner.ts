/** Runs a scenario on the manual clock and collects what did not hold. */

import { assertNever } from "../../src/base/common/errors.ts";
import {
  asId,
  type EndpointId,
  type RequestId,
} from "../../src/base/common/ids.ts";
import type { CallRequest } from "../../src/features/calls/common/call_service.ts";
import {
  serviceIdOf,
  workspaceIdOf,
} from "../../src/features/configuration/common/configuration.ts";
import type { IdempotencyKey } from "../../src/features/ledger/common/claim_ledger.ts";
import { World, WORLD_TEAM } from "../../standins/world/world.ts";
import { CallRecord, GenerationRecord } from "./caller_record.ts";
import { applyFault } from "./faults.ts";
import type {
  CallStep,
  EndpointStep,
  ExpectStep,
  FaultStep,
  GenerateStep,
  ResumeStep,
  Scenario,
  Step,
} from "./scenario_schema.ts";

const TEAM = asId<Parameters<typeof serviceIdOf>[0]>(WORLD_TEAM);

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
  const runner = new ScenarioRunner(await World.create(scenario.world));
  for (const [index, step] of scenario.steps.entries()) {
    await runner.run(step, index + 1);
  }
  runner.checkAlways(scenario.steps.length);
  return runner.failures;
}

class ScenarioRunner {
  readonly failures: ScenarioFailure[] = [];
  readonly #world: World;
  readonly #generations = new Map<string, GenerationRecord>();
  readonly #hostOf = new Map<GenerationRecord, string>();
  readonly #calls = new Map<string, CallRecord>();
  #requests = 0;

  constructor(world: World) {
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
      case "call":
        this.#call(step);
        break;
      case "wait":
        await this.#world.clock.advanceSettled(step.forMs);
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
    await this.#world.clock.advanceSettled(0);
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
    core.generations.start({
      requestId: this.#nextRequestId(),
      workspace: workspaceIdOf(TEAM, step.workspace),
      service: serviceIdOf(TEAM, step.service),
      className: step.class,
      model: step.service,
      prompt,
      maxTokens: Math.max(1, step.tokens),
      sizeBytes: prompt.length,
      maxWaitMs: step.maxWaitMs ??
        core.configuration.classOf(serviceIdOf(TEAM, step.service), step.class)
          ?.maxWaitMs,
      delivery: step.delivery,
    }, record);
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
    this.#hostOf.set(caller, step.host);
    this.#world.host(step.host).core.generations.resume({
      requestId: this.#nextRequestId(),
      workspace: workspaceIdOf(TEAM, caller.workspace),
      id: record.id,
      fromOffset: record.tokens.length,
    }, caller);
  }

  #call(step: CallStep): void {
    const { core } = this.#world.host(step.host);
    const record = new CallRecord();
    this.#calls.set(step.as, record);
    const path = `/${step.service}/${step.as}`;
    const route = core.configuration.findCall(TEAM, path);
    const known = core.configuration.findClass(TEAM, [step.class], undefined);
    if (!route || !known) throw new Error(`no route or class for ${step.as}`);
    const request: CallRequest = {
      requestId: this.#nextRequestId(),
      workspace: workspaceIdOf(TEAM, step.workspace),
      route,
      class: known,
      method: step.method,
      path: `/${step.service}/calls`,
      headers: [],
      body: Buffer.from(step.body),
      idempotencyKey: step.key === undefined
        ? undefined
        : asId<IdempotencyKey>(step.key),
      signal: new AbortController().signal,
    };
    const { clock } = this.#world.host(step.host);
    void core.calls.run(request).then((result) => {
      if (!clock.isKilled) record.result = result;
    });
  }

  #tellOfEndpoint(step: EndpointStep): void {
    const { endpoints } = this.#world.host(step.host).core;
    const { service, id } = this.#world.endpoint(step.endpoint);
    const serviceId = serviceIdOf(TEAM, service);
    const endpointId = asId<EndpointId>(id);
    if (step.do === "drain-endpoint") {
      endpoints.markLeaving(serviceId, endpointId, "operator");
    } else {
      endpoints.markReturned(serviceId, endpointId, "operator");
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
        ? app.mostRuns
        : app.runsOf(step.body);
      this.#same(number, `${step.app} runs`, runs, step.runs);
    }
    if (step.engine !== undefined) {
      const engine = this.#world.engine(step.engine);
      this.#same(
        number,
        `${step.engine} started`,
        engine.counts.started,
        step.started,
      );
      this.#same(
        number,
        `${step.engine} running`,
        engine.runningCount,
        step.running,
      );
    }
    if (step.host !== undefined) {
      const { core } = this.#world.host(step.host);
      this.#same(number, `${step.host} active`, core.activeCount, step.active);
      this.#same(number, `${step.host} isReady`, core.isReady, step.isReady);
      this.#expectView(step, step.host, number);
    }
  }

  #expectView(step: ExpectStep, name: string, number: number): void {
    const { core, membership } = this.#world.host(name);
    const { length } = membership.members();
    this.#same(number, `${name} members`, length, step.members);
    if (step.class === undefined) return;
    const known = core.configuration.findClass(TEAM, [step.class], undefined);
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
