/** What the ledger keeps of one idempotency key, and its form in the store. */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  AppResponse,
  HeaderLine,
} from "../../../services/endpoints/common/app_client.ts";
import type { ClaimOutcome } from "./claim_ledger.ts";

/** Largest answer that is kept, headers and encoded body together. */
export const MAX_STORED_RESPONSE_BYTES = 8_192;

/** An answer as it is kept. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly bodyBase64: string;
}

/** What is known of the run under a key. */
export type ClaimState =
  /** The run may last until `untilMs` on the wall clock. */
  | { readonly kind: "running"; readonly untilMs: number }
  /** The run ended with an answer, which is absent when it was too large. */
  | { readonly kind: "done"; readonly answer?: StoredResponse | undefined }
  /** The run may have taken effect; nobody has its answer. */
  | { readonly kind: "unknown" }
  /** Nothing ran under this nonce, and nothing ever will. */
  | { readonly kind: "free" };

/** The whole state of one key; a later record of the key replaces it. */
export interface ClaimRecord {
  /** Hash of workspace and key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly nonce: string;
  /** Host that runs the call. */
  readonly host: string;
  /** Wall-clock time of this record in milliseconds. */
  readonly atMs: number;
  readonly state: ClaimState;
}

/**
 * @param end - How a run ended.
 * @returns The state to keep; an answer over the limit is left out.
 */
export function toClaimState(end: ClaimOutcome): ClaimState {
  switch (end.kind) {
    case "done":
      return { kind: "done", answer: toStoredResponse(end.response) };
    case "unknown":
      return { kind: "unknown" };
    case "not-run":
      return { kind: "free" };
    default:
      return assertNever(end);
  }
}

function toStoredResponse(response: AppResponse): StoredResponse | undefined {
  if (response.body.byteLength > MAX_STORED_RESPONSE_BYTES) return undefined;
  const answer = {
    status: response.status,
    headers: response.headers,
    bodyBase64: Buffer.from(response.body).toString("base64"),
  };
  const sizeBytes = Buffer.byteLength(JSON.stringify(answer));
  return sizeBytes > MAX_STORED_RESPONSE_BYTES ? undefined : answer;
}

/**
 * @param answer - An answer from the ledger.
 * @returns The answer as the service gave it.
 */
export function toAppResponse(answer: StoredResponse): AppResponse {
  return {
    status: answer.status,
    headers: answer.headers,
    body: Buffer.from(answer.bodyBase64, "base64"),
  };
}

/** Short field names, since each commit writes all records of a shard's head. */
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
 * @param record - A record.
 * @returns Its form in the store.
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
 * @param parsed - A parsed record from the store.
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
