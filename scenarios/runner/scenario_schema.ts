/**
 * Schema of scenario files: the simulated deployment of a scenario and the
 * steps that run against it.
 */

import * as z from "zod";

const nameSchema = z.string().min(1);
const durationMsSchema = z.number().int().nonnegative();
const countSchema = z.number().int().nonnegative();

const worldSchema = z.strictObject({
  zones: z.record(nameSchema, z.strictObject({ hosts: countSchema })),
  services: z.record(
    nameSchema,
    z.strictObject({
      kind: z.enum(["engine", "app"]),
      favour: z.enum(["stall", "token-latency"]).optional(),
      replicas: z.record(nameSchema, countSchema),
      whenStoreDown: z.enum(["refuse", "run-unkeyed"]).optional(),
      engine: z.strictObject({
        memoryTokens: countSchema.exactOptional(),
        maxRunning: countSchema.exactOptional(),
        baseStepMs: z.number().positive().exactOptional(),
        loadLagMs: durationMsSchema.exactOptional(),
        keepEndedMs: durationMsSchema.exactOptional(),
        honoursFence: z.boolean().exactOptional(),
        badVersion: z.string().exactOptional(),
      }).optional(),
    }),
  ),
  workspaces: z.array(nameSchema),
  classes: z.record(
    nameSchema,
    z.strictObject({
      priority: z.number().int(),
      maxWaitMs: durationMsSchema.optional(),
      starvationMs: durationMsSchema.optional(),
    }),
  ),
  resumeWindowMs: durationMsSchema.optional(),
});

/** Starts a generation. */
const generateSchema = z.strictObject({
  do: z.literal("generate"),
  as: nameSchema,
  host: nameSchema,
  workspace: nameSchema,
  service: nameSchema,
  class: nameSchema,
  tokens: countSchema,
  prompt: z.string().default(""),
  maxWaitMs: durationMsSchema.optional(),
  delivery: z.enum(["stream", "whole"]).default("stream"),
});

/** Resumes a generation after the last token that its caller received. */
const resumeSchema = z.strictObject({
  do: z.literal("resume"),
  of: nameSchema,
  host: nameSchema,
  /** Workspace that resumes it, if not the one that started it. */
  workspace: nameSchema.optional(),
});

/** Disconnects the caller of a generation. */
const leaveSchema = z.strictObject({ do: z.literal("leave"), of: nameSchema });

/** Cancels a generation through a given host. */
const cancelSchema = z.strictObject({
  do: z.literal("cancel"),
  of: nameSchema,
  host: nameSchema,
});

/** Sends a plain call. */
const callSchema = z.strictObject({
  do: z.literal("call"),
  as: nameSchema,
  host: nameSchema,
  workspace: nameSchema,
  service: nameSchema,
  class: nameSchema,
  method: z.string().default("POST"),
  body: z.string(),
  key: z.string().optional(),
});

/** Changes the model, version and adapters that a service should run. */
const desireSchema = z.strictObject({
  do: z.literal("desire"),
  service: nameSchema,
  model: nameSchema,
  version: nameSchema,
  adapters: z.array(nameSchema).default([]),
  canaryObserveMs: durationMsSchema.default(5_000),
});

/** Advances the manual clock. */
const waitSchema = z.strictObject({
  do: z.literal("wait"),
  forMs: durationMsSchema,
});

const engineFaultSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum([
    "crash-engine",
    "restart-engine",
    "reclaim-engine",
    "stall-engine",
    "unstall-engine",
    "silence-engine",
  ]),
  engine: nameSchema,
  noticeMs: durationMsSchema.default(0),
});

const hostFaultSchema = z.strictObject({
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
  host: nameSchema,
  delayMs: durationMsSchema.default(0),
});

const storeFaultSchema = z.strictObject({
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
  delayMs: durationMsSchema.default(0),
  count: countSchema.default(1),
});

const appFaultSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["app-down", "app-up", "app-slow", "app-lose-answers"]),
  app: nameSchema,
  delayMs: durationMsSchema.default(0),
  count: countSchema.default(1),
});

const zoneFaultSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["cut-zone", "heal-zone"]),
  zone: nameSchema,
});

const hostListFaultSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.literal("list-endpoint"),
  endpoint: nameSchema,
  state: z.enum(["live", "leaving"]),
  delayMs: durationMsSchema.default(0),
});

const linkFaultSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.enum(["cut-hosts", "cut-engine"]),
  from: nameSchema,
  to: nameSchema,
});

const healLinksSchema = z.strictObject({
  do: z.literal("fault"),
  fault: z.literal("heal-links"),
});

const faultSchema = z.discriminatedUnion("fault", [
  engineFaultSchema,
  hostFaultSchema,
  storeFaultSchema,
  appFaultSchema,
  zoneFaultSchema,
  hostListFaultSchema,
  linkFaultSchema,
  healLinksSchema,
]);

/** Writes the team document with another maximum wait for a class. */
const configureSchema = z.strictObject({
  do: z.literal("configure"),
  class: nameSchema,
  maxWaitMs: durationMsSchema,
});

/** Drains an endpoint or returns it to service, as an operator would. */
const endpointDrainSchema = z.strictObject({
  do: z.enum(["drain-endpoint", "return-endpoint"]),
  host: nameSchema,
  endpoint: nameSchema,
});

/** Checks the state at this point of the scenario. */
const expectSchema = z.strictObject({
  do: z.literal("expect"),
  request: nameSchema.optional(),
  outcome: z.enum(["completed", "not-run", "interrupted", "unknown", "none"])
    .optional(),
  reason: nameSchema.optional(),
  tokens: countSchema.optional(),
  tokensAtLeast: countSchema.optional(),
  status: countSchema.optional(),
  app: nameSchema.optional(),
  body: z.string().optional(),
  runs: countSchema.optional(),
  engine: nameSchema.optional(),
  started: countSchema.optional(),
  running: countSchema.optional(),
  version: z.string().optional(),
  staleOrders: countSchema.optional(),
  host: nameSchema.optional(),
  active: countSchema.optional(),
  isReady: z.boolean().optional(),
  isOrderHolder: z.boolean().optional(),
  /** Number of members in the membership view of the host. */
  members: countSchema.optional(),
  /** Maximum wait of the class `class` in the configuration of the host. */
  maxWaitMs: durationMsSchema.optional(),
  class: nameSchema.optional(),
});

/** Schema of a step. */
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
  endpointDrainSchema,
  expectSchema,
]);

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: nameSchema,
  /** Sentence of the requirements that the scenario verifies. */
  proves: z.string(),
  world: worldSchema,
  steps: z.array(stepSchema).min(1),
});

/** A validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** A step of a scenario. */
export type Step = z.infer<typeof stepSchema>;
/** A step that starts a generation. */
export type GenerateStep = z.infer<typeof generateSchema>;
/** A step that resumes a generation. */
export type ResumeStep = z.infer<typeof resumeSchema>;
/** A step that disconnects the caller of a generation. */
export type LeaveStep = z.infer<typeof leaveSchema>;
/** A step that cancels a generation. */
export type CancelStep = z.infer<typeof cancelSchema>;
/** A step that sends a plain call. */
export type CallStep = z.infer<typeof callSchema>;
/** A step that changes the desired state of a service. */
export type DesireStep = z.infer<typeof desireSchema>;
/** A step that injects or clears a fault. */
export type FaultStep = z.infer<typeof faultSchema>;
/** A step that checks expectations. */
export type ExpectStep = z.infer<typeof expectSchema>;
/** A step that drains an endpoint or returns it to service. */
export type EndpointDrainStep = z.infer<typeof endpointDrainSchema>;
