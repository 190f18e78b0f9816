/**
 * Interface of the ledger that makes calls with an idempotency key run at most
 * once. A daemon claims the key before it runs the call, and records the
 * outcome afterwards.
 */

import type { Brand } from "../../../base/common/brand.ts";
import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { AppResponse } from "../../../services/endpoints/common/app_client.ts";

/** Value of the `Idempotency-Key` header of a call. */
export type IdempotencyKey = Brand<string, "IdempotencyKey">;

/** Request to claim an idempotency key. */
export interface ClaimRequest {
  readonly workspace: WorkspaceId;
  readonly key: IdempotencyKey;
  /**
   * Hash of the method, path and body. A request with the same key but another
   * fingerprint is reported as a mismatch.
   */
  readonly fingerprint: string;
  /**
   * Longest time in milliseconds that the run can take, including the wait for
   * an endpoint.
   */
  readonly maxRunMs: number;
}

/** A claim whose outcome this daemon must record. */
export interface HeldClaim {
  readonly request: ClaimRequest;
  /** Identifies the claim, so that a repeated operation is recognized. */
  readonly nonce: string;
}

/** Outcome of the run for which a key was claimed. */
export type ClaimOutcome =
  /** The call ran and returned this response. */
  | { readonly kind: "done"; readonly response: AppResponse }
  /** The call may have run and must not be rerun. */
  | { readonly kind: "unknown" }
  /** The call definitely did not run; the key can be claimed again. */
  | { readonly kind: "not-run" };

/** Result of a claim. */
export type ClaimResult =
  /** The claimant must run the call and record its outcome. */
  | { readonly kind: "held"; readonly claim: HeldClaim }
  /** An earlier call completed; its response is absent if it was not stored. */
  | { readonly kind: "done"; readonly response: AppResponse | undefined }
  /** An earlier call may have run, but its response was not recorded. */
  | { readonly kind: "unknown" }
  /** Another run with this key has not ended. */
  | { readonly kind: "in-progress" }
  /** The key was used for a request with another fingerprint. */
  | { readonly kind: "mismatch" };

/** Failure of a ledger operation. */
export interface LedgerOperationFailure {
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/**
 * Failure to claim a key. The store may have recorded the claim nevertheless,
 * so its outcome must be recorded as for a held claim.
 */
export interface ClaimFailure extends LedgerOperationFailure {
  readonly claim: HeldClaim;
}

/** Manages the claims of idempotency keys in the platform's store. */
export interface ClaimLedger {
  /**
   * Claims a key; to be called before the request is sent.
   *
   * @param request - Key to claim and the request that it is used for.
   */
  claim(request: ClaimRequest): AsyncEither<ClaimFailure, ClaimResult>;
  /**
   * Records the outcome of the run for a claim. Duplicate requests on this host
   * see it immediately; the result is returned once the store has recorded it.
   *
   * @param claim - Claim that was held, or that failed with an unknown result.
   * @param outcome - Outcome of the run.
   */
  recordOutcome(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): AsyncEither<LedgerOperationFailure, void>;
}
