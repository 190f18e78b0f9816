/** Parser of team documents. */

import type { Either } from "../../../base/common/result.ts";
import {
  type DocumentMistake,
  parseCheckedYaml,
} from "../../../services/settings/common/checked_yaml.ts";
import { type TeamDocument, teamDocumentSchema } from "./team_document.ts";

/**
 * Parses and validates a team's document.
 *
 * @param text - YAML text.
 * @returns The document, or all validation errors.
 */
export function parseTeamDocument(
  text: string,
): Either<readonly DocumentMistake[], TeamDocument> {
  return parseCheckedYaml<TeamDocument>(text, teamDocumentSchema);
}
