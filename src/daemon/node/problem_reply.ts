/** Sends failures as problem bodies. */

import type { FastifyReply } from "fastify";
import {
  type RequestFailure,
  toHttpStatus,
  toProblemBody,
} from "../../services/outcomes/common/failure.ts";
import { withClientError } from "../common/openai_format.ts";

/** Header that names the request to its caller. */
export const REQUEST_ID_HEADER = "x-request-id";

const MS_PER_SECOND = 1_000;

/**
 * @param reply - The reply; nothing has been sent on it.
 * @param failure - What the caller is told.
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
 * @param reason - Why the request is refused before anything ran.
 * @param detail - What the caller can do about it.
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
