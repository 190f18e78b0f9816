/** Contract of the ledger that lets a keyed call run at most once. */

import type { Brand } from "../../../base/common/brand.ts";
import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { AppResponse } from "../../../services/endpoints/common/app_client.ts";

/** Value of a caller's `Idempotency-Key` header. */
export type IdempotencyKey = Brand<string, "IdempotencyKey">;

/** What is claimed. */
export interface ClaimRequest {
  readonly workspace: WorkspaceId;
  readonly key: IdempotencyKey;
  /** Hash of method, path and body; another body under the key is refused. */
  readonly fingerprint: string;
  /** Longest time that the run can take, its wait for an endpoint included. */
  readonly maxRunMs: number;
}

/** A claim that this daemon holds and must end. */
export interface HeldClaim {
  readonly request: ClaimRequest;
  /** Names the claim uniquely, so that a lost answer can be settled. */
  readonly nonce: string;
}

/** End of the run under a claim. */
export type ClaimOutcome =
  /** The call ran and this is its answer. */
  | { readonly kind: "done"; readonly response: AppResponse }
  /** The call may have run; it must not run again. */
  | { readonly kind: "unknown" }
  /** The call certainly did not run; the key is free again. */
  | { readonly kind: "not-run" };

/** What a claim led to. */
export type ClaimResult =
  /** The caller of `claim` must run the call and end the claim. */
  | { readonly kind: "held"; readonly claim: HeldClaim }
  /** The key has run before; its answer is absent when it was not kept. */
  | { readonly kind: "done"; readonly response: AppResponse | undefined }
  /** The key may have run before, with an answer that nobody has. */
  | { readonly kind: "unknown" }
  /** Another run under the key has not ended. */
  | { readonly kind: "in-progress" }
  /** The key was used for another request. */
  | { readonly kind: "mismatch" };

/** Why an operation of the ledger failed. */
export interface LedgerOperationFailure {
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/**
 * Why a claim could not be decided. The claim may stand in the store all the
 * same, so it must be ended like a held one.
 */
export interface ClaimFailure extends LedgerOperationFailure {
  readonly claim: HeldClaim;
}

/** Claims of idempotency keys, kept in the platform's store. */
export interface ClaimLedger {
  /** Claims a key before anything is sent. */
  claim(request: ClaimRequest): AsyncEither<ClaimFailure, ClaimResult>;
  /**
   * Records how the run under a claim ended. Repeats on this host learn the
   * end at once; the result comes when the store has it.
   */
  recordOutcome(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): AsyncEither<LedgerOperationFailure, void>;
}
