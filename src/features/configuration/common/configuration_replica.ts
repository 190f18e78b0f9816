/** The teams' documents as text, as they are passed on between daemons. */

import { Emitter } from "../../../base/common/event.ts";
import type { Hasher } from "../../../base/common/hasher.ts";
import type { TeamName } from "../../../base/common/ids.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import { formatMistakes } from "../../../services/settings/common/checked_yaml.ts";
import { TEAM_KEY_PREFIX } from "./configuration.ts";
import type { ConfigurationTable } from "./configuration_table.ts";
import { parseTeamDocument } from "./team_document_parser.ts";

/** One team's document as text. */
export interface TeamDocumentText {
  readonly team: TeamName;
  readonly revision: number;
  /** YAML text; `undefined` when the document has been deleted. */
  readonly text: string | undefined;
}

/** A team with its revision. */
export interface TeamRevisionRef {
  readonly team: TeamName;
  readonly revision: number;
}

/** What the replica works with. */
export interface ConfigurationReplicaServices {
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly table: ConfigurationTable;
}

/** Newest text of each team; valid ones are put in force in the table. */
export class ConfigurationReplica {
  readonly #services: ConfigurationReplicaServices;
  readonly #texts = new Map<TeamName, TeamDocumentText>();
  readonly #didChange = new Emitter<TeamDocumentText>();
  #digest = 0;

  /** Fires after a newer text was taken. */
  readonly onDidChange = this.#didChange.event;

  /** @param services - Where texts are put in force. */
  constructor(services: ConfigurationReplicaServices) {
    this.#services = services;
  }

  /** Equal at two daemons that hold the same revisions. */
  get digest(): number {
    return this.#digest;
  }

  /** Whether the configuration has been heard from the store or a peer. */
  get isReady(): boolean {
    return this.#services.table.isReady;
  }

  /** Says that the store, or a peer that is ready, has been heard. */
  markReady(): void {
    this.#services.table.markReady();
  }

  /** Teams with their revisions, deleted ones included. */
  revisionRefs(): readonly TeamRevisionRef[] {
    return [...this.#texts.values()];
  }

  /** @returns The text that is held for a team. */
  get(team: TeamName): TeamDocumentText | undefined {
    return this.#texts.get(team);
  }

  /** @returns Whether a revision is newer than what is held. */
  isOutdatedBy({ team, revision }: TeamRevisionRef): boolean {
    return revision > (this.#texts.get(team)?.revision ?? 0);
  }

  /**
   * Takes a text when it is newer than the one that is held; an older one is
   * never taken.
   *
   * @returns Whether it was newer.
   */
  applyIfNewer(candidate: TeamDocumentText): boolean {
    if (!this.isOutdatedBy(candidate)) return false;
    const current = this.#texts.get(candidate.team);
    if (current) this.#toggleDigest(current);
    this.#texts.set(candidate.team, candidate);
    this.#toggleDigest(candidate);
    this.#activate(candidate);
    this.#didChange.fire(candidate);
    return true;
  }

  #toggleDigest({ team, revision }: TeamRevisionRef): void {
    const hash = this.#services.hasher.hash32(`${team}|${revision}`);
    this.#digest = (this.#digest ^ hash) >>> 0;
  }

  /** A text that this version cannot read is kept and passed on all the same. */
  #activate({ team, revision, text }: TeamDocumentText): void {
    const { table, logger } = this.#services;
    if (text === undefined) {
      table.apply({ team, revision, document: undefined });
      logger.log("info", "config-deleted", { team, revision });
      return;
    }
    parseTeamDocument(text).caseOf({
      Left: (mistakes) => {
        const detail = formatMistakes(TEAM_KEY_PREFIX + team, mistakes);
        logger.log("error", "config-document-refused", { detail });
      },
      Right: (document) => {
        table.apply({ team, revision, document });
        logger.log("info", "config-in-force", { team, revision });
      },
    });
  }
}
