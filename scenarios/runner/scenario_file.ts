/** Reads scenario files. */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Either } from "../../src/base/common/result.ts";
import {
  formatValidationErrors,
  parseAndValidateYaml,
} from "../../src/services/settings/common/yaml_validation.ts";
import { type Scenario, scenarioSchema } from "./scenario_schema.ts";

/**
 * @param path - Path of the file.
 * @returns The scenario, or its mistakes as text.
 */
export function readScenario(path: string): Either<string, Scenario> {
  return parseAndValidateYaml<Scenario>(
    readFileSync(path, "utf8"),
    scenarioSchema,
  )
    .mapLeft((mistakes) => formatValidationErrors(path, mistakes));
}

/**
 * @param folder - A folder.
 * @returns Paths of all scenario files in it and below it, in order.
 */
export function findScenarios(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".yaml"))
    .sort()
    .map((file) => join(folder, file));
}
