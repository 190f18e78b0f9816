/**
 * Converts a refusal of the dispatcher into the failure that the caller
 * receives.
 */

import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Refusal } from "./dispatcher.ts";

/**
 * @param refusal - Refusal of the dispatcher.
 * @returns The corresponding failure, which states that nothing was run.
 */
export function toRefusalFailure(refusal: Refusal): RequestFailure {
  const { reason, detail, retryAfterMs } = refusal;
  return {
    outcome: "not-run",
    reason,
    isRetryable: reason !== "cancelled",
    step: "dispatch.acquire",
    peer: "",
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
