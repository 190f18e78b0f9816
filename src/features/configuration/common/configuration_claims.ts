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
export function findForeignClaims(
  document: TeamDocument,
  others: readonly TeamWithDocument[],
): DocumentMistake[] {
  return others.flatMap((other) => [
    ...findSharedKeys(document, other),
    ...findSharedPrefixes(document, other),
  ]);
}

function findSharedKeys(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): DocumentMistake[] {
  const taken = new Set(
    Object.values(other.workspaces).flatMap(({ apiKeyHashes }) => apiKeyHashes),
  );
  return Object.entries(document.workspaces).flatMap(
    ([name, { apiKeyHashes }]) =>
      apiKeyHashes.filter((hash) => taken.has(hash)).map(() => ({
        path: `workspaces.${name}.apiKeyHashes`,
        line: 1,
        message: `an API key belongs to team ${team} already`,
      })),
  );
}

function findSharedPrefixes(
  document: TeamDocument,
  { team, document: other }: TeamWithDocument,
): DocumentMistake[] {
  const taken = prefixesOf(other);
  return document.routes.flatMap((route, index) => {
    if (route.kind !== "call") return [];
    const claimed = taken.find((prefix) => overlap(prefix, route.prefix));
    if (claimed === undefined) return [];
    return [{
      path: `routes.${index}.prefix`,
      line: 1,
      message: `team ${team} has claimed ${claimed} already`,
    }];
  });
}

function prefixesOf({ routes }: TeamDocument): string[] {
  return routes.flatMap((route) => route.kind === "call" ? [route.prefix] : []);
}

function overlap(left: string, right: string): boolean {
  const [first, second] = [withSlash(left), withSlash(right)];
  return first.startsWith(second) || second.startsWith(first);
}

function withSlash(prefix: string): string {
  return prefix.endsWith("/") ? prefix : `${prefix}/`;
}
