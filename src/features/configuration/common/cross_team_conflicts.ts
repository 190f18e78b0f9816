/**
 * Detects conflicts between team documents. An API key may belong to one team
 * only, and call prefixes of different teams must not overlap.
 */

import type { TeamName } from "../../../base/common/ids.ts";
import type { ValidationError } from "../../../services/settings/common/yaml_validation.ts";
import type { TeamDocument } from "./team_document.ts";

/** A team with its parsed document. */
export interface TeamWithDocument {
  readonly team: TeamName;
  readonly document: TeamDocument;
}

/**
 * Finds API keys and call prefixes that another team already uses.
 *
 * @param document - New document of a team.
 * @param others - Documents of all other teams.
 * @returns One validation error for each conflict.
 */
export function findCrossTeamConflicts(
  document: TeamDocument,
  others: readonly TeamWithDocument[],
): ValidationError[] {
  return others.flatMap((other) => [
    ...findDuplicateApiKeys(document, other),
    ...findOverlappingPrefixes(document, other),
  ]);
}

function findDuplicateApiKeys(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): ValidationError[] {
  const otherKeyHashes = new Set(
    Object.values(other.workspaces).flatMap(({ apiKeyHashes }) => apiKeyHashes),
  );
  return Object.entries(document.workspaces).flatMap(
    ([name, { apiKeyHashes }]) =>
      apiKeyHashes.filter((hash) => otherKeyHashes.has(hash)).map(() => ({
        path: `workspaces.${name}.apiKeyHashes`,
        line: 1,
        message: `an API key is already used by team ${team}`,
      })),
  );
}

function findOverlappingPrefixes(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): ValidationError[] {
  const otherPrefixes = getCallPrefixes(other);
  return document.routes.flatMap((route, index) => {
    if (route.kind !== "call") return [];
    const overlapping = otherPrefixes.find((prefix) =>
      doPrefixesOverlap(prefix, route.prefix)
    );
    if (overlapping === undefined) return [];
    return [{
      path: `routes.${index}.prefix`,
      line: 1,
      message: `overlaps with the prefix ${overlapping} of team ${team}`,
    }];
  });
}

function getCallPrefixes({ routes }: TeamDocument): string[] {
  return routes.flatMap((route) => route.kind === "call" ? [route.prefix] : []);
}

function doPrefixesOverlap(left: string, right: string): boolean {
  const [first, second] = [
    ensureTrailingSlash(left),
    ensureTrailingSlash(right),
  ];
  return first.startsWith(second) || second.startsWith(first);
}

function ensureTrailingSlash(prefix: string): string {
  return prefix.endsWith("/") ? prefix : `${prefix}/`;
}
