/** Parser of team documents. */

import type { Either } from "../../../base/common/result.ts";
import {
  parseAndValidateYaml,
  type ValidationError,
} from "../../../services/settings/common/yaml_validation.ts";
import { type TeamDocument, teamDocumentSchema } from "./team_document.ts";

/**
 * Parses and validates a team's document.
 *
 * @param text - YAML text.
 * @returns The document, or all validation errors.
 */
export function parseTeamDocument(
  text: string,
): Either<readonly ValidationError[], TeamDocument> {
  return parseAndValidateYaml<TeamDocument>(text, teamDocumentSchema);
}
