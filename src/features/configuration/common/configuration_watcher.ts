/** Follows the teams' documents in the store. */

import { type Clock } from "../../../base/common/clock.ts";
import { asId, type TeamName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  NO_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { Logger } from "../../../platform/log/common/logger.ts";
import {
  type DocumentMistake,
  formatMistakes,
  parseCheckedYaml,
} from "../../../platform/settings/common/checked_yaml.ts";
import type {
  StoreChange,
  StoreClient,
} from "../../../platform/store/common/store_client.ts";
import { TEAM_KEY_PREFIX, type TeamRevision } from "./configuration.ts";
import type { ConfigurationTable } from "./configuration_table.ts";
import { type TeamDocument, teamDocumentSchema } from "./team_document.ts";

const RETRY_DELAY_MS = 1_000;

/** What the watcher works with. */
export interface ConfigurationWatcherServices {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly logger: Logger;
  readonly table: ConfigurationTable;
}

/** Lists and watches the store, again and again, until disposed. */
export class ConfigurationWatcher implements Disposable {
  readonly #services: ConfigurationWatcherServices;
  readonly #owned = new DisposableStore();
  #current: Disposable = NO_DISPOSABLE;

  /** @param services - Where documents come from and go to. */
  constructor(services: ConfigurationWatcherServices) {
    this.#services = services;
  }

  /** Starts to follow the store. */
  start(): void {
    void this.#listThenWatch();
  }

  /** Stops following. */
  dispose(): void {
    this.#owned.dispose();
    this.#current.dispose();
  }

  async #listThenWatch(): Promise<void> {
    const { store, table, logger } = this.#services;
    const listing = await store.list(TEAM_KEY_PREFIX);
    if (this.#owned.isDisposed) return;
    listing.caseOf({
      Left: (failure) => {
        logger.log("warn", "config-list-failed", { detail: failure.detail });
        this.#retryLater();
      },
      Right: ({ entries, revision }) => {
        for (const entry of entries) this.#applyChange({ kind: "put", entry });
        table.markReady();
        this.#watch(revision);
      },
    });
  }

  #watch(afterRevision: number): void {
    const { store, logger } = this.#services;
    this.#current = store.watch(TEAM_KEY_PREFIX, afterRevision, {
      onChanges: (changes) =>
        changes.forEach((change) => this.#applyChange(change)),
      onEnded: (reason) => {
        logger.log("warn", "config-watch-ended", { reason });
        this.#retryLater();
      },
    });
  }

  #retryLater(): void {
    if (this.#owned.isDisposed) return;
    const { clock } = this.#services;
    this.#current = clock.setTimer(
      RETRY_DELAY_MS,
      () => void this.#listThenWatch(),
    );
  }

  #applyChange(change: StoreChange): void {
    const { table, logger } = this.#services;
    const revision = toTeamRevision(change);
    revision.caseOf({
      Left: (detail) =>
        logger.log("error", "config-document-refused", { detail }),
      Right: (value) => {
        if (!table.apply(value)) return;
        logger.log("info", "config-in-force", {
          team: value.team,
          revision: value.revision,
        });
      },
    });
  }
}

/**
 * Parses a team's document.
 *
 * @param text - YAML text.
 * @returns The document, or all its mistakes.
 */
export function parseTeamDocument(
  text: string,
): Either<readonly DocumentMistake[], TeamDocument> {
  return parseCheckedYaml<TeamDocument>(text, teamDocumentSchema);
}

function toTeamRevision(change: StoreChange): Either<string, TeamRevision> {
  const key = change.kind === "put" ? change.entry.key : change.key;
  const team = asId<TeamName>(key.slice(TEAM_KEY_PREFIX.length));
  if (change.kind === "delete") {
    return Right({ team, revision: change.revision, document: undefined });
  }
  const { value, revision } = change.entry;
  return parseTeamDocument(value).caseOf<Either<string, TeamRevision>>({
    Left: (mistakes) => Left(formatMistakes(key, mistakes)),
    Right: (document) => Right({ team, revision, document }),
  });
}
