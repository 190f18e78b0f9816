/**
 * Contract of the dispatcher, which decides when a request may use an endpoint
 * and which endpoint it uses.
 */

import type { Brand } from "../../../base/common/brand.ts";
import type {
  EndpointId,
  RequestId,
  ServiceId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";

/** Identifier of a grant, unique across all daemons. */
export type GrantId = Brand<string, "GrantId">;

/** A request for permission to use an endpoint of a service. */
export interface GrantRequest {
  readonly requestId: RequestId;
  readonly service: ServiceId;
  readonly workspace: WorkspaceId;
  readonly className: string;
  /**
   * Prompt text, used to estimate its length and to look up cached prefixes;
   * empty for a plain call.
   */
  readonly prompt: string;
  /** Maximum number of tokens to generate; 0 for a plain call. */
  readonly maxTokens: number;
  /** Size of the request in bytes. */
  readonly sizeBytes: number;
  /**
   * Wall-clock time in milliseconds after which a grant is no longer useful, or
   * `undefined` for no deadline.
   */
  readonly deadlineMs: number | undefined;
  /**
   * Endpoints that have already failed this request and must not be chosen
   * again.
   */
  readonly excludedEndpoints: readonly EndpointId[];
}

/** Permission to use an endpoint for one request. */
export interface Grant {
  readonly id: GrantId;
  readonly endpoint: Endpoint;
  /** Scheduling priority passed to the engine; higher values run first. */
  readonly priority: number;
  /** Time the request spent waiting for the grant, in milliseconds. */
  readonly waitMs: number;
}

/** Reason why a request was refused. */
export type RefusalReason =
  | "no-endpoint"
  | "queue-full"
  | "deadline"
  | "rate-limited"
  | "cancelled";

/** Refusal of a request; nothing was run. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Suggested delay before the caller retries, in milliseconds. */
  readonly retryAfterMs: number | undefined;
}

/** Reason why a grant was released. */
export type GrantEndReason =
  /** The endpoint answered successfully. */
  | "completed"
  /**
   * The endpoint refused the request or could not be reached; nothing was run.
   */
  | "not-run"
  /** The endpoint failed while the request was running. */
  | "failed"
  /** The caller disconnected. */
  | "cancelled";

/** Issues grants and takes them back. */
export interface Dispatcher {
  /**
   * Waits until an endpoint may be used.
   *
   * @param request - Request for a grant.
   * @param signal - Aborted when the caller disconnects.
   * @returns The grant, which the caller must release, or the refusal.
   */
  acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): AsyncEither<Refusal, Grant>;

  /**
   * Reports the progress of a generation.
   *
   * @param id - Identifier of the generation's grant.
   * @param generatedTokens - Number of tokens generated so far.
   */
  reportProgress(id: GrantId, generatedTokens: number): void;

  /**
   * Releases a grant. Releasing the same grant again has no effect.
   *
   * @param id - Identifier of the grant.
   * @param end - Reason for the release.
   * @param generatedTokens - Total number of tokens generated.
   */
  release(id: GrantId, end: GrantEndReason, generatedTokens: number): void;
}
