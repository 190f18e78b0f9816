/**
 * Local replica of the team documents as text, which daemons synchronize with
 * each other. Documents are kept as text so that a daemon can forward a
 * document that its own version cannot parse.
 */

import { Emitter } from "../../../base/common/event.ts";
import type { Hasher } from "../../../base/common/hasher.ts";
import type { TeamName } from "../../../base/common/ids.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import { formatValidationErrors } from "../../../services/settings/common/yaml_validation.ts";
import { TEAM_KEY_PREFIX } from "./configuration.ts";
import type { ConfigurationTable } from "./configuration_table.ts";
import { parseTeamDocument } from "./team_document_parser.ts";

/** The text of a team's document at one revision. */
export interface TeamDocumentText {
  readonly team: TeamName;
  readonly revision: number;
  /** YAML text; `undefined` if the document has been deleted. */
  readonly text: string | undefined;
}

/** A team and a revision of its document, without the text. */
export interface TeamRevisionRef {
  readonly team: TeamName;
  readonly revision: number;
}

/** Dependencies of {@link ConfigurationReplica}. */
export interface ConfigurationReplicaServices {
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly table: ConfigurationTable;
}

/**
 * Holds the newest document text of each team and applies valid documents to
 * the configuration table.
 */
export class ConfigurationReplica {
  readonly #services: ConfigurationReplicaServices;
  readonly #documents = new Map<TeamName, TeamDocumentText>();
  readonly #didChange = new Emitter<TeamDocumentText>();
  #digest = 0;

  /** Fires after a newer document has been stored in the replica. */
  readonly onDidChange = this.#didChange.event;

  /** @param services - Dependencies of the replica. */
  constructor(services: ConfigurationReplicaServices) {
    this.#services = services;
  }

  /** Digest of all revisions; equal on two daemons with the same revisions. */
  get digest(): number {
    return this.#digest;
  }

  /** Whether the configuration has been received from the store or a peer. */
  get isReady(): boolean {
    return this.#services.table.isReady;
  }

  /**
   * Marks the configuration as received from the store or from a ready peer.
   */
  markReady(): void {
    this.#services.table.markReady();
  }

  /** Lists the newest revision of each team, including deleted documents. */
  revisionRefs(): readonly TeamRevisionRef[] {
    return [...this.#documents.values()];
  }

  /** @returns The newest document of a team, if the replica has one. */
  get(team: TeamName): TeamDocumentText | undefined {
    return this.#documents.get(team);
  }

  /** @returns Whether a revision is newer than the one in the replica. */
  isOutdatedBy({ team, revision }: TeamRevisionRef): boolean {
    return revision > (this.#documents.get(team)?.revision ?? 0);
  }

  /**
   * Stores and applies a document if it is newer than the one in the replica;
   * an older document is ignored.
   *
   * @param candidate - The received document.
   * @returns Whether the document was newer.
   */
  applyIfNewer(candidate: TeamDocumentText): boolean {
    if (!this.isOutdatedBy(candidate)) return false;
    const current = this.#documents.get(candidate.team);
    if (current) this.#toggleDigest(current);
    this.#documents.set(candidate.team, candidate);
    this.#toggleDigest(candidate);
    this.#activate(candidate);
    this.#didChange.fire(candidate);
    return true;
  }

  #toggleDigest({ team, revision }: TeamRevisionRef): void {
    const hash = this.#services.hasher.hash32(`${team}|${revision}`);
    this.#digest = (this.#digest ^ hash) >>> 0;
  }

  /**
   * Applies a document to the table. A document that this version cannot parse
   * is logged, and stays in the replica so that it still reaches the peers.
   */
  #activate({ team, revision, text }: TeamDocumentText): void {
    const { table, logger } = this.#services;
    if (text === undefined) {
      table.apply({ team, revision, document: undefined });
      logger.log("info", "config-deleted", { team, revision });
      return;
    }
    parseTeamDocument(text).caseOf({
      Left: (mistakes) => {
        const detail = formatValidationErrors(TEAM_KEY_PREFIX + team, mistakes);
        logger.log("error", "config-document-refused", { detail });
      },
      Right: (document) => {
        table.apply({ team, revision, document });
        logger.log("info", "config-in-force", { team, revision });
      },
    });
  }
}
