/** Limits of a gateway daemon that follow from its settings. */

import type { GatewayLimits } from "../../features/gateway/common/gateway.ts";
import type { RetryLimits } from "../../features/retries/common/retry_budget.ts";
import type { ReloadableGatewaySettings } from "./gateway_settings.ts";

/**
 * Fraction of the revocation delay for which an unconfirmed configuration is
 * trusted to check keys. The rest is left for requests in flight.
 */
const KEY_MAX_AGE_RATIO = 0.88;
/**
 * Fraction of the configuration delay after which the configuration may be
 * stale, so that an unknown key or route may only not have been received yet.
 */
const UNKNOWN_MAX_AGE_RATIO = 0.95;
/**
 * Fraction of the fleet's retry limits that the daemons use in total. Each
 * daemon takes an equal share, but their counts of hosts may differ.
 */
const RETRY_LIMIT_RATIO = 0.6;
/** Fraction of the memory limit that request bodies may use. */
const BODY_MEMORY_RATIO = 0.15;
const BYTES_PER_MB = 1_048_576;

/** @returns The limits of admission. */
export function admissionLimits(
  settings: ReloadableGatewaySettings,
): GatewayLimits {
  const { configurationDelayMs, memoryMb, revocationDelayMs } = settings;
  return {
    maxConfirmationAgeForKeysMs: revocationDelayMs * KEY_MAX_AGE_RATIO,
    maxConfirmationAgeForUnknownMs: configurationDelayMs *
      UNKNOWN_MAX_AGE_RATIO,
    maxBodyBytesInUse: memoryMb * BODY_MEMORY_RATIO * BYTES_PER_MB,
  };
}

/**
 * @param settings - Settings with the limits of the whole fleet.
 * @param fleetSize - Number of daemons in the fleet.
 * @returns The part of this daemon.
 */
export function retryLimits(
  { retries }: ReloadableGatewaySettings,
  fleetSize: number,
): RetryLimits {
  return {
    successShare: retries.share * RETRY_LIMIT_RATIO,
    minRetriesPerWindow: retries.extra * RETRY_LIMIT_RATIO / fleetSize,
  };
}
