/** The test language: what a scenario file may say. */

import * as z from "zod";

const name = z.string().min(1);
const durationMs = z.number().int().nonnegative();
const count = z.number().int().nonnegative();

const worldSchema = z.strictObject({
  zones: z.record(name, z.strictObject({ hosts: count })),
  services: z.record(
    name,
    z.strictObject({
      kind: z.enum(["engine", "app"]),
      favour: z.enum(["stall", "token-latency"]).optional(),
      replicas: z.record(name, count),
      whenStoreDown: z.enum(["refuse", "run-unkeyed"]).optional(),
      engine: z.strictObject({
        memoryTokens: count.exactOptional(),
        maxRunning: count.exactOptional(),
        baseStepMs: z.number().positive().exactOptional(),
        loadLagMs: durationMs.exactOptional(),
        keepEndedMs: durationMs.exactOptional(),
        honoursFence: z.boolean().exactOptional(),
        badVersion: z.string().exactOptional(),
      }).optional(),
    }),
  ),
  workspaces: z.array(name),
  classes: z.record(
    name,
    z.strictObject({
      priority: z.number().int(),
      maxWaitMs: durationMs.optional(),
      starvationMs: durationMs.optional(),
    }),
  ),
  resumeWindowMs: durationMs.optional(),
});

/** Starts a generation. */
const generateSchema = z.strictObject({
  do: z.literal("generate"),
  as: name,
  host: name,
  workspace: name,
  service: name,
  class: name,
  tokens: count,
  prompt: z.string().default(""),
  maxWaitMs: durationMs.optional(),
  delivery: z.enum(["stream", "whole"]).default("stream"),
});

/** Goes on with a generation after the last token that its caller has. */
const resumeSchema = z.strictObject({
  do: z.literal("resume"),
  of: name,
  host: name,
  /** Another workspace than the one that started it. */
  workspace: name.optional(),
});

/** The caller of a generation goes away. */
const leaveSchema = z.strictObject({ do: z.literal("leave"), of: name });

/** Cancels a generation through any host. */
const cancelSchema = z.strictObject({
  do: z.literal("cancel"),
  of: name,
  host: name,
});

/** Sends a plain call. */
const callSchema = z.strictObject({
  do: z.literal("call"),
  as: name,
  host: name,
  workspace: name,
  service: name,
  class: name,
  method: z.string().default("POST"),
  body: z.string(),
  key: z.string().optional(),
});

/** Changes what the engines of a service are to have loaded. */
const desireSchema = z.strictObject({
  do: z.literal("desire"),
  service: name,
  model: name,
  version: name,
  adapters: z.array(name).default([]),
  canaryObserveMs: durationMs.default(5_000),
});

/** Lets time pass. */
const waitSchema = z.strictObject({ do: z.literal("wait"), forMs: durationMs });

const engineFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum([
    "crash-engine",
    "restart-engine",
    "reclaim-engine",
    "stall-engine",
    "unstall-engine",
    "silence-engine",
  ]),
  engine: name,
  noticeMs: durationMs.default(0),
});

const hostFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum([
    "crash-host",
    "restart-host",
    "drain-host",
    "freeze-host",
    "thaw-host",
    "cut-store",
    "heal-store",
    "slow-engine-links",
  ]),
  host: name,
  delayMs: durationMs.default(0),
});

const storeFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum([
    "store-down",
    "store-up",
    "store-slow",
    "store-lose-answers",
    "store-compact",
    "store-limit-writes",
    "store-snapshot",
    "store-fail-over",
  ]),
  delayMs: durationMs.default(0),
  count: count.default(1),
});

const appFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["app-down", "app-up", "app-slow", "app-lose-answers"]),
  app: name,
  delayMs: durationMs.default(0),
  count: count.default(1),
});

const zoneFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["cut-zone", "heal-zone"]),
  zone: name,
});

const listFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.literal("list-endpoint"),
  endpoint: name,
  state: z.enum(["live", "leaving"]),
  delayMs: durationMs.default(0),
});

const cutFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["cut-hosts", "cut-engine"]),
  from: name,
  to: name,
});

const healFault = z.strictObject({
  do: z.literal("fault"),
  fault: z.literal("heal-links"),
});

const faultSchema = z.discriminatedUnion("fault", [
  engineFault,
  hostFault,
  storeFault,
  appFault,
  zoneFault,
  listFault,
  cutFault,
  healFault,
]);

/** Writes the team's document with another limit for a class. */
const configureSchema = z.strictObject({
  do: z.literal("configure"),
  class: name,
  maxWaitMs: durationMs,
});

/** Gives an operator's word on an endpoint. */
const endpointSchema = z.strictObject({
  do: z.enum(["drain-endpoint", "return-endpoint"]),
  host: name,
  endpoint: name,
});

/** Says what must have been seen by now. */
const expectSchema = z.strictObject({
  do: z.literal("expect"),
  request: name.optional(),
  outcome: z.enum(["completed", "not-run", "interrupted", "unknown", "none"])
    .optional(),
  reason: name.optional(),
  tokens: count.optional(),
  tokensAtLeast: count.optional(),
  status: count.optional(),
  app: name.optional(),
  body: z.string().optional(),
  runs: count.optional(),
  engine: name.optional(),
  started: count.optional(),
  running: count.optional(),
  version: z.string().optional(),
  staleOrders: count.optional(),
  host: name.optional(),
  active: count.optional(),
  isReady: z.boolean().optional(),
  isOrderHolder: z.boolean().optional(),
  /** Number of members that the host sees. */
  members: count.optional(),
  /** Limit of the class `class` that is in force at the host. */
  maxWaitMs: durationMs.optional(),
  class: name.optional(),
});

/** Schema of one step. */
export const stepSchema = z.union([
  generateSchema,
  resumeSchema,
  leaveSchema,
  cancelSchema,
  callSchema,
  waitSchema,
  desireSchema,
  faultSchema,
  configureSchema,
  endpointSchema,
  expectSchema,
]);

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name,
  /** Sentence of the brief that the scenario proves. */
  proves: z.string(),
  world: worldSchema,
  steps: z.array(stepSchema).min(1),
});

/** A scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One step of a scenario. */
export type Step = z.infer<typeof stepSchema>;
/** A step that starts a generation. */
export type GenerateStep = z.infer<typeof generateSchema>;
/** A step that resumes a generation. */
export type ResumeStep = z.infer<typeof resumeSchema>;
/** A step in which a caller goes away. */
export type LeaveStep = z.infer<typeof leaveSchema>;
/** A step that cancels a generation. */
export type CancelStep = z.infer<typeof cancelSchema>;
/** A step that sends a call. */
export type CallStep = z.infer<typeof callSchema>;
/** A step that changes a desired state. */
export type DesireStep = z.infer<typeof desireSchema>;
/** A step that changes a fault. */
export type FaultStep = z.infer<typeof faultSchema>;
/** A step that checks. */
export type ExpectStep = z.infer<typeof expectSchema>;
/** A step that gives an operator's word on an endpoint. */
export type EndpointStep = z.infer<typeof endpointSchema>;
