/**
 * Settings of the gateway that its operators write themselves, beside those of
 * the platform. Everything is off by default.
 */

import * as z from "zod";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { Either } from "../../../../base/common/result.ts";
import {
  parseAndValidateYaml,
  type ValidationError,
} from "../../../../services/settings/common/yaml_validation.ts";

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

const hedgingLimitsSchema = z.strictObject({
  maxExtraShare: z.number().min(0).max(1)
    .describe("most hedges per successful call; 0 turns hedging off"),
  maxExtraPerS: z.number().nonnegative()
    .describe("most hedges in a second, of all hosts together"),
});

/** Schema of the settings file of the operators. */
export const operatorSettingsSchema: z.ZodType<OperatorSettings> = z
  .strictObject({
    hedging: z.strictObject({
      default: hedgingLimitsSchema.optional()
        .describe("limits of services without their own"),
      services: z.record(z.string().min(1), hedgingLimitsSchema).default({})
        .describe("limits of single services"),
    }).default({ services: {} })
      .describe("second attempts of slow idempotent calls"),
    crossZoneCostMs: z.number().nonnegative().optional()
      .describe("cost of an endpoint in another zone, in milliseconds"),
  });

/** Settings that apply without a file. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = {
  hedging: { services: {} },
};

/**
 * Parses and validates a settings file.
 *
 * @param text - YAML text.
 * @returns The settings, or all validation errors with the paths of their
 * fields.
 */
export function parseOperatorSettings(
  text: string,
): Either<readonly ValidationError[], OperatorSettings> {
  return parseAndValidateYaml(text, operatorSettingsSchema);
}

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
