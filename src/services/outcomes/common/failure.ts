/** How a request failed, and what its caller is told. */

import { assertNever } from "../../../base/common/errors.ts";

/** How a failed request ended; see docs/CALLERS.md. */
export type FailedOutcome = "not-run" | "interrupted" | "unknown";

/** Why a request failed. */
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

/** A failure as it is reported to a caller. */
export interface RequestFailure {
  readonly outcome: FailedOutcome;
  readonly reason: FailureReason;
  /** Whether sending the same request again is safe and may help. */
  readonly isRetryable: boolean;
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
  /** Hint when to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** RFC 9457 problem body. */
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
 * HTTP status of a failure.
 *
 * @param reason - Why the request failed.
 * @returns The status code.
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
 * Problem body of a failure. It names the step but not the peer, which is an
 * address inside the deployment.
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
