/** Contract of dispatch: who may use which endpoint now. */

import type { Brand } from "../../../base/common/brand.ts";
import type {
  EndpointId,
  RequestId,
  ServiceId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";

/** Id of a grant, unique over all daemons. */
export type GrantId = Brand<string, "GrantId">;

/** What a request needs of an endpoint. */
export interface GrantRequest {
  readonly requestId: RequestId;
  readonly service: ServiceId;
  readonly workspace: WorkspaceId;
  readonly className: string;
  /** Prompt, for its length and its prefix; empty for a plain call. */
  readonly prompt: string;
  /** Most tokens that may be generated; 0 for a plain call. */
  readonly maxTokens: number;
  /** Size of the request, in bytes. */
  readonly sizeBytes: number;
  /** Latest moment (wall clock) at which the grant is of use, if any. */
  readonly deadlineMs: number | undefined;
  /** Endpoints that have failed this request before. */
  readonly excludedEndpoints: readonly EndpointId[];
}

/** Leave to use an endpoint. */
export interface Grant {
  readonly id: GrantId;
  readonly endpoint: Endpoint;
  /** Priority for the engine; higher runs first. */
  readonly priority: number;
  /** Time that the request waited, in milliseconds. */
  readonly waitMs: number;
}

/** Why no grant was given. */
export type RefusalReason =
  | "no-endpoint"
  | "queue-full"
  | "deadline"
  | "rate-limited"
  | "cancelled";

/** A refusal; the request was not run. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Hint when to come back, in milliseconds. */
  readonly retryAfterMs: number | undefined;
}

/** How the use of an endpoint ended. */
export type GrantEndReason =
  /** The endpoint answered in order. */
  | "completed"
  /** The endpoint refused or could not be reached; nothing ran. */
  | "not-run"
  /** The endpoint failed while the request was running. */
  | "failed"
  /** The caller went away. */
  | "cancelled";

/** Gives grants. */
export interface Dispatcher {
  /**
   * Waits for a grant.
   *
   * @param request - What is needed.
   * @param signal - Aborted when the caller has gone.
   * @returns The grant, which must be released, or the refusal.
   */
  acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): AsyncEither<Refusal, Grant>;

  /**
   * Tells how far a generation has come.
   *
   * @param id - Its grant.
   * @param generatedTokens - Tokens generated so far.
   */
  reportProgress(id: GrantId, generatedTokens: number): void;

  /**
   * Gives a grant back; a second release of the same grant does nothing.
   *
   * @param id - The grant.
   * @param end - How its use ended.
   * @param generatedTokens - Tokens generated in all.
   */
  release(id: GrantId, end: GrantEndReason, generatedTokens: number): void;
}
