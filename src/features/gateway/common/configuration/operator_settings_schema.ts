/**
 * Validates the settings file of the operators. Apart from the settings, so that
 * a host without such a file does not load the YAML parser.
 */

import * as z from "zod";
import type { Either } from "../../../../base/common/result.ts";
import {
  parseAndValidateYaml,
  type ValidationError,
} from "../../../../services/settings/common/yaml_validation.ts";
import type { OperatorSettings } from "./operator_settings.ts";

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
