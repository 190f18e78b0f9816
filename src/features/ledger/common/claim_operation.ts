/** What the hosts ask of a shard, and the rules by which it is decided. */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  ClaimRecord,
  ClaimState,
  StoredResponse,
} from "./claim_record.ts";

interface OperationTarget {
  /** Hash of workspace and key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly nonce: string;
  readonly host: string;
}

/** Asks for the right to run a call. */
export interface ClaimOperation extends OperationTarget {
  readonly kind: "claim";
  /** Longest time that the run can take. */
  readonly maxRunMs: number;
}

/** Says how a run ended. */
export interface EndOperation extends OperationTarget {
  readonly kind: "end";
  readonly state: Exclude<ClaimState, { readonly kind: "running" }>;
}

/** One change or question of a shard. */
export type LedgerOperation = ClaimOperation | EndOperation;

/** Answer to an operation. */
export type OperationResult =
  | { readonly kind: "held" }
  | { readonly kind: "done"; readonly answer?: StoredResponse | undefined }
  | { readonly kind: "unknown" }
  | { readonly kind: "in-progress" }
  | { readonly kind: "mismatch" }
  /** The end is recorded, or another run's record stands. */
  | { readonly kind: "ended" }
  /** The claim was given up before; it may not be held any more. */
  | { readonly kind: "stale" }
  /** There is no room for another key; nothing was recorded. */
  | { readonly kind: "full" };

/** What a decision needs besides the records. */
export interface DecisionContext {
  readonly nowMs: number;
  /** @returns Whether the process that holds a running claim has ended. */
  hasHolderEnded(record: ClaimRecord): boolean;
}

/** A decision: the answer, and the record to write if anything changes. */
export interface Decision {
  readonly result: OperationResult;
  readonly record?: ClaimRecord;
}

/** Time that a run is given beyond its limit before its end is unknown. */
const RUN_GRACE_MS = 5_000;

/**
 * Decides an operation. Repeating an operation with the same nonce gives the
 * same answer, so an operation whose commit has an unknown result is decided
 * again on the state that the store then has.
 *
 * @param operation - What is asked.
 * @param current - The key's record that has not expired, if there is one.
 * @param context - The time and the holders.
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
      // Whoever still asks for its own claim has not been told to run it.
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

/** A claim whose holder cannot end it any more is never run again. */
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
 * The end of a claim that is not there is recorded as well: its write may be
 * on its way, and fails once the state has changed.
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
