/**
 * Steps of simulated schedules (requests, callers that move between hosts, and
 * faults) and the fast-check arbitraries that generate random schedules.
 */

import fc from "fast-check";
import { type FaultStep, stepSchema } from "../runner/scenario_schema.ts";

/** A step of a schedule. */
export type ScheduleStep =
  | {
    readonly kind: "generate";
    readonly host: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly delivery: "stream" | "whole";
    /** Whether it crashes its engine; per workspace all have one prompt. */
    readonly isPoison: boolean;
  }
  | {
    readonly kind: "call";
    readonly host: string;
    readonly workspace: string;
    /** Idempotency key; calls with the same key have the same body. */
    readonly key: string | undefined;
  }
  | { readonly kind: "leave"; readonly generation: number }
  | {
    readonly kind: "resume";
    readonly generation: number;
    readonly host: string;
    /** Whether the host detects the loss of the old connection later. */
    readonly isEarlierHalfOpen: boolean;
  }
  | {
    readonly kind: "cancel";
    readonly generation: number;
    readonly host: string;
  }
  | {
    readonly kind: "slow-caller";
    readonly generation: number;
    readonly isSlow: boolean;
  }
  | { readonly kind: "fault"; readonly fault: FaultStep };

/** A step and the delay in milliseconds before it. */
export interface TimedScheduleStep {
  readonly afterMs: number;
  readonly step: ScheduleStep;
}

/** Hosts of the simulated deployment. */
export const SIMULATION_HOSTS = ["zone-host-1", "zone-host-2"] as const;
/** Engines of the simulated deployment. */
export const SIMULATION_ENGINES = ["llm-zone-1", "llm-zone-2"] as const;
/** App endpoints of the simulated deployment. */
export const SIMULATION_APPS = ["app-zone-1", "app-zone-2"] as const;
/** Workspaces of the simulated deployment. */
export const SIMULATION_WORKSPACES = ["own", "other"] as const;

/** Creates a fault step and sets the defaults of the scenario schema. */
function createFaultStep(step: object): FaultStep {
  return stepSchema.parse({ do: "fault", ...step }) as FaultStep;
}

const engineFaults = SIMULATION_ENGINES.flatMap((engine) => [
  createFaultStep({ fault: "crash-engine", engine }),
  createFaultStep({ fault: "restart-engine", engine }),
  createFaultStep({ fault: "reclaim-engine", engine, noticeMs: 700 }),
  createFaultStep({ fault: "stall-engine", engine }),
  createFaultStep({ fault: "unstall-engine", engine }),
  createFaultStep({ fault: "silence-engine", engine }),
]);

const hostFaults = SIMULATION_HOSTS.flatMap((host) => [
  createFaultStep({ fault: "crash-host", host }),
  createFaultStep({ fault: "restart-host", host }),
  createFaultStep({ fault: "freeze-host", host }),
  createFaultStep({ fault: "thaw-host", host }),
  createFaultStep({ fault: "cut-store", host }),
  createFaultStep({ fault: "heal-store", host }),
  createFaultStep({
    fault: "cut-engine",
    from: host,
    to: SIMULATION_ENGINES[0],
  }),
]);

const otherFaults = [
  createFaultStep({ fault: "store-down" }),
  createFaultStep({ fault: "store-up" }),
  createFaultStep({ fault: "store-slow", delayMs: 800 }),
  createFaultStep({ fault: "store-lose-answers", count: 2 }),
  ...SIMULATION_APPS.flatMap((app) => [
    createFaultStep({ fault: "app-down", app }),
    createFaultStep({ fault: "app-up", app }),
    createFaultStep({ fault: "app-slow", app, delayMs: 1_500 }),
    createFaultStep({ fault: "app-lose-answers", app, count: 1 }),
  ]),
  createFaultStep({
    fault: "cut-hosts",
    from: SIMULATION_HOSTS[0],
    to: SIMULATION_HOSTS[1],
  }),
  createFaultStep({ fault: "heal-links" }),
];

/** All fault steps that a schedule can contain. */
export const SIMULATION_FAULTS: readonly FaultStep[] = [
  ...engineFaults,
  ...hostFaults,
  ...otherFaults,
];

const host = fc.constantFrom(...SIMULATION_HOSTS);
const workspace = fc.constantFrom(...SIMULATION_WORKSPACES);
const generation = fc.nat(5);

const stepArbitrary: fc.Arbitrary<ScheduleStep> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("generate" as const),
      host,
      workspace,
      tokens: fc.integer({ min: 1, max: 40 }),
      delivery: fc.constantFrom("stream" as const, "whole" as const),
      isPoison: fc.constantFrom(...Array<boolean>(9).fill(false), true),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("call" as const),
      host,
      workspace,
      key: fc.option(fc.constantFrom("k1", "k2"), { nil: undefined }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("leave" as const), generation }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("resume" as const),
      generation,
      host,
      isEarlierHalfOpen: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("cancel" as const),
      generation,
      host,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("slow-caller" as const),
      generation,
      isSlow: fc.boolean(),
    }),
  },
  {
    weight: 7,
    arbitrary: fc.record({
      kind: fc.constant("fault" as const),
      fault: fc.constantFrom(...SIMULATION_FAULTS),
    }),
  },
);

/** Generates schedules of 4 to 20 steps. */
export const scheduleArbitrary: fc.Arbitrary<TimedScheduleStep[]> = fc.array(
  fc.record({
    afterMs: fc.constantFrom(0, 1, 30, 200, 900, 2_500),
    step: stepArbitrary,
  }),
  { minLength: 4, maxLength: 20 },
);
