/** Decides whether and when a second attempt of a slow call is sent. */

import type { RouteKind } from "../configuration/gateway_configuration.ts";

/**
 * Time by which a hedge may be early. A timer may fire slightly early, and a
 * wait for the rest may round to no time at all.
 */
const TIMER_TOLERANCE_MS = 1;

/** Why a hedge is not sent. The values appear in metrics. */
export type HedgeSuppression =
  /** The call must not run twice. */
  | "not-idempotent"
  /** The body is streamed while it arrives and can be sent only once. */
  | "single-send-body"
  /** The route allows no further send. */
  | "attempts-used"
  /** Too few response times are known. */
  | "few-samples"
  /** The objective of the request would be over. */
  | "past-objective"
  /** This host stops. */
  | "stopping"
  /** The request is suspected of crashing endpoints. */
  | "suspected"
  /** No endpoint of the service has a free slot. */
  | "no-free-slot"
  /** No other endpoint is eligible. */
  | "no-endpoint"
  /** The limit of hedges or the retry budget is used up. */
  | "budget";

/** Decision about the hedge of one call. */
export type HedgeDecision =
  | { readonly kind: "send" }
  /** Decide again at this monotonic time in milliseconds. */
  | { readonly kind: "wait"; readonly untilMs: number }
  | { readonly kind: "suppressed"; readonly reason: HedgeSuppression };

/** What is known of a call from its start. */
export interface HedgeableCall {
  readonly kind: RouteKind["kind"];
  /** Monotonic time of the first attempt in milliseconds. */
  readonly startedMs: number;
  /** Time after which nearly all calls of this kind are answered, in ms. */
  readonly delayMs: number | undefined;
  /** Monotonic time at which the objective of the request ends, in ms. */
  readonly objectiveEndMs: number;
  /** Whether the body can be sent a second time. */
  readonly canSendTwice: boolean;
  /** Whether the route allows one more send beside the first attempt. */
  readonly hasSendLeft: boolean;
}

/** State of the host and the service when a hedge is due. */
export interface HedgeConditions {
  readonly isStopping: boolean;
  readonly isSuspect: boolean;
  /** Whether some endpoint of the service has a free slot. */
  readonly hasFreeSlot: boolean;
  /** Whether another eligible endpoint with a free slot exists. */
  readonly hasEndpoint: boolean;
  readonly isWithinBudget: boolean;
}

/**
 * Decides about the hedge of a call whose first attempt is in progress.
 *
 * @param call - The call.
 * @param nowMs - Monotonic time in milliseconds.
 * @param conditions - Returns the state of the service; called only when the
 * hedge is due, as it compares all endpoints.
 * @returns The decision.
 */
export function decideHedge(
  call: HedgeableCall,
  nowMs: number,
  conditions: () => HedgeConditions,
): HedgeDecision {
  if (call.kind !== "idempotent") return suppressed("not-idempotent");
  if (!call.canSendTwice) return suppressed("single-send-body");
  if (!call.hasSendLeft) return suppressed("attempts-used");
  if (call.delayMs === undefined) return suppressed("few-samples");
  const dueMs = call.startedMs + call.delayMs;
  if (Math.max(dueMs, nowMs) >= call.objectiveEndMs) {
    return suppressed("past-objective");
  }
  if (nowMs < dueMs - TIMER_TOLERANCE_MS) {
    return { kind: "wait", untilMs: dueMs };
  }
  const { hasEndpoint, hasFreeSlot, isStopping, isSuspect, isWithinBudget } =
    conditions();
  if (isStopping) return suppressed("stopping");
  if (isSuspect) return suppressed("suspected");
  if (!hasFreeSlot) return suppressed("no-free-slot");
  if (!hasEndpoint) return suppressed("no-endpoint");
  return isWithinBudget ? { kind: "send" } : suppressed("budget");
}

function suppressed(reason: HedgeSuppression): HedgeDecision {
  return { kind: "suppressed", reason };
}
