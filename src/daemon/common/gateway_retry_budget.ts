/** Creates the retry budget of a gateway daemon from its settings. */

import type { Clock } from "../../base/common/clock.ts";
import type { Hasher } from "../../base/common/hasher.ts";
import type { HostId } from "../../base/common/ids.ts";
import type { SeededRandom } from "../../base/common/random.ts";
import { RetryBudget } from "../../features/retries/common/retry_budget.ts";
import type { ReloadableGatewaySettings } from "./gateway_settings.ts";
import {
  type FleetPlace,
  hedgeLimits,
  retryLimits,
} from "./settings_limits.ts";

const HASH_RANGE = 2 ** 32;

/** Dependencies of the retry budget of one daemon. */
export interface GatewayRetryBudgetServices {
  readonly host: HostId;
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly hasher: Hasher;
  /** @returns The current settings. */
  settings(): ReloadableGatewaySettings;
  /** @returns The number of daemons that share the budget of the fleet. */
  fleetSize(): number;
}

/** @returns The budget, whose uptime starts now. */
export function createRetryBudget(
  services: GatewayRetryBudgetServices,
): RetryBudget {
  const { clock, hasher, host, random } = services;
  const startedMs = clock.monotonicMs();
  const place = (): FleetPlace => ({
    fleetSize: services.fleetSize(),
    uptimeMs: clock.monotonicMs() - startedMs,
    remainderRank: hasher.hash32(host) / HASH_RANGE,
  });
  return new RetryBudget({
    clock,
    random,
    limits: () => retryLimits(services.settings(), place()),
    hedgeLimits: (service) =>
      hedgeLimits(services.settings().operator?.hedging, service, place()),
  });
}
