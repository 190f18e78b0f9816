/** Request failures and their representation in HTTP responses. */

import { assertNever } from "../../../base/common/errors.ts";

/** Outcome of a failed request; see docs/CALLERS.md. */
export type FailedOutcome = "not-run" | "interrupted" | "unknown";

/** Reason why a request failed. */
export type FailureReason =
  | "bad-request"
  | "unauthorized"
  | "not-found"
  | "too-large"
  | "no-endpoint"
  | "queue-full"
  | "deadline"
  | "rate-limited"
  | "draining"
  | "not-ready"
  | "quarantined"
  | "key-conflict"
  | "key-in-progress"
  | "answer-not-kept"
  | "store-unavailable"
  | "endpoint-lost"
  | "endpoint-refused"
  | "cancelled";

/** A failed request, as reported to its caller. */
export interface RequestFailure {
  readonly outcome: FailedOutcome;
  readonly reason: FailureReason;
  /** Whether retrying the same request is safe and may succeed. */
  readonly isRetryable: boolean;
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Problem details body as defined in RFC 9457. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: FailedOutcome;
  readonly retryable: boolean;
  readonly step: string;
}

/**
 * Maps a failure reason to an HTTP status.
 *
 * @param reason - Reason why the request failed.
 * @returns The HTTP status code.
 */
export function toHttpStatus(reason: FailureReason): number {
  switch (reason) {
    case "bad-request":
      return 400;
    case "unauthorized":
      return 401;
    case "not-found":
      return 404;
    case "key-in-progress":
      return 409;
    case "answer-not-kept":
      return 410;
    case "too-large":
      return 413;
    case "key-conflict":
    case "quarantined":
      return 422;
    case "rate-limited":
    case "queue-full":
      return 429;
    case "cancelled":
      return 499;
    case "endpoint-lost":
    case "endpoint-refused":
      return 502;
    case "no-endpoint":
    case "draining":
    case "not-ready":
    case "store-unavailable":
      return 503;
    case "deadline":
      return 504;
    default:
      return assertNever(reason);
  }
}

/**
 * Converts a failure to a problem body. The body contains the failed step but
 * not the peer, since the peer is an internal address of the deployment.
 *
 * @param failure - The failure.
 * @returns The body to send as `application/problem+json`.
 */
export function toProblemBody(failure: RequestFailure): ProblemBody {
  return {
    type: `urn:ragwortsaddle:problem:${failure.reason}`,
    title: failure.reason.replaceAll("-", " "),
    status: toHttpStatus(failure.reason),
    detail: failure.detail,
    outcome: failure.outcome,
    retryable: failure.isRetryable,
    step: failure.step,
  };
}
