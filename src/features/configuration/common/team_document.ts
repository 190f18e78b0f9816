/** The document in which a team sets its workspaces, services and routes. */

import * as z from "zod";
import {
  addressSchema,
  nameSchema,
} from "../../../services/settings/common/schema_parts.ts";

const API_KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const MAX_TOKENS_LIMIT = 1_000_000;
const DEFAULT_MAX_TOKENS = 32_000;
const DEFAULT_CALL_TIMEOUT_MS = 30_000;
const DEFAULT_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];

const endpointSchema = z.strictObject({
  id: nameSchema.describe("Name of the endpoint within its service"),
  address: addressSchema.describe("Address of the endpoint"),
  zone: nameSchema.describe("Availability zone of the endpoint"),
});

const desiredSchema = z.strictObject({
  model: z.string().min(1).max(200).describe("Model to load"),
  version: z.string().min(1).max(200).describe("Version of the model"),
  adapters: z.array(z.string().min(1).max(200)).default([])
    .describe("Adapters to load, and no others"),
  canaryObserveMs: z.number().int().positive().default(30_000)
    .describe("How long the first changed endpoint is watched alone"),
});

const serviceSchema = z.strictObject({
  kind: z.enum(["engine", "app"]).describe("Model engine or plain service"),
  favour: z.enum(["stall", "token-latency"]).default("stall")
    .describe("What weighs more when memory is short"),
  desired: desiredSchema.optional()
    .describe(
      "What the engines are to have loaded; left out, no orders are given",
    ),
  honoursFence: z.boolean().default(false)
    .describe("Whether the engines refuse orders with an old fencing number"),
  endpoints: z.array(endpointSchema).default([])
    .describe("Replicas of the service"),
});

const workspaceSchema = z.strictObject({
  apiKeyHashes: z.array(
    z.string().regex(
      API_KEY_HASH_PATTERN,
      "must be 64 hexadecimal digits (SHA-256)",
    ),
  ).describe("SHA-256 of each API key, in hexadecimal"),
  share: z.number().positive().default(1)
    .describe("Weight among the workspaces of a class"),
  tokensPerSecond: z.number().positive().optional()
    .describe("Limit of generated tokens a second"),
  maxConcurrent: z.number().int().positive().optional()
    .describe("Limit of requests at one time"),
});

const classSchema = z.strictObject({
  priority: z.number().int().min(0).max(9)
    .describe("Order of the class, 9 first"),
  maxWaitMs: z.number().int().positive().optional()
    .describe("Longest useful wait for an endpoint"),
  starvationMs: z.number().int().positive().default(60_000)
    .describe("Wait after which a request goes before higher classes"),
});

const generationRouteSchema = z.strictObject({
  kind: z.literal("generation").describe("A route to a model"),
  model: z.string().min(1).max(200).describe("Model name that callers send"),
  service: nameSchema.describe("Service of kind engine"),
  classes: z.array(nameSchema).min(1)
    .describe("Classes that callers may ask for; the first one is the default"),
  maxTokens: z.number().int().positive().max(MAX_TOKENS_LIMIT)
    .default(DEFAULT_MAX_TOKENS).describe("Most tokens of one answer"),
});

const callRouteSchema = z.strictObject({
  kind: z.literal("call").describe("A route to an app service"),
  prefix: z.string().regex(
    /^\/[A-Za-z0-9._~/-]+$/,
    "must start with / and be a plain path",
  )
    .describe("Start of the path"),
  service: nameSchema.describe("Service of kind app"),
  classes: z.array(nameSchema).min(1)
    .describe("Classes that callers may ask for; the first one is the default"),
  idempotentMethods: z.array(
    z.string().regex(/^[A-Z]+$/, "must be a method in capitals"),
  )
    .default(DEFAULT_IDEMPOTENT_METHODS)
    .describe("Methods that may be sent again"),
  timeoutMs: z.number().int().positive().default(DEFAULT_CALL_TIMEOUT_MS)
    .describe("Limit for the whole answer"),
  whenStoreDown: z.enum(["refuse", "run-unkeyed"]).default("refuse")
    .describe("What becomes of a keyed call that cannot claim its key"),
});

const routeSchema = z.discriminatedUnion("kind", [
  generationRouteSchema,
  callRouteSchema,
]);

/** Schema of a team's document. */
export const teamDocumentSchema = z.strictObject({
  workspaces: z.record(nameSchema, workspaceSchema).default({})
    .describe("Workspaces by name"),
  services: z.record(nameSchema, serviceSchema).default({})
    .describe("Services by name"),
  classes: z.record(nameSchema, classSchema).default({})
    .describe("Classes of requests by name"),
  routes: z.array(routeSchema).default([])
    .describe("Which requests go to which service"),
}).superRefine(validateReferences);

interface DocumentReferences {
  readonly services: Readonly<Record<string, { readonly kind: string }>>;
  readonly classes: Readonly<Record<string, unknown>>;
  readonly routes: readonly {
    readonly kind: string;
    readonly service: string;
    readonly classes: readonly string[];
  }[];
}

function validateReferences(
  document: DocumentReferences,
  context: z.RefinementCtx,
): void {
  document.routes.forEach((route, index) => {
    const expectedKind = route.kind === "generation" ? "engine" : "app";
    if (document.services[route.service]?.kind !== expectedKind) {
      context.addIssue({
        code: "custom",
        path: ["routes", index, "service"],
        message: `must name a service of kind ${expectedKind} of this document`,
      });
    }
    route.classes.forEach((name, position) => {
      if (document.classes[name] !== undefined) return;
      context.addIssue({
        code: "custom",
        path: ["routes", index, "classes", position],
        message: "must name a class of this document",
      });
    });
  });
}

/** A team's document. */
export type TeamDocument = z.infer<typeof teamDocumentSchema>;

/** A service of a team. */
export type ServiceConfig = z.infer<typeof serviceSchema>;

/** A workspace of a team. */
export type WorkspaceConfig = z.infer<typeof workspaceSchema>;

/** A class of requests. */
export type ClassConfig = z.infer<typeof classSchema>;

/** A route to a model. */
export type GenerationRoute = z.infer<typeof generationRouteSchema>;

/** A route to an app service. */
export type CallRoute = z.infer<typeof callRouteSchema>;
