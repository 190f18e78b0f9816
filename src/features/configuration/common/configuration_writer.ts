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
  findForeignClaims,
  type TeamWithDocument,
} from "./configuration_claims.ts";
import { keepReplaced, pruneHistory } from "./configuration_history.ts";
import type { TeamDocument } from "./team_document.ts";
import { parseTeamDocument } from "./team_document_parser.ts";

const CHANGE_MARK = "# change: ";
const DELETION_MARK = "# deleted: ";

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
export type ChangeFailure =
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
export async function writeChange(
  store: StoreClient,
  change: DocumentChange,
): Eventually<ChangeFailure, number> {
  const parsed = parseTeamDocument(change.text);
  const mistakes = leftOf(parsed);
  if (mistakes) return Left({ kind: "mistakes", mistakes });
  const mark = `${CHANGE_MARK}${change.changeId}\n`;
  return await replace(store, change, mark, change.text, rightOf(parsed)!);
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
): Eventually<ChangeFailure, number> {
  const mark = `${DELETION_MARK}${deletion.changeId}\n`;
  return await replace(store, deletion, mark, "");
}

async function replace(
  store: StoreClient,
  { team, expectedRevision }: DocumentDeletion,
  mark: string,
  text: string,
  document?: TeamDocument,
): Eventually<ChangeFailure, number> {
  const key = `${TEAM_KEY_PREFIX}${team}`;
  const listing = await store.list(TEAM_KEY_PREFIX);
  const unread = leftOf(listing);
  if (unread) return Left({ kind: "store", failure: unread });
  const { entries } = rightOf(listing)!;
  const current = entries.find((entry) => entry.key === key);
  if ((current?.revision ?? 0) !== expectedRevision) {
    return Left({ kind: "conflict", current });
  }
  const mistakes = document
    ? findForeignClaims(document, documentsOf(entries, key))
    : [];
  if (mistakes.length > 0) return Left({ kind: "mistakes", mistakes });
  const kept = current && await keepReplaced(store, team, current);
  const unkept = kept && leftOf(kept);
  if (unkept) return Left({ kind: "store", failure: unkept });
  const value = mark + text;
  const written = await store.put({ key, value, expectedRevision });
  const failure = leftOf(written);
  if (failure?.kind === "unknown") {
    return await settle(store, key, mark, failure);
  }
  if (failure) return Left({ kind: "store", failure });
  const result = rightOf(written)!;
  if (result.kind === "conflict") {
    return Left({ kind: "conflict", current: result.current });
  }
  if (current) await pruneHistory(store, team);
  return Right(result.revision);
}

function documentsOf(
  entries: readonly StoreEntry[],
  exceptKey: string,
): TeamWithDocument[] {
  return entries.flatMap(({ key, value }) => {
    const document = key === exceptKey || isDeletionMark(value)
      ? undefined
      : rightOf(parseTeamDocument(value));
    const team = asId<TeamName>(key.slice(TEAM_KEY_PREFIX.length));
    return document ? [{ team, document }] : [];
  });
}

/** Reads back whether a write whose answer was lost took effect. */
async function settle(
  store: StoreClient,
  key: string,
  mark: string,
  failure: StoreFailure,
): Eventually<ChangeFailure, number> {
  const read = await store.get(key);
  const entry = rightOf(read);
  if (entry?.value.startsWith(mark)) return Right(entry.revision);
  return Left({ kind: "store", failure: leftOf(read) ?? failure });
}

/**
 * @param value - Value of a team's key.
 * @returns The document's text without the mark of the change.
 */
export function documentText(value: string): string {
  return value.startsWith(CHANGE_MARK)
    ? value.slice(value.indexOf("\n") + 1)
    : value;
}

/** @returns Whether a value of a team's key says that it has been deleted. */
export function isDeletionMark(value: string): boolean {
  return value.startsWith(DELETION_MARK);
}
