/** Steps of random schedules: requests, callers that move, and faults. */

import fc from "fast-check";
import { type FaultStep, stepSchema } from "../runner/scenario_schema.ts";

/** One step of a schedule. */
export type ModelStep =
  | {
    readonly kind: "generate";
    readonly host: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly delivery: "stream" | "whole";
    /** Crashes its engine; all of one workspace are the same request. */
    readonly isPoison: boolean;
  }
  | {
    readonly kind: "call";
    readonly host: string;
    readonly workspace: string;
    /** Calls with the same key have the same body. */
    readonly key: string | undefined;
  }
  | { readonly kind: "leave"; readonly generation: number }
  | {
    readonly kind: "resume";
    readonly generation: number;
    readonly host: string;
    /** Whether the earlier connection is noticed to be dead only later. */
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

/** A step and the time that passes before it. */
export interface TimedStep {
  readonly afterMs: number;
  readonly step: ModelStep;
}

/** Names of the world in which schedules run. */
export const MODEL_HOSTS = ["zone-host-1", "zone-host-2"] as const;
/** Engines of that world. */
export const MODEL_ENGINES = ["llm-zone-1", "llm-zone-2"] as const;
/** App services of that world. */
export const MODEL_APPS = ["app-zone-1", "app-zone-2"] as const;
/** Workspaces of that world. */
export const MODEL_WORKSPACES = ["own", "other"] as const;

/** Fills in what a scenario file may leave out. */
function fault(step: object): FaultStep {
  return stepSchema.parse({ do: "fault", ...step }) as FaultStep;
}

const engineFaults = MODEL_ENGINES.flatMap((engine) => [
  fault({ fault: "crash-engine", engine }),
  fault({ fault: "restart-engine", engine }),
  fault({ fault: "reclaim-engine", engine, noticeMs: 700 }),
  fault({ fault: "stall-engine", engine }),
  fault({ fault: "unstall-engine", engine }),
  fault({ fault: "silence-engine", engine }),
]);

const hostFaults = MODEL_HOSTS.flatMap((host) => [
  fault({ fault: "crash-host", host }),
  fault({ fault: "restart-host", host }),
  fault({ fault: "freeze-host", host }),
  fault({ fault: "thaw-host", host }),
  fault({ fault: "cut-store", host }),
  fault({ fault: "heal-store", host }),
  fault({ fault: "cut-engine", from: host, to: MODEL_ENGINES[0] }),
]);

const otherFaults = [
  fault({ fault: "store-down" }),
  fault({ fault: "store-up" }),
  fault({ fault: "store-slow", delayMs: 800 }),
  fault({ fault: "store-lose-answers", count: 2 }),
  ...MODEL_APPS.flatMap((app) => [
    fault({ fault: "app-down", app }),
    fault({ fault: "app-up", app }),
    fault({ fault: "app-slow", app, delayMs: 1_500 }),
    fault({ fault: "app-lose-answers", app, count: 1 }),
  ]),
  fault({ fault: "cut-hosts", from: MODEL_HOSTS[0], to: MODEL_HOSTS[1] }),
  fault({ fault: "heal-links" }),
];

/** All faults that a schedule may contain. */
export const MODEL_FAULTS: readonly FaultStep[] = [
  ...engineFaults,
  ...hostFaults,
  ...otherFaults,
];

const host = fc.constantFrom(...MODEL_HOSTS);
const workspace = fc.constantFrom(...MODEL_WORKSPACES);
const generation = fc.nat(5);

const stepArbitrary: fc.Arbitrary<ModelStep> = fc.oneof(
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
      fault: fc.constantFrom(...MODEL_FAULTS),
    }),
  },
);

/** Schedules of up to twenty steps. */
export const scheduleArbitrary: fc.Arbitrary<TimedStep[]> = fc.array(
  fc.record({
    afterMs: fc.constantFrom(0, 1, 30, 200, 900, 2_500),
    step: stepArbitrary,
  }),
  { minLength: 4, maxLength: 20 },
);
