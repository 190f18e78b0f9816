/** Earlier revisions of a team's document, kept in the store. */

import type { TeamName } from "../../../base/common/ids.ts";
import { type Eventually, rightOf } from "../../../base/common/result.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";

const HISTORY_KEY_PREFIX = "config/history/";
const REVISION_DIGITS = 16;

/** Revisions that are kept of each team, besides the one in force. */
export const MAX_HISTORY_REVISIONS = 20;

/** A revision that has been replaced. */
export interface HistoryRevision {
  readonly revision: number;
  /** The store's value, with the mark of its change. */
  readonly value: string;
}

/**
 * Keeps a value before it is replaced, so that no revision is lost when the
 * writer dies between the two writes. Keeping one twice does nothing.
 *
 * @param store - The store.
 * @param team - The team.
 * @param entry - The value that is to be replaced.
 * @returns A failure when it is not certain that the value is kept.
 */
export async function saveToHistory(
  store: StoreClient,
  team: TeamName,
  entry: StoreEntry,
): Eventually<StoreFailure, void> {
  const digits = String(entry.revision).padStart(REVISION_DIGITS, "0");
  const written = await store.put({
    key: `${toHistoryPrefix(team)}${digits}`,
    value: entry.value,
    expectedRevision: 0,
  });
  return written.map(() => undefined);
}

/**
 * @param store - The store.
 * @param team - The team.
 * @returns The replaced revisions that are kept, the newest first.
 */
export async function readHistory(
  store: StoreClient,
  team: TeamName,
): Eventually<StoreFailure, readonly HistoryRevision[]> {
  const listing = await store.list(toHistoryPrefix(team));
  return listing.map(({ entries }) =>
    entries.map(({ key, value }) => ({ revision: parseRevision(key), value }))
      .sort((left, right) => right.revision - left.revision)
  );
}

/** Deletes the oldest revisions beyond the number that is kept. */
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
