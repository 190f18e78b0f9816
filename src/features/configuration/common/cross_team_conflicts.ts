/** What only one team may claim: API keys and prefixes of paths. */

import type { TeamName } from "../../../base/common/ids.ts";
import type { DocumentMistake } from "../../../services/settings/common/checked_yaml.ts";
import type { TeamDocument } from "./team_document.ts";

/** A team with its valid document. */
export interface TeamWithDocument {
  readonly team: TeamName;
  readonly document: TeamDocument;
}

/**
 * @param document - A team's new document.
 * @param others - The documents of the other teams.
 * @returns One mistake for each claim that another team has made already.
 */
export function findCrossTeamConflicts(
  document: TeamDocument,
  others: readonly TeamWithDocument[],
): DocumentMistake[] {
  return others.flatMap((other) => [
    ...findDuplicateApiKeys(document, other),
    ...findOverlappingPrefixes(document, other),
  ]);
}

function findDuplicateApiKeys(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): DocumentMistake[] {
  const otherKeyHashes = new Set(
    Object.values(other.workspaces).flatMap(({ apiKeyHashes }) => apiKeyHashes),
  );
  return Object.entries(document.workspaces).flatMap(
    ([name, { apiKeyHashes }]) =>
      apiKeyHashes.filter((hash) => otherKeyHashes.has(hash)).map(() => ({
        path: `workspaces.${name}.apiKeyHashes`,
        line: 1,
        message: `an API key belongs to team ${team} already`,
      })),
  );
}

function findOverlappingPrefixes(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): DocumentMistake[] {
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
      message: `team ${team} has claimed ${overlapping} already`,
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
