/** Turns a refusal of the dispatcher into what the caller is told. */

import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Refusal } from "./dispatcher.ts";

/**
 * @param refusal - The dispatcher's refusal.
 * @returns The failure; nothing was run.
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
