/** History of the team documents: earlier revisions, kept in the store. */

import type { TeamName } from "../../../base/common/ids.ts";
import { type AsyncEither, rightOf } from "../../../base/common/result.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";

const HISTORY_KEY_PREFIX = "config/history/";
const REVISION_DIGITS = 16;

/** Number of revisions kept for each team in addition to the active one. */
export const MAX_HISTORY_REVISIONS = 20;

/** An earlier revision of a team's document. */
export interface HistoryRevision {
  readonly revision: number;
  /** Stored value, including its change header or tombstone header. */
  readonly value: string;
}

/**
 * Copies the current value to the history before it is replaced, so that no
 * revision is lost if the writer crashes between the two writes. The operation
 * is idempotent.
 *
 * @param store - The store.
 * @param team - The team that owns the document.
 * @param entry - Current entry of the team's key.
 * @returns A failure if the value may not have been saved.
 */
export async function saveToHistory(
  store: StoreClient,
  team: TeamName,
  entry: StoreEntry,
): AsyncEither<StoreFailure, void> {
  const digits = String(entry.revision).padStart(REVISION_DIGITS, "0");
  const written = await store.put({
    key: `${toHistoryPrefix(team)}${digits}`,
    value: entry.value,
    expectedRevision: 0,
  });
  return written.map(() => undefined);
}

/**
 * Reads the history of a team's document.
 *
 * @param store - The store.
 * @param team - The team that owns the document.
 * @returns The earlier revisions in the history, newest first.
 */
export async function readHistory(
  store: StoreClient,
  team: TeamName,
): AsyncEither<StoreFailure, readonly HistoryRevision[]> {
  const listing = await store.list(toHistoryPrefix(team));
  return listing.map(({ entries }) =>
    entries.map(({ key, value }) => ({ revision: parseRevision(key), value }))
      .sort((left, right) => right.revision - left.revision)
  );
}

/** Deletes the oldest revisions beyond {@link MAX_HISTORY_REVISIONS}. */
export async function pruneHistory(
  store: StoreClient,
  team: TeamName,
): Promise<void> {
  const listing = rightOf(await store.list(toHistoryPrefix(team)));
  const sorted = [...listing?.entries ?? []]
    .sort((left, right) => parseRevision(right.key) - parseRevision(left.key));
  for (const { key, revision } of sorted.slice(MAX_HISTORY_REVISIONS)) {
    await store.delete({ key, expectedRevision: revision });
  }
}

function toHistoryPrefix(team: TeamName): string {
  return `${HISTORY_KEY_PREFIX}${team}/`;
}

function parseRevision(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}
