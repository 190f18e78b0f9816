/** Defines the ledger's record of an idempotency key and its encoding. */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  AppResponse,
  HeaderLine,
} from "../../../services/endpoints/common/app_client.ts";
import type { ClaimOutcome } from "./claim_ledger.ts";

/** Largest response that is stored: its JSON form with the encoded body. */
export const MAX_STORED_RESPONSE_BYTES = 8_192;

/** Response of a completed call as stored in the ledger. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly bodyBase64: string;
}

/** State of the latest run with a key. */
export type ClaimState =
  /** The run may last until the wall-clock time `untilMs` in milliseconds. */
  | { readonly kind: "running"; readonly untilMs: number }
  /** The run completed; its response is absent if it was not stored. */
  | { readonly kind: "done"; readonly answer?: StoredResponse | undefined }
  /** The run may have taken effect, but its response was not recorded. */
  | { readonly kind: "unknown" }
  /** The claim with this nonce was not run and can never be granted again. */
  | { readonly kind: "free" };

/** Complete state of one key; a later record of the key replaces it. */
export interface ClaimRecord {
  /** Hash of the workspace and the idempotency key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly nonce: string;
  /** Host that runs the call. */
  readonly host: string;
  /** Wall-clock time in milliseconds at which the record was created. */
  readonly atMs: number;
  readonly state: ClaimState;
}

/**
 * Converts the outcome of a run to the state to store.
 *
 * @param outcome - Outcome of the run.
 * @returns The state; a response over the size limit is omitted.
 */
export function toClaimState(outcome: ClaimOutcome): ClaimState {
  switch (outcome.kind) {
    case "done":
      return { kind: "done", answer: toStoredResponse(outcome.response) };
    case "unknown":
      return { kind: "unknown" };
    case "not-run":
      return { kind: "free" };
    default:
      return assertNever(outcome);
  }
}

function toStoredResponse(response: AppResponse): StoredResponse | undefined {
  if (response.body.byteLength > MAX_STORED_RESPONSE_BYTES) return undefined;
  const stored = {
    status: response.status,
    headers: response.headers,
    bodyBase64: Buffer.from(response.body).toString("base64"),
  };
  const sizeBytes = Buffer.byteLength(JSON.stringify(stored));
  return sizeBytes > MAX_STORED_RESPONSE_BYTES ? undefined : stored;
}

/**
 * Converts a stored response back to a response of an app service.
 *
 * @param stored - Response from the ledger.
 * @returns The response as returned by the service.
 */
export function toAppResponse(stored: StoredResponse): AppResponse {
  return {
    status: stored.status,
    headers: stored.headers,
    body: Buffer.from(stored.bodyBase64, "base64"),
  };
}

/**
 * Record as encoded in the store. The field names are short because each commit
 * rewrites all records in the head of a shard.
 */
interface EncodedRecord {
  readonly k: string;
  readonly f: string;
  readonly n: string;
  readonly h: string;
  readonly t: number;
  readonly s: ClaimState["kind"];
  readonly u?: number;
  readonly a?: StoredResponse;
}

/**
 * Encodes a record for the store.
 *
 * @param record - Record to encode.
 * @returns The record as JSON.
 */
export function encodeRecord(record: ClaimRecord): string {
  const { key, fingerprint, nonce, host, atMs, state } = record;
  const wire: EncodedRecord = {
    k: key,
    f: fingerprint,
    n: nonce,
    h: host,
    t: atMs,
    s: state.kind,
    ...(state.kind === "running" ? { u: state.untilMs } : {}),
    ...(state.kind === "done" && state.answer ? { a: state.answer } : {}),
  };
  return JSON.stringify(wire);
}

/**
 * Decodes a record from the store.
 *
 * @param parsed - Parsed JSON of the record.
 * @returns The record.
 */
export function decodeRecord(parsed: unknown): ClaimRecord {
  const { k, f, n, h, t, s, u, a } = parsed as EncodedRecord;
  return {
    key: k,
    fingerprint: f,
    nonce: n,
    host: h,
    atMs: t,
    state: decodeState(s, u, a),
  };
}

function decodeState(
  kind: ClaimState["kind"],
  untilMs: number | undefined,
  answer: StoredResponse | undefined,
): ClaimState {
  switch (kind) {
    case "running":
      return { kind, untilMs: untilMs ?? 0 };
    case "done":
      return { kind, answer };
    case "unknown":
    case "free":
      return { kind };
    default:
      return assertNever(kind);
  }
}
