/**
 * Settings of the gateway that its operators write themselves, beside those of
 * the platform. Everything is off by default.
 */

import type { ServiceId } from "../../../../base/common/ids.ts";

/** Limits of the hedges of one service, for all hosts together. */
export interface HedgingLimits {
  /** Maximum number of hedges per successful call. */
  readonly maxExtraShare: number;
  /** Maximum number of hedges in a second, averaged over 10 seconds. */
  readonly maxExtraPerS: number;
}

/** Which services' calls are hedged, and how often. */
export interface HedgingSettings {
  /** Limits of each service without its own; none are hedged without them. */
  readonly default?: HedgingLimits | undefined;
  readonly services: Readonly<Record<string, HedgingLimits>>;
}

/** Contents of the settings file of the operators. */
export interface OperatorSettings {
  readonly hedging: HedgingSettings;
  /** Cost of an endpoint in another zone, in milliseconds. */
  readonly crossZoneCostMs?: number | undefined;
}

/** Settings that apply without a file. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = {
  hedging: { services: {} },
};

/**
 * @param settings - Which calls are hedged.
 * @param service - A service.
 * @returns The limits of its hedges, or `undefined` if its calls are not hedged.
 */
export function hedgingLimitsOf(
  settings: HedgingSettings,
  service: ServiceId,
): HedgingLimits | undefined {
  const limits = Object.hasOwn(settings.services, service)
    ? settings.services[service]
    : settings.default;
  if (!limits || limits.maxExtraShare === 0 || limits.maxExtraPerS === 0) {
    return undefined;
  }
  return limits;
}
