/** Finds, reads and validates scenario files. */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Either } from "../../src/base/common/result.ts";
import {
  formatValidationErrors,
  parseAndValidateYaml,
} from "../../src/services/settings/common/yaml_validation.ts";
import { type Scenario, scenarioSchema } from "./scenario_schema.ts";

/**
 * Reads and validates a scenario file.
 *
 * @param path - Path of the scenario file.
 * @returns The scenario, or its validation errors as text.
 */
export function readScenario(path: string): Either<string, Scenario> {
  return parseAndValidateYaml<Scenario>(
    readFileSync(path, "utf8"),
    scenarioSchema,
  )
    .mapLeft((errors) => formatValidationErrors(path, errors));
}

/**
 * Finds the scenario files in a folder and its subfolders.
 *
 * @param folder - Path of the folder to search.
 * @returns The sorted paths of all YAML files.
 */
export function findScenarioFiles(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".yaml"))
    .sort()
    .map((file) => join(folder, file));
}
