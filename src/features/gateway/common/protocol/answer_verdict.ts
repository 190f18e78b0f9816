/**
 * Decides what the head of an endpoint's answer proves about the request that
 * was sent. Calls, streams and continuations, on any path, use this decision
 * alone.
 */

import type { RequestId } from "../../../../base/common/ids.ts";
import type { ResponseFields } from "./gateway_codec.ts";

/** What an answer proves. */
export type AnswerVerdict =
  /** The endpoint states of this request that it has not run and will not run. */
  | "refused"
  /** The same, and no other endpoint would run it: the request is malformed. */
  | "invalid"
  /** The answer belongs to another request. */
  | "foreign"
  /**
   * The answer must not be passed on: it is a success without the endpoint's
   * signature, or its status is a promise without proof. The request may have
   * run.
   */
  | "unproven"
  /** The endpoint's answer to the request, which may be passed on. */
  | "answered";

const HTTP_BAD_REQUEST = 400;

/** Statuses that tell a caller that its request has not run and never will. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * @param request - Id of the request that was sent.
 * @param status - Status of the answer.
 * @param fields - What its headers say.
 * @returns What the answer proves. A refusal is proved only by a statement that
 * names the request; one that names none may belong to another request.
 */
export function judgeAnswer(
  request: RequestId,
  status: number,
  { isNotRun, isSigned, requestId }: ResponseFields,
): AnswerVerdict {
  if (requestId !== undefined && requestId !== request) return "foreign";
  const isStated = isNotRun && requestId === request;
  if (PROMISING_STATUSES.has(status)) return isStated ? "refused" : "unproven";
  if (status === HTTP_BAD_REQUEST && isStated) return "invalid";
  if (status >= 200 && status < 300 && !isSigned) return "unproven";
  return "answered";
}
