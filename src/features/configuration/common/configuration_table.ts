/** The configuration in force: newest revision of each team, with indexes. */

import { Emitter } from "../../../base/common/event.ts";
import type {
  ServiceId,
  TeamName,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type {
  Configuration,
  ResolvedClass,
  ResolvedRoute,
  ResolvedService,
  ResolvedWorkspace,
  TeamRevision,
} from "./configuration.ts";
import { getTeamName, toServiceId, toWorkspaceId } from "./configuration.ts";
import type {
  CallRoute,
  ClassConfig,
  GenerationRoute,
  TeamDocument,
  WorkspaceConfig,
} from "./team_document.ts";

/** Applies revisions of teams; an older revision never replaces a newer one. */
export class ConfigurationTable implements Configuration {
  readonly #teams = new Map<TeamName, TeamRevision>();
  readonly #workspacesByKeyHash = new Map<string, ResolvedWorkspace>();
  readonly #didChange = new Emitter<TeamRevision>();
  #isReady = false;

  /** {@inheritDoc Configuration.onDidChangeConfiguration} */
  readonly onDidChangeConfiguration = this.#didChange.event;

  /** {@inheritDoc Configuration.isReady} */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Says that the store or a peer has been heard. */
  markReady(): void {
    this.#isReady = true;
  }

  /**
   * Puts a team's revision in force.
   *
   * @param revision - The team's document, or its deletion.
   * @returns Whether it was newer than what was in force.
   */
  apply(revision: TeamRevision): boolean {
    const current = this.#teams.get(revision.team);
    if (current && current.revision >= revision.revision) return false;
    this.#removeApiKeys(current);
    this.#teams.set(revision.team, revision);
    this.#addApiKeys(revision);
    this.#didChange.fire(revision);
    return true;
  }

  /** {@inheritDoc Configuration.revisions} */
  revisions(): readonly TeamRevision[] {
    return [...this.#teams.values()];
  }

  /** {@inheritDoc Configuration.findWorkspaceByKeyHash} */
  findWorkspaceByKeyHash(apiKeyHash: string): ResolvedWorkspace | undefined {
    return this.#workspacesByKeyHash.get(apiKeyHash);
  }

  /** {@inheritDoc Configuration.findWorkspaceConfig} */
  findWorkspaceConfig(id: WorkspaceId): WorkspaceConfig | undefined {
    const team = getTeamName(id);
    return this.#getDocument(team)?.workspaces[id.slice(team.length + 1)];
  }

  /** {@inheritDoc Configuration.findGenerationRoute} */
  findGenerationRoute(
    team: TeamName,
    model: string,
  ): ResolvedRoute<GenerationRoute> | undefined {
    const route = this.#getDocument(team)?.routes.find((candidate) =>
      candidate.kind === "generation" && candidate.model === model
    );
    if (route?.kind !== "generation") return undefined;
    return this.#resolveRoute(team, route);
  }

  /** {@inheritDoc Configuration.findCallRoute} */
  findCallRoute(
    team: TeamName,
    path: string,
  ): ResolvedRoute<CallRoute> | undefined {
    let match: CallRoute | undefined;
    for (const route of this.#getDocument(team)?.routes ?? []) {
      if (route.kind !== "call" || !isUnderPrefix(path, route.prefix)) continue;
      if (!match || route.prefix.length > match.prefix.length) match = route;
    }
    return match && this.#resolveRoute(team, match);
  }

  /** {@inheritDoc Configuration.resolveClass} */
  resolveClass(
    team: TeamName,
    allowed: readonly string[],
    requested: string | undefined,
  ): ResolvedClass | undefined {
    const name = requested ?? allowed[0];
    if (name === undefined || !allowed.includes(name)) return undefined;
    const config = this.#getDocument(team)?.classes[name];
    return config && { name, config };
  }

  /** {@inheritDoc Configuration.findService} */
  findService(id: ServiceId): ResolvedService | undefined {
    const team = getTeamName(id);
    const config = this.#getDocument(team)?.services[id.slice(team.length + 1)];
    return config && { id, config };
  }

  /** {@inheritDoc Configuration.findClassOfService} */
  findClassOfService(
    id: ServiceId,
    className: string,
  ): ClassConfig | undefined {
    return this.#getDocument(getTeamName(id))?.classes[className];
  }

  #getDocument(team: TeamName): TeamDocument | undefined {
    return this.#teams.get(team)?.document;
  }

  #resolveRoute<R extends { readonly service: string }>(
    team: TeamName,
    route: R,
  ): ResolvedRoute<R> | undefined {
    const service = this.findService(toServiceId(team, route.service));
    return service && { route, service };
  }

  #removeApiKeys(revision: TeamRevision | undefined): void {
    for (const config of Object.values(revision?.document?.workspaces ?? {})) {
      for (const hash of config.apiKeyHashes) {
        const owner = this.#workspacesByKeyHash.get(hash);
        if (owner?.team === revision?.team) {
          this.#workspacesByKeyHash.delete(hash);
        }
      }
    }
  }

  #addApiKeys({ team, document }: TeamRevision): void {
    for (const [name, config] of Object.entries(document?.workspaces ?? {})) {
      const workspace = { id: toWorkspaceId(team, name), team, config };
      for (const hash of config.apiKeyHashes) {
        this.#workspacesByKeyHash.set(hash, workspace);
      }
    }
  }
}

/** Whether a path lies under a prefix, on the border of a segment. */
function isUnderPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  const next = path[prefix.length];
  return prefix.endsWith("/") || next === undefined || next === "/" ||
    next === "?";
}
