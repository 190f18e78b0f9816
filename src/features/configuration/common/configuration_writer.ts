/** Writes a team's document to the store, safely against races and lost answers. */

import { asId, type TeamName } from "../../../base/common/ids.ts";
import {
  type Eventually,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { DocumentMistake } from "../../../services/settings/common/checked_yaml.ts";
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

/** A document that is to replace a team's document. */
export interface DocumentChange {
  readonly team: TeamName;
  /** YAML text. */
  readonly text: string;
  /** Revision that the change was made from; 0 for a new team. */
  readonly expectedRevision: number;
  /** Unique id of the change, by which a lost answer is settled. */
  readonly changeId: string;
}

/** Why a change was not accepted. */
export type DocumentChangeFailure =
  | { readonly kind: "mistakes"; readonly mistakes: readonly DocumentMistake[] }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined }
  | { readonly kind: "store"; readonly failure: StoreFailure };

/** A deletion of a team's document. */
export type DocumentDeletion = Omit<DocumentChange, "text">;

/**
 * Writes a change.
 *
 * @param store - The store.
 * @param change - The change.
 * @returns The revision at which it was accepted, or why it was not.
 */
export async function writeDocument(
  store: StoreClient,
  change: DocumentChange,
): Eventually<DocumentChangeFailure, number> {
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
 * Deletes a team's document. The key stays with a mark, so that a daemon that
 * missed the change still learns of it and of its revision.
 *
 * @param store - The store.
 * @param deletion - The deletion.
 * @returns The revision at which it was accepted, or why it was not.
 */
export async function deleteDocument(
  store: StoreClient,
  deletion: DocumentDeletion,
): Eventually<DocumentChangeFailure, number> {
  const header = `${TOMBSTONE_HEADER}${deletion.changeId}\n`;
  return await replaceValue(store, deletion, header, "");
}

async function replaceValue(
  store: StoreClient,
  { team, expectedRevision }: DocumentDeletion,
  header: string,
  text: string,
  document?: TeamDocument,
): Eventually<DocumentChangeFailure, number> {
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

/** Reads back whether a write whose answer was lost took effect. */
async function resolveUnknownWrite(
  store: StoreClient,
  key: string,
  header: string,
  failure: StoreFailure,
): Eventually<DocumentChangeFailure, number> {
  const read = await store.get(key);
  const entry = rightOf(read);
  if (entry?.value.startsWith(header)) return Right(entry.revision);
  return Left({ kind: "store", failure: leftOf(read) ?? failure });
}

/**
 * @param value - Value of a team's key.
 * @returns The document's text without the mark of the change.
 */
export function stripChangeHeader(value: string): string {
  return value.startsWith(CHANGE_HEADER)
    ? value.slice(value.indexOf("\n") + 1)
    : value;
}

/** @returns Whether a value of a team's key says that it has been deleted. */
export function isTombstone(value: string): boolean {
  return value.startsWith(TOMBSTONE_HEADER);
}
