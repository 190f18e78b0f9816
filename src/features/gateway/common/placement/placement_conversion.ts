/** Conversions between requests for placements and their messages. */

import type { EndpointId } from "../../../../base/common/ids.ts";
import type {
  PlacementAsk,
  PlacementDetailFields,
} from "./placement_message.ts";
import type { PlacementDetails, PlacementRequest } from "./placement_queue.ts";

/**
 * @param fields - What a message says of a decision.
 * @returns What the sender knew; an earlier build says nothing.
 */
export function fromDetailFields(
  { expectedWaitMs, reserveForPriority, reserveTokens }: PlacementDetailFields,
): PlacementDetails {
  const hasReserve = reserveTokens !== undefined &&
    reserveForPriority !== undefined;
  return {
    expectedWaitMs,
    reserve: hasReserve
      ? { tokens: reserveTokens, forPriority: reserveForPriority }
      : undefined,
  };
}

/**
 * @param details - What the placer knew when it decided.
 * @param isScarce - Whether requests of the service had to wait recently.
 * @returns The fields of the message for the requesting daemon.
 */
export function toDetailFields(
  { expectedWaitMs, reserve }: PlacementDetails,
  isScarce: boolean,
): PlacementDetailFields {
  return {
    ...(expectedWaitMs !== undefined && { expectedWaitMs }),
    ...(reserve && {
      reserveTokens: reserve.tokens,
      reserveForPriority: reserve.forPriority,
    }),
    isScarce,
  };
}

/**
 * @param request - A request for a placement.
 * @param number - Number that the requesting daemon assigned.
 * @param nowMs - Monotonic time in milliseconds.
 * @param excluded - Endpoints that the requesting daemon must not use.
 * @returns The message for the placer.
 */
export function toPlacementAsk(
  request: PlacementRequest,
  number: number,
  nowMs: number,
  excluded: readonly EndpointId[],
): PlacementAsk {
  const { criteria, priority, pendingPrefillTokens, wantsBackup } = request;
  const { gapObjectiveMs, softwareVersion } = criteria;
  return {
    kind: "asked",
    number,
    service: criteria.service,
    memoryTokens: criteria.memoryTokens,
    unreadTokens: pendingPrefillTokens,
    wantsBackup,
    excluded,
    ...(softwareVersion !== undefined && { softwareVersion }),
    ...(gapObjectiveMs !== undefined && { gapObjectiveMs }),
    priority,
    objectiveLeftMs: request.firstEventDueMs - nowMs,
    startLeftMs: request.latestStartMs - nowMs,
  };
}
