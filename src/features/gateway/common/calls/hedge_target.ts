/** Finds the endpoint for the hedge of a call. */

import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { LoadTable } from "../load/load_table.ts";
import type { RequestContext } from "../requests/request_context.ts";

/** Where a hedge may be sent. */
export interface HedgeTarget {
  /** Whether some endpoint of the service has a free slot. */
  readonly hasFreeSlot: boolean;
  /** The endpoint for the hedge, if one is eligible. */
  readonly endpoint: RegisteredEndpoint | undefined;
}

/**
 * Finds the endpoint with the lowest cost that has a free slot, is reachable,
 * not cold, not ejected, not held and has no limit of its own, and that has not
 * been sent the call.
 *
 * @param context - State of the call.
 * @param first - Endpoint of the first attempt.
 * @returns The endpoint and whether the service has a free slot.
 */
export function findHedgeTarget(
  context: RequestContext,
  first: RegisteredEndpoint,
): HedgeTarget {
  const { chooser, clock, loadTable, registry } = context.services;
  const { service } = context.request;
  const nowMs = clock.monotonicMs();
  const excluded = new Set(context.excludedEndpoints).add(first.id);
  let hasFreeSlot = false;
  for (const endpoint of registry.usable(service.id)) {
    const isFree = freeSlots(endpoint, loadTable) > 0;
    hasFreeSlot ||= isFree;
    const isEligible = isFree && !isCold(endpoint, nowMs) &&
      !endpoint.health.isEjected(nowMs) &&
      // A right or a place is kept for requests that have no other attempt.
      !context.rights.isNeeded(endpoint);
    if (!isEligible) excluded.add(endpoint.id);
  }
  const criteria = { service: service.id, memoryTokens: 0, excluded };
  const choice = chooser.choose(criteria, service);
  return { hasFreeSlot, endpoint: choice?.endpoint };
}

/**
 * Returns the number of free slots of an endpoint, as far as this host knows
 * its load. Loads that endpoints report themselves belong here.
 */
function freeSlots(
  { announcement }: RegisteredEndpoint,
  loadTable: LoadTable,
): number {
  return announcement.slots - loadTable.totalUsage(announcement.id).runs;
}

function isCold(
  { announcement, firstSeenMs }: RegisteredEndpoint,
  nowMs: number,
): boolean {
  return nowMs - firstSeenMs < announcement.warmUpRemainingMs;
}
