/** Costs and choices among endpoints whose speeds are known to differ. */

import type { RandomSource } from "../../../dispatch/common/group_dispatcher.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointPaces } from "../load/endpoint_pace.ts";

/** Settings of the choice of endpoints. */
export interface EndpointChooserSettings {
  /**
   * Cost of the bytes of a call to another zone, as time in milliseconds. The
   * network time itself is part of the learned response time.
   */
  readonly crossZoneCostMs: number;
}

export const DEFAULT_CHOOSER_SETTINGS: EndpointChooserSettings = {
  crossZoneCostMs: 10,
};

/** Expected completion that costs as much as full memory or a cold engine. */
const FULL_COST_COMPLETION_MS = 100;
/** Response time of a call while none is learned; calls take 50 to 80 ms. */
const TYPICAL_RESPONSE_MS = 65;
/**
 * Difference in cost below which endpoints count as nearly equal for a call:
 * 15 ms, as the load of the endpoints is known only from their last answers.
 */
export const NEAR_CALL_COST = 0.15;
/**
 * The same for a generation. Its placer knows the claims of all hosts, and
 * larger differences led to more preemptions on engines that are nearly full.
 */
export const NEAR_GENERATION_COST = 0.02;

/**
 * Returns the cost of an endpoint for a call: the time to its expected
 * completion.
 *
 * @param paces - Loads and speeds of the endpoints.
 * @param endpoint - The endpoint.
 * @param isLocal - Whether it is in the zone of this host.
 * @param settings - The cost of another zone.
 */
export function callCompletionCost(
  paces: EndpointPaces,
  endpoint: RegisteredEndpoint,
  isLocal: boolean,
  { crossZoneCostMs }: EndpointChooserSettings,
): number {
  const { slots } = endpoint.announcement;
  const responseMs = (paces.usualResponseMs(endpoint) ?? TYPICAL_RESPONSE_MS) *
    paces.relativeTime(endpoint);
  const ahead = Math.max(0, paces.expectedRuns(endpoint) + 1 - slots);
  const completionMs = responseMs * (1 + ahead / slots) +
    (isLocal ? 0 : crossZoneCostMs);
  return completionMs / FULL_COST_COMPLETION_MS;
}

/**
 * Chooses the cheaper of two random candidates that are nearly as cheap as the
 * cheapest, since many hosts choose by the same figures. Both may be the same
 * one, so that of two candidates neither is chosen by all hosts.
 *
 * @param costs - Costs of the candidates; not empty.
 * @param nearCost - Difference in cost up to which they are nearly as cheap.
 * @param random - Source of the two draws.
 * @returns The index of the chosen candidate.
 */
export function chooseNearlyCheapest(
  costs: readonly number[],
  nearCost: number,
  random: RandomSource,
): number {
  const limit = Math.min(...costs) + nearCost;
  const near = [...costs.keys()].filter((index) => costs[index]! <= limit);
  const draw = (): number => near[Math.floor(random.float() * near.length)]!;
  const first = draw();
  const second = draw();
  return costs[first]! <= costs[second]! ? first : second;
}
