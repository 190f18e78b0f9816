/** The configuration in force: newest revision of each team, with indexes. */

import { Emitter } from "../../../base/common/event.ts";
import type {
  ServiceId,
  TeamName,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type {
  Configuration,
  KnownClass,
  KnownService,
  KnownWorkspace,
  ResolvedRoute,
  TeamRevision,
} from "./configuration.ts";
import { serviceIdOf, teamOf, workspaceIdOf } from "./configuration.ts";
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
  readonly #workspacesByKeyHash = new Map<string, KnownWorkspace>();
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
    const known = this.#teams.get(revision.team);
    if (known && known.revision >= revision.revision) return false;
    this.#dropKeys(known);
    this.#teams.set(revision.team, revision);
    this.#addKeys(revision);
    this.#didChange.fire(revision);
    return true;
  }

  /** {@inheritDoc Configuration.revisions} */
  revisions(): readonly TeamRevision[] {
    return [...this.#teams.values()];
  }

  /** {@inheritDoc Configuration.findWorkspace} */
  findWorkspace(apiKeyHash: string): KnownWorkspace | undefined {
    return this.#workspacesByKeyHash.get(apiKeyHash);
  }

  /** {@inheritDoc Configuration.workspace} */
  workspace(id: WorkspaceId): WorkspaceConfig | undefined {
    const team = teamOf(id);
    return this.#document(team)?.workspaces[id.slice(team.length + 1)];
  }

  /** {@inheritDoc Configuration.findModel} */
  findModel(
    team: TeamName,
    model: string,
  ): ResolvedRoute<GenerationRoute> | undefined {
    const route = this.#document(team)?.routes.find((candidate) =>
      candidate.kind === "generation" && candidate.model === model
    );
    if (route?.kind !== "generation") return undefined;
    return this.#resolve(team, route);
  }

  /** {@inheritDoc Configuration.findCall} */
  findCall(team: TeamName, path: string): ResolvedRoute<CallRoute> | undefined {
    let best: CallRoute | undefined;
    for (const route of this.#document(team)?.routes ?? []) {
      if (route.kind !== "call" || !isUnderPrefix(path, route.prefix)) continue;
      if (!best || route.prefix.length > best.prefix.length) best = route;
    }
    return best && this.#resolve(team, best);
  }

  /** {@inheritDoc Configuration.findClass} */
  findClass(
    team: TeamName,
    allowed: readonly string[],
    wanted: string | undefined,
  ): KnownClass | undefined {
    const name = wanted ?? allowed[0];
    if (name === undefined || !allowed.includes(name)) return undefined;
    const config = this.#document(team)?.classes[name];
    return config && { name, config };
  }

  /** {@inheritDoc Configuration.service} */
  service(id: ServiceId): KnownService | undefined {
    const team = teamOf(id);
    const config = this.#document(team)?.services[id.slice(team.length + 1)];
    return config && { id, config };
  }

  /** {@inheritDoc Configuration.classOf} */
  classOf(id: ServiceId, className: string): ClassConfig | undefined {
    return this.#document(teamOf(id))?.classes[className];
  }

  #document(team: TeamName): TeamDocument | undefined {
    return this.#teams.get(team)?.document;
  }

  #resolve<R extends { readonly service: string }>(
    team: TeamName,
    route: R,
  ): ResolvedRoute<R> | undefined {
    const service = this.service(serviceIdOf(team, route.service));
    return service && { route, service };
  }

  #dropKeys(revision: TeamRevision | undefined): void {
    for (const config of Object.values(revision?.document?.workspaces ?? {})) {
      for (const hash of config.apiKeyHashes) {
        const known = this.#workspacesByKeyHash.get(hash);
        if (known?.team === revision?.team) {
          this.#workspacesByKeyHash.delete(hash);
        }
      }
    }
  }

  #addKeys({ team, document }: TeamRevision): void {
    for (const [name, config] of Object.entries(document?.workspaces ?? {})) {
      const workspace = { id: workspaceIdOf(team, name), team, config };
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
