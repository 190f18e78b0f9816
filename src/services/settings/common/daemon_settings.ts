/** Schema and defaults of the settings file of a daemon. */

import * as z from "zod";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import {
  addressSchema,
  listenAddressSchema,
  nameSchema,
} from "./shared_schemas.ts";

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

/** Source of a secret. The settings file never contains the secret itself. */
export const secretSourceSchema = z.union([
  z.strictObject({
    env: z.string().min(1).describe("Name of the environment variable"),
  }),
  z.strictObject({ file: z.string().min(1).describe("Path of the file") }),
], "must have either `env` (variable name) or `file` (path)");

/** Source of a secret. */
export type SecretSource = z.infer<typeof secretSourceSchema>;

const byteLimitSchema = z.number().int().positive().max(MAX_BODY_LIMIT_BYTES);
const durationMsSchema = z.number().int().positive();

const tlsFilesShape = {
  certFile: z.string().min(1).describe("PEM file with the certificate chain"),
  keyFile: z.string().min(1).describe(
    "PEM file with the private key of the certificate",
  ),
};

const tlsSchema = z.strictObject({
  callers: z.strictObject(tlsFilesShape).optional()
    .describe("Certificate of the listener for callers"),
  peers: z.strictObject({
    ...tlsFilesShape,
    caFile: z.string().min(1)
      .describe("PEM file with the CA certificate of all hosts"),
  }).optional().describe(
    "Certificate of this host, with its name as a subject name",
  ),
});

/** Schema of the settings file of a daemon. */
export const daemonSettingsSchema = z.strictObject({
  host: nameSchema.transform((text) => text as HostId)
    .describe("Name of this host, unique within the deployment"),
  zone: nameSchema.transform((text) => text as ZoneName)
    .describe("Availability zone of this host"),
  listen: z.strictObject({
    callers: listenAddressSchema.describe(
      "Address of the listener for callers",
    ),
    peers: listenAddressSchema.describe("Address of the listener for peers"),
    operators: listenAddressSchema.default(DEFAULT_OPERATOR_ADDRESS)
      .describe("Address of the operator port"),
  }).describe("Listen addresses of this daemon"),
  store: z.strictObject({
    addresses: z.array(addressSchema).min(1)
      .describe("Addresses of the key-value store"),
  }).describe("Key-value store of the platform"),
  hostList: z.strictObject({
    address: addressSchema.describe("Address of the host list service"),
  }).optional().describe(
    "Host list of the platform, with live and draining hosts",
  ),
  peers: z.array(z.strictObject({
    host: nameSchema.transform((text) => text as HostId)
      .describe("Host name of the peer"),
    zone: nameSchema.transform((text) => text as ZoneName)
      .describe("Availability zone of the peer"),
    address: addressSchema.describe("Address of the peer's listener for peers"),
  })).default([]).describe("Peers to connect to at startup"),
  secrets: z.strictObject({
    signingKeys: z.array(z.strictObject({
      id: nameSchema.describe("Id of the key, included in generation ids"),
      source: secretSourceSchema.describe("Source of the key"),
    })).min(1).describe(
      "Keys for generation ids; the first key signs, all keys verify",
    ),
    peer: secretSourceSchema.describe("Shared secret of all daemons"),
    operator: secretSourceSchema.describe(
      "Authentication key of the operator port",
    ),
  }).describe("Sources of secrets"),
  tls: tlsSchema.prefault({})
    .describe("Certificates; listeners without a certificate do not use TLS"),
  limits: z.strictObject({
    maxBodyBytes: byteLimitSchema.default(DEFAULT_MAX_BODY_BYTES)
      .describe("Maximum size of a request body, in bytes"),
    maxHeaderCount: z.number().int().positive()
      .default(DEFAULT_MAX_HEADER_COUNT)
      .describe("Maximum number of header lines of a request"),
    maxHeaderBytes: byteLimitSchema.default(DEFAULT_MAX_HEADER_BYTES)
      .describe("Maximum total size of the request headers, in bytes"),
    requestReadMs: durationMsSchema.default(DEFAULT_REQUEST_READ_MS)
      .describe("Timeout for receiving a complete request, in milliseconds"),
    resumeWindowMs: durationMsSchema.default(DEFAULT_RESUME_WINDOW_MS)
      .describe(
        "Time for which a generation continues after its caller disconnects, in milliseconds",
      ),
    keyKeepMs: durationMsSchema.min(MIN_KEY_RETENTION_MS).default(
      DEFAULT_KEY_RETENTION_MS,
    )
      .describe(
        "Retention time of idempotency keys in milliseconds; must be the same on all hosts",
      ),
    drainMs: durationMsSchema.default(DEFAULT_DRAIN_MS)
      .describe(
        "Time for which streams may continue after a stop request, in milliseconds",
      ),
  }).prefault({}).describe("Request limits and timeouts"),
  metrics: z.strictObject({
    statsd: addressSchema.optional().describe("Address of the StatsD agent"),
  }).prefault({}).describe("Metrics export"),
  log: z.strictObject({
    levels: z.array(z.enum(["info", "warn", "error"]))
      .default(["info", "warn", "error"])
      .describe("Log levels to write"),
  }).prefault({}).describe("Logging to standard error"),
});

/** Settings of one daemon. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
