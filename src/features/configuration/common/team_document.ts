/**
 * Schema of the document in which a team configures its workspaces, services,
 * classes and routes. The descriptions appear in the generated settings page.
 */

import * as z from "zod";
import {
  addressSchema,
  nameSchema,
} from "../../../services/settings/common/shared_schemas.ts";

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
    .describe("Adapters to load; all other adapters are unloaded"),
  canaryObserveMs: z.number().int().positive().default(30_000)
    .describe(
      "Time for which the first changed endpoint is observed before others are changed, in milliseconds",
    ),
});

const serviceSchema = z.strictObject({
  kind: z.enum(["engine", "app"]).describe("Model engine or app service"),
  favour: z.enum(["stall", "token-latency"]).default("stall")
    .describe(
      "Optimization goal when engine memory is short: few stalls or low token latency",
    ),
  desired: desiredSchema.optional()
    .describe(
      "Desired state of the engines; if omitted, no orders are sent",
    ),
  honoursFence: z.boolean().default(false)
    .describe(
      "Whether the engines reject orders with an outdated fencing token",
    ),
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
    .describe(
      "Weight of the workspace relative to other workspaces of the same class",
    ),
  tokensPerSecond: z.number().positive().optional()
    .describe("Maximum number of generated tokens per second"),
  maxConcurrent: z.number().int().positive().optional()
    .describe("Maximum number of concurrent requests"),
});

const classSchema = z.strictObject({
  priority: z.number().int().min(0).max(9)
    .describe("Priority of the class; 9 is the highest"),
  maxWaitMs: z.number().int().positive().optional()
    .describe("Maximum time to wait for an endpoint, in milliseconds"),
  starvationMs: z.number().int().positive().default(60_000)
    .describe(
      "Waiting time after which a request precedes those of higher classes, in milliseconds",
    ),
});

const generationRouteSchema = z.strictObject({
  kind: z.literal("generation").describe("Route for generations of a model"),
  model: z.string().min(1).max(200).describe(
    "Model name in the request of the caller",
  ),
  service: nameSchema.describe("Name of a service of kind engine"),
  classes: z.array(nameSchema).min(1)
    .describe("Classes that callers may request; the first one is the default"),
  maxTokens: z.number().int().positive().max(MAX_TOKENS_LIMIT)
    .default(DEFAULT_MAX_TOKENS).describe(
      "Maximum number of tokens in one answer",
    ),
});

const callRouteSchema = z.strictObject({
  kind: z.literal("call").describe("Route for calls to an app service"),
  prefix: z.string().regex(
    /^\/[A-Za-z0-9._~/-]+$/,
    "must start with / and contain only letters, digits and . _ ~ / -",
  )
    .describe("Path prefix that the route handles"),
  service: nameSchema.describe("Name of a service of kind app"),
  classes: z.array(nameSchema).min(1)
    .describe("Classes that callers may request; the first one is the default"),
  idempotentMethods: z.array(
    z.string().regex(/^[A-Z]+$/, "must be an HTTP method in upper case"),
  )
    .default(DEFAULT_IDEMPOTENT_METHODS)
    .describe("HTTP methods that may be retried"),
  timeoutMs: z.number().int().positive().default(DEFAULT_CALL_TIMEOUT_MS)
    .describe("Timeout for the complete answer, in milliseconds"),
  whenStoreDown: z.enum(["refuse", "run-unkeyed"]).default("refuse")
    .describe("How to handle a call whose idempotency key cannot be claimed"),
});

const routeSchema = z.discriminatedUnion("kind", [
  generationRouteSchema,
  callRouteSchema,
]);

/** Schema of a team's document, including checks of its internal references. */
export const teamDocumentSchema = z.strictObject({
  workspaces: z.record(nameSchema, workspaceSchema).default({})
    .describe("Workspaces by name"),
  services: z.record(nameSchema, serviceSchema).default({})
    .describe("Services by name"),
  classes: z.record(nameSchema, classSchema).default({})
    .describe("Classes of requests by name"),
  routes: z.array(routeSchema).default([])
    .describe("Routes from requests to services"),
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
        message: `must name a service of kind ${expectedKind} in this document`,
      });
    }
    route.classes.forEach((name, position) => {
      if (document.classes[name] !== undefined) return;
      context.addIssue({
        code: "custom",
        path: ["routes", index, "classes", position],
        message: "must name a class in this document",
      });
    });
  });
}

/** The parsed document of a team. */
export type TeamDocument = z.infer<typeof teamDocumentSchema>;

/** Configuration of a service. */
export type ServiceConfig = z.infer<typeof serviceSchema>;

/** Configuration of a workspace. */
export type WorkspaceConfig = z.infer<typeof workspaceSchema>;

/** Configuration of a service class. */
export type ClassConfig = z.infer<typeof classSchema>;

/** Route for generations of one model. */
export type GenerationRoute = z.infer<typeof generationRouteSchema>;

/** Route for calls to an app service. */
export type CallRoute = z.infer<typeof callRouteSchema>;
