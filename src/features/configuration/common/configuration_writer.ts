/**
 * Writes team documents to the store. Each write is a compare-and-swap, so that
 * concurrent changes are detected. The value starts with a header line that
 * contains the id of the change, by which the outcome of a write is determined
 * if its answer is lost.
 */

import { asId, type TeamName } from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { ValidationError } from "../../../services/settings/common/yaml_validation.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";
import { TEAM_KEY_PREFIX } from "./configuration.ts";
import {
  findCrossTeamConflicts,
  type TeamWithDocument,
} from "./cross_team_conflicts.ts";
import { pruneHistory, saveToHistory } from "./configuration_history.ts";
import type { TeamDocument } from "./team_document.ts";
import { parseTeamDocument } from "./team_document_parser.ts";

const CHANGE_HEADER = "# change: ";
const TOMBSTONE_HEADER = "# deleted: ";

/** A new version of a team's document. */
export interface DocumentChange {
  readonly team: TeamName;
  /** YAML text. */
  readonly text: string;
  /** Revision that the change is based on; 0 for a new team. */
  readonly expectedRevision: number;
  /**
   * Unique id of the change, which identifies the write if its answer is lost.
   */
  readonly changeId: string;
}

/** Reason why a change was rejected. */
export type DocumentChangeFailure =
  | { readonly kind: "mistakes"; readonly mistakes: readonly ValidationError[] }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined }
  | { readonly kind: "store"; readonly failure: StoreFailure };

/** Deletion of a team's document. */
export type DocumentDeletion = Omit<DocumentChange, "text">;

/**
 * Validates and writes a new version of a team's document.
 *
 * @param store - The store.
 * @param change - The new version.
 * @returns The store revision of the write, or the reason for the rejection.
 */
export async function writeDocument(
  store: StoreClient,
  change: DocumentChange,
): AsyncEither<DocumentChangeFailure, number> {
  const parsed = parseTeamDocument(change.text);
  const mistakes = leftOf(parsed);
  if (mistakes) return Left({ kind: "mistakes", mistakes });
  const header = `${CHANGE_HEADER}${change.changeId}\n`;
  return await replaceValue(
    store,
    change,
    header,
    change.text,
    rightOf(parsed)!,
  );
}

/**
 * Deletes a team's document by replacing it with a tombstone. The key is kept
 * so that a daemon that missed the change still receives the deletion and its
 * revision.
 *
 * @param store - The store.
 * @param deletion - The deletion.
 * @returns The store revision of the write, or the reason for the rejection.
 */
export async function deleteDocument(
  store: StoreClient,
  deletion: DocumentDeletion,
): AsyncEither<DocumentChangeFailure, number> {
  const header = `${TOMBSTONE_HEADER}${deletion.changeId}\n`;
  return await replaceValue(store, deletion, header, "");
}

async function replaceValue(
  store: StoreClient,
  { team, expectedRevision }: DocumentDeletion,
  header: string,
  text: string,
  document?: TeamDocument,
): AsyncEither<DocumentChangeFailure, number> {
  const key = `${TEAM_KEY_PREFIX}${team}`;
  const listing = await store.list(TEAM_KEY_PREFIX);
  const listFailure = leftOf(listing);
  if (listFailure) return Left({ kind: "store", failure: listFailure });
  const { entries } = rightOf(listing)!;
  const current = entries.find((entry) => entry.key === key);
  if ((current?.revision ?? 0) !== expectedRevision) {
    return Left({ kind: "conflict", current });
  }
  const mistakes = document
    ? findCrossTeamConflicts(document, parseOtherDocuments(entries, key))
    : [];
  if (mistakes.length > 0) return Left({ kind: "mistakes", mistakes });
  const saved = current && await saveToHistory(store, team, current);
  const historyFailure = saved && leftOf(saved);
  if (historyFailure) return Left({ kind: "store", failure: historyFailure });
  const value = header + text;
  const written = await store.put({ key, value, expectedRevision });
  const failure = leftOf(written);
  if (failure?.kind === "unknown") {
    return await resolveUnknownWrite(store, key, header, failure);
  }
  if (failure) return Left({ kind: "store", failure });
  const result = rightOf(written)!;
  if (result.kind === "conflict") {
    return Left({ kind: "conflict", current: result.current });
  }
  if (current) await pruneHistory(store, team);
  return Right(result.revision);
}

function parseOtherDocuments(
  entries: readonly StoreEntry[],
  excludedKey: string,
): TeamWithDocument[] {
  return entries.flatMap(({ key, value }) => {
    const document = key === excludedKey || isTombstone(value)
      ? undefined
      : rightOf(parseTeamDocument(value));
    const team = asId<TeamName>(key.slice(TEAM_KEY_PREFIX.length));
    return document ? [{ team, document }] : [];
  });
}

/**
 * Reads the key back to determine whether a write without an answer succeeded.
 */
async function resolveUnknownWrite(
  store: StoreClient,
  key: string,
  header: string,
  failure: StoreFailure,
): AsyncEither<DocumentChangeFailure, number> {
  const read = await store.get(key);
  const entry = rightOf(read);
  if (entry?.value.startsWith(header)) return Right(entry.revision);
  return Left({ kind: "store", failure: leftOf(read) ?? failure });
}

/**
 * Removes the change header from a stored value.
 *
 * @param value - Stored value of a team's key.
 * @returns The text of the document.
 */
export function stripChangeHeader(value: string): string {
  return value.startsWith(CHANGE_HEADER)
    ? value.slice(value.indexOf("\n") + 1)
    : value;
}

/** @returns Whether a stored value marks the team's document as deleted. */
export function isTombstone(value: string): boolean {
  return value.startsWith(TOMBSTONE_HEADER);
}
