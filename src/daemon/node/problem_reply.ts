/** Sends failures to callers as `application/problem+json` bodies. */

import type { FastifyReply } from "fastify";
import {
  type RequestFailure,
  toHttpStatus,
  toProblemBody,
} from "../../services/outcomes/common/failure.ts";
import { withClientError } from "../common/openai_format.ts";

/** Response header with the ID of the request. */
export const REQUEST_ID_HEADER = "x-request-id";

const MS_PER_SECOND = 1_000;

/**
 * Sends a failure as the response.
 *
 * @param reply - The reply, on which nothing has been sent yet.
 * @param failure - The failure to report to the caller.
 */
export function sendProblem(
  reply: FastifyReply,
  failure: RequestFailure,
): void {
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / MS_PER_SECOND);
    reply.header("retry-after", String(seconds));
  }
  void reply
    .code(toHttpStatus(failure.reason))
    .type("application/problem+json")
    .send(JSON.stringify(withClientError(toProblemBody(failure))));
}

/**
 * Creates the failure of a request that is rejected before it is run.
 *
 * @param reason - Reason for the rejection.
 * @param detail - Explanation for the caller.
 */
export function refusal(
  reason: RequestFailure["reason"],
  detail: string,
): RequestFailure {
  return {
    outcome: "not-run",
    reason,
    isRetryable: false,
    step: "front.check",
    peer: "",
    detail,
  };
}
