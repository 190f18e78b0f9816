/** Writes a team's document to the store, safely against races and lost answers. */

import type { TeamName } from "../../../base/common/ids.ts";
import {
  type Eventually,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { DocumentMistake } from "../../../platform/settings/common/checked_yaml.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../platform/store/common/store_client.ts";
import { TEAM_KEY_PREFIX } from "./configuration.ts";
import { parseTeamDocument } from "./configuration_watcher.ts";

const CHANGE_MARK = "# change: ";

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
  const mistakes = leftOf(parseTeamDocument(change.text));
  if (mistakes) return Left({ kind: "mistakes", mistakes });
  const key = `${TEAM_KEY_PREFIX}${change.team}`;
  const mark = `${CHANGE_MARK}${change.changeId}\n`;
  const written = await store.put({
    key,
    value: mark + change.text,
    expectedRevision: change.expectedRevision,
  });
  const failure = leftOf(written);
  if (failure?.kind === "unknown") {
    return await settle(store, key, mark, failure);
  }
  if (failure) return Left({ kind: "store", failure });
  const result = rightOf(written)!;
  if (result.kind === "written") return Right(result.revision);
  return Left({ kind: "conflict", current: result.current });
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
