/**
 * Defines the operations that hosts submit to a shard, and the rules that
 * decide their results.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  ClaimRecord,
  ClaimState,
  StoredResponse,
} from "./claim_record.ts";

/** Fields shared by all operations. */
interface OperationTarget {
  /** Hash of workspace and key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly nonce: string;
  readonly host: string;
}

/** Claims a key for the exclusive right to run a call. */
export interface ClaimOperation extends OperationTarget {
  readonly kind: "claim";
  /** Longest time in milliseconds that the run can take. */
  readonly maxRunMs: number;
}

/** Records the outcome of a run. */
export interface EndOperation extends OperationTarget {
  readonly kind: "end";
  readonly state: Exclude<ClaimState, { readonly kind: "running" }>;
}

/** Operation on the claims of a shard. */
export type LedgerOperation = ClaimOperation | EndOperation;

/** Result of an operation. */
export type OperationResult =
  | { readonly kind: "held" }
  | { readonly kind: "done"; readonly answer?: StoredResponse | undefined }
  | { readonly kind: "unknown" }
  | { readonly kind: "in-progress" }
  | { readonly kind: "mismatch" }
  /** The end is recorded, or the key has the record of another run. */
  | { readonly kind: "ended" }
  /** The claim was abandoned and can no longer be granted. */
  | { readonly kind: "stale" }
  /** The shard is full; nothing was recorded. */
  | { readonly kind: "full" };

/** Input to a decision in addition to the records. */
export interface DecisionContext {
  /** Current wall-clock time in milliseconds. */
  readonly nowMs: number;
  /** @returns Whether the process that holds a running claim has ended. */
  hasHolderEnded(record: ClaimRecord): boolean;
}

/** Result of an operation, and the record to write if the state changes. */
export interface Decision {
  readonly result: OperationResult;
  readonly record?: ClaimRecord;
}

/** Time beyond the limit of a run before its outcome counts as unknown. */
const RUN_GRACE_MS = 5_000;

/**
 * Decides the result of an operation. Decisions are idempotent per nonce, so an
 * operation whose commit has an unknown result can be decided again on the
 * current state of the store.
 *
 * @param operation - Operation to decide.
 * @param current - Unexpired record of the key, if there is one.
 * @param context - Current time and the state of the claim holders.
 * @returns The result, with the record to write if the state changes.
 */
export function decideOperation(
  operation: LedgerOperation,
  current: ClaimRecord | undefined,
  context: DecisionContext,
): Decision {
  return operation.kind === "claim"
    ? decideClaim(operation, current, context)
    : decideEnd(operation, current, context);
}

function decideClaim(
  claim: ClaimOperation,
  current: ClaimRecord | undefined,
  context: DecisionContext,
): Decision {
  if (!current) return grantClaim(claim, context);
  const isOwn = current.nonce === claim.nonce;
  if (current.state.kind === "free") {
    return isOwn ? { result: { kind: "stale" } } : grantClaim(claim, context);
  }
  if (current.fingerprint !== claim.fingerprint) {
    return { result: { kind: "mismatch" } };
  }
  switch (current.state.kind) {
    case "running":
      if (isOwn) return { result: { kind: "held" } };
      return decideOnRunningClaim(current, current.state.untilMs, context);
    case "done":
      return { result: { kind: "done", answer: current.state.answer } };
    case "unknown":
      // A requester that repeats its own claim has not started the run yet.
      return isOwn
        ? grantClaim(claim, context)
        : { result: { kind: "unknown" } };
    default:
      return assertNever(current.state);
  }
}

function grantClaim(
  claim: ClaimOperation,
  { nowMs }: DecisionContext,
): Decision {
  const untilMs = nowMs + claim.maxRunMs + RUN_GRACE_MS;
  return {
    result: { kind: "held" },
    record: toRecord(claim, { kind: "running", untilMs }, nowMs),
  };
}

/** Turns a claim unknown, never free, once its holder can no longer end it. */
function decideOnRunningClaim(
  current: ClaimRecord,
  untilMs: number,
  { nowMs, hasHolderEnded }: DecisionContext,
): Decision {
  if (nowMs <= untilMs && !hasHolderEnded(current)) {
    return { result: { kind: "in-progress" } };
  }
  return {
    result: { kind: "unknown" },
    record: { ...current, atMs: nowMs, state: { kind: "unknown" } },
  };
}

/**
 * Decides an end. The end of a claim without a record is recorded as well: the
 * write of that claim may still be in flight, and fails once the revision has
 * changed.
 */
function decideEnd(
  end: EndOperation,
  current: ClaimRecord | undefined,
  { nowMs }: DecisionContext,
): Decision {
  const result = { kind: "ended" } as const;
  const mayWrite = current === undefined ||
    (current.nonce === end.nonce
      ? current.state.kind === "running" || current.state.kind === "unknown"
      : current.state.kind === "free");
  if (!mayWrite) return { result };
  return { result, record: toRecord(end, end.state, nowMs) };
}

function toRecord(
  { key, fingerprint, nonce, host }: LedgerOperation,
  state: ClaimState,
  atMs: number,
): ClaimRecord {
  return { key, fingerprint, nonce, host, atMs, state };
}
