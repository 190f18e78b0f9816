/** Checks single answers, whatever was asked: what no caller may ever get. */

import type { RequestResult } from "./invariant_checker.ts";

const LEAST_STATUS = 200;
const GREATEST_STATUS = 599;
const LEAST_ERROR_STATUS = 300;
const BAD_REQUEST_STATUS = 400;
const RESET_CONTENT_STATUS = 205;
/** Begins all bodies in gzip. */
const GZIP_START = "\u001f";

/**
 * @param result - What a caller received for a request that is proper.
 * @returns One line if it was lost, denied or mixed with something else.
 */
export function findAnswerViolation(
  result: RequestResult,
): string | undefined {
  const { stamp, status, text } = result;
  if (result.kind === "cut") {
    const { malformation, unanswered } = result;
    if (malformation !== undefined) {
      return `mixed: got a malformed answer (${malformation})`;
    }
    if (unanswered && !unanswered.isExcused) {
      return "lost: accepted, and got no answer until after its deadline";
    }
  }
  if (status === undefined) return undefined;
  if (status < LEAST_STATUS || status > GREATEST_STATUS) {
    return `mixed: got status ${status}`;
  }
  if (status === BAD_REQUEST_STATUS) {
    return "denied: got status 400 for a proper request";
  }
  if (status >= LEAST_ERROR_STATUS) return undefined;
  if (stamp === undefined) return `mixed: got status ${status} without a stamp`;
  if (text.startsWith(GZIP_START)) return "mixed: got a coded body";
  if (status === RESET_CONTENT_STATUS && text !== "") {
    return "mixed: got status 205 with a body";
  }
  return undefined;
}
