/** Limits of a gateway daemon that follow from its settings. */

import type { GatewayLimits } from "../../features/gateway/common/gateway.ts";
import type { ServiceId } from "../../base/common/ids.ts";
import {
  hedgingLimitsOf,
  type HedgingSettings,
} from "../../features/gateway/common/configuration/operator_settings.ts";
import {
  type HedgeLimits,
  RETRY_WINDOW_MS,
  type RetryLimits,
} from "../../features/retries/common/retry_budget.ts";
import {
  DEFAULT_CHOOSER_SETTINGS,
  type EndpointChooserSettings,
} from "../../features/gateway/common/placement/paced_choice.ts";
import { BodyBudget } from "../../services/http/common/body_budget.ts";
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
const MS_PER_SECOND = 1_000;

/** Time for which endpoints serve on where the platform does not state it. */
const DEFAULT_ENDPOINT_DRAIN_MS = 2_000;

/**
 * @returns The time in milliseconds within which a host has to know each change
 * of the store.
 */
export function maxMirrorAgeMs(
  {
    configurationDelayMs,
    endpointDrainMs = DEFAULT_ENDPOINT_DRAIN_MS,
  }: Pick<
    ReloadableGatewaySettings,
    "configurationDelayMs" | "endpointDrainMs"
  >,
): number {
  return Math.min(configurationDelayMs, endpointDrainMs);
}

/** @returns The limits of admission. */
export function admissionLimits(
  settings: ReloadableGatewaySettings,
): GatewayLimits {
  const { configurationDelayMs, revocationDelayMs } = settings;
  return {
    maxConfirmationAgeForKeysMs: revocationDelayMs * KEY_MAX_AGE_RATIO,
    maxConfirmationAgeForUnknownMs: configurationDelayMs *
      UNKNOWN_MAX_AGE_RATIO,
  };
}

/**
 * @param settings - Returns the current settings.
 * @returns The memory that the bodies of requests may use.
 */
export function createBodyBudget(
  settings: () => Pick<ReloadableGatewaySettings, "memoryMb">,
): BodyBudget {
  return new BodyBudget(() =>
    settings().memoryMb * BODY_MEMORY_RATIO * BYTES_PER_MB
  );
}

/** A daemon's place in the fleet, by which it takes its part of the retries. */
export interface FleetPlace {
  /** Number of daemons in the fleet. */
  readonly fleetSize: number;
  /** Time since the start of this process in milliseconds. */
  readonly uptimeMs: number;
  /**
   * Number from 0 to 1, evenly distributed over the hosts. It decides who gets
   * what is left when the retries are divided.
   */
  readonly remainderRank: number;
}

/**
 * @param settings - Settings with the limits of the whole fleet.
 * @param place - Place of this daemon in the fleet.
 * @returns The part of this daemon.
 */
export function retryLimits(
  { retries }: ReloadableGatewaySettings,
  { fleetSize, remainderRank, uptimeMs }: FleetPlace,
): RetryLimits {
  const minRetries = retries.extra * RETRY_LIMIT_RATIO / fleetSize;
  // The process before may have used this host's part of the current window.
  const isFirstWindow = uptimeMs < RETRY_WINDOW_MS;
  return {
    successShare: retries.share * RETRY_LIMIT_RATIO,
    minRetriesPerWindow: isFirstWindow ? 0 : minRetries + remainderRank,
  };
}

/**
 * @param hedging - Limits of the whole fleet.
 * @param service - Service of the calls.
 * @param place - Place of this daemon in the fleet.
 * @returns The part of this daemon, or `undefined` if the calls of the service
 * are not hedged.
 */
export function hedgeLimits(
  hedging: HedgingSettings | undefined,
  service: ServiceId,
  { fleetSize, remainderRank, uptimeMs }: FleetPlace,
): HedgeLimits | undefined {
  const limits = hedging && hedgingLimitsOf(hedging, service);
  if (!limits) return undefined;
  const { maxExtraPerS, maxExtraShare } = limits;
  const maxHedges = maxExtraPerS * RETRY_WINDOW_MS / MS_PER_SECOND *
    RETRY_LIMIT_RATIO / fleetSize;
  // The process before may have used this host's part of the current window.
  const isFirstWindow = uptimeMs < RETRY_WINDOW_MS;
  return {
    successShare: maxExtraShare,
    maxHedgesPerWindow: isFirstWindow ? 0 : maxHedges + remainderRank,
  };
}

/** @returns The settings of the choice of endpoints. */
export function chooserSettings(
  { operator }: ReloadableGatewaySettings,
): EndpointChooserSettings {
  const { crossZoneCostMs = DEFAULT_CHOOSER_SETTINGS.crossZoneCostMs } =
    operator ?? {};
  return { crossZoneCostMs };
}
