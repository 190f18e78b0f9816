/** Settings of one daemon. */

import * as z from "zod";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import { addressSchema, nameSchema } from "./shared_schemas.ts";

const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const DEFAULT_MAX_HEADER_COUNT = 100;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_REQUEST_READ_MS = 15_000;
const DEFAULT_RESUME_WINDOW_MS = 30_000;
const DEFAULT_OPERATOR_ADDRESS = "127.0.0.1:9642" as Address;
const DEFAULT_DRAIN_MS = 600_000;
const DEFAULT_KEY_RETENTION_MS = 3_600_000;
const MIN_KEY_RETENTION_MS = 300_000;
const MAX_BODY_LIMIT_BYTES = 67_108_864;

/** Where a secret is read from; it never stands in the settings themselves. */
export const secretSourceSchema = z.union([
  z.strictObject({
    env: z.string().min(1).describe("Name of an environment variable"),
  }),
  z.strictObject({ file: z.string().min(1).describe("Path of a file") }),
], "must have either `env` (a variable's name) or `file` (a path)");

/** Where a secret is read from. */
export type SecretSource = z.infer<typeof secretSourceSchema>;

const byteLimitSchema = z.number().int().positive().max(MAX_BODY_LIMIT_BYTES);
const durationMsSchema = z.number().int().positive();

const tlsFilesShape = {
  certFile: z.string().min(1).describe("Certificate chain, a PEM file"),
  keyFile: z.string().min(1).describe("Its private key, a PEM file"),
};

const tlsSchema = z.strictObject({
  callers: z.strictObject(tlsFilesShape).optional()
    .describe("Certificate of the listener for callers"),
  peers: z.strictObject({
    ...tlsFilesShape,
    caFile: z.string().min(1)
      .describe("Authority of all hosts' certificates, a PEM file"),
  }).optional().describe("Certificate of this host, which must name it"),
});

/** Schema of the settings file. */
export const daemonSettingsSchema = z.strictObject({
  host: nameSchema.transform((text) => text as HostId)
    .describe("Name of this host, unique in the deployment"),
  zone: nameSchema.transform((text) => text as ZoneName)
    .describe("Availability zone of this host"),
  listen: z.strictObject({
    callers: addressSchema.describe("Address for callers"),
    peers: addressSchema.describe("Address for the other daemons"),
    operators: addressSchema.default(DEFAULT_OPERATOR_ADDRESS)
      .describe("Address of the operator port"),
  }).describe("Where this daemon listens"),
  store: z.strictObject({
    addresses: z.array(addressSchema).min(1)
      .describe("Addresses of the platform's key-value service"),
  }).describe("The platform's key-value service"),
  hostList: z.strictObject({
    address: addressSchema.describe("Address of the platform's host list"),
  }).optional().describe("The platform's list of live and leaving hosts"),
  peers: z.array(z.strictObject({
    host: nameSchema.transform((text) => text as HostId)
      .describe("Name of the other host"),
    zone: nameSchema.transform((text) => text as ZoneName)
      .describe("Its availability zone"),
    address: addressSchema.describe("Its address for daemons"),
  })).default([]).describe("Daemons that are known from the start"),
  secrets: z.strictObject({
    signingKeys: z.array(z.strictObject({
      id: nameSchema.describe("Id of the key, kept in each generation id"),
      source: secretSourceSchema.describe("Where the key is read from"),
    })).min(1).describe("Keys that sign generation ids; the first one signs"),
    peer: secretSourceSchema.describe("Secret that the daemons share"),
    operator: secretSourceSchema.describe("Key of the operator port"),
  }).describe("Where secrets are read from"),
  tls: tlsSchema.prefault({})
    .describe("Certificates; a listener without one uses no TLS"),
  limits: z.strictObject({
    maxBodyBytes: byteLimitSchema.default(DEFAULT_MAX_BODY_BYTES)
      .describe("Largest body of a request"),
    maxHeaderCount: z.number().int().positive()
      .default(DEFAULT_MAX_HEADER_COUNT)
      .describe("Most header lines of a request"),
    maxHeaderBytes: byteLimitSchema.default(DEFAULT_MAX_HEADER_BYTES)
      .describe("Most bytes of all header lines"),
    requestReadMs: durationMsSchema.default(DEFAULT_REQUEST_READ_MS)
      .describe("Time within which a request must have arrived whole"),
    resumeWindowMs: durationMsSchema.default(DEFAULT_RESUME_WINDOW_MS)
      .describe("How long a generation goes on without its caller"),
    keyKeepMs: durationMsSchema.min(MIN_KEY_RETENTION_MS).default(
      DEFAULT_KEY_RETENTION_MS,
    )
      .describe("How long idempotency keys are known; the same at all hosts"),
    drainMs: durationMsSchema.default(DEFAULT_DRAIN_MS)
      .describe("How long streams may run on after a stop was asked for"),
  }).prefault({}).describe("Limits on requests and times"),
  metrics: z.strictObject({
    statsd: addressSchema.optional().describe("Address of the StatsD agent"),
  }).prefault({}).describe("Where measurements are sent"),
  log: z.strictObject({
    levels: z.array(z.enum(["info", "warn", "error"]))
      .default(["info", "warn", "error"])
      .describe("Levels that are written"),
  }).prefault({}).describe("Logs on standard error"),
});

/** Settings of one daemon. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
