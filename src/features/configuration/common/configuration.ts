/** Contract of the configuration in force, and the look-ups that requests need. */

import type { Event } from "../../../base/common/event.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  TeamName,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import { asId } from "../../../base/common/ids.ts";
import type {
  CallRoute,
  ClassConfig,
  GenerationRoute,
  ServiceConfig,
  TeamDocument,
  WorkspaceConfig,
} from "./team_document.ts";

/** Start of the store's keys of the teams' documents. */
export const TEAM_KEY_PREFIX = "config/teams/";

/** One team's document at one revision of the store. */
export interface TeamRevision {
  readonly team: TeamName;
  readonly revision: number;
  /** `undefined` when the team's document has been deleted. */
  readonly document: TeamDocument | undefined;
}

/** A workspace with its team. */
export interface ResolvedWorkspace {
  readonly id: WorkspaceId;
  readonly team: TeamName;
  readonly config: WorkspaceConfig;
}

/** A service with its name. */
export interface ResolvedService {
  readonly id: ServiceId;
  readonly config: ServiceConfig;
}

/** A route with what it leads to. */
export interface ResolvedRoute<R> {
  readonly route: R;
  readonly service: ResolvedService;
}

/** A class that a request was put in. */
export interface ResolvedClass {
  readonly name: string;
  readonly config: ClassConfig;
}

/** The configuration in force at this daemon. */
export interface Configuration {
  /** Fires after a team's document came into force. */
  readonly onDidChangeConfiguration: Event<TeamRevision>;
  /** Whether the configuration has been heard from the store or a peer. */
  readonly isReady: boolean;
  /** Revisions in force, deleted teams included. */
  revisions(): readonly TeamRevision[];
  /** @returns The workspace of an API key, by the key's SHA-256. */
  findWorkspaceByKeyHash(apiKeyHash: string): ResolvedWorkspace | undefined;
  /** @returns The workspace by its id. */
  findWorkspaceConfig(id: WorkspaceId): WorkspaceConfig | undefined;
  /** @returns The route for a model. */
  findGenerationRoute(
    team: TeamName,
    model: string,
  ): ResolvedRoute<GenerationRoute> | undefined;
  /** @returns The route with the longest prefix that fits a path. */
  findCallRoute(
    team: TeamName,
    path: string,
  ): ResolvedRoute<CallRoute> | undefined;
  /**
   * @param requested - Class that the caller asks for, if any.
   * @returns The class, or `undefined` when the route does not allow it.
   */
  resolveClass(
    team: TeamName,
    allowed: readonly string[],
    requested: string | undefined,
  ): ResolvedClass | undefined;
  /** @returns The service by its id. */
  findService(id: ServiceId): ResolvedService | undefined;
  /** @returns The class of a service's team by name. */
  findClassOfService(id: ServiceId, className: string): ClassConfig | undefined;
}

/**
 * @param team - The team.
 * @param name - Name within the team.
 * @returns The id of the team's service.
 */
export function toServiceId(team: TeamName, name: string): ServiceId {
  return asId<ServiceId>(`${team}/${name}`);
}

/**
 * @param team - The team.
 * @param name - Name within the team.
 * @returns The id of the team's workspace.
 */
export function toWorkspaceId(team: TeamName, name: string): WorkspaceId {
  return asId<WorkspaceId>(`${team}/${name}`);
}

/**
 * @param id - A service or a workspace.
 * @returns The team that it belongs to.
 */
export function getTeamName(id: ServiceId | WorkspaceId): TeamName {
  return asId<TeamName>(id.slice(0, id.indexOf("/")));
}

/**
 * @param service - The service.
 * @param id - Name of the endpoint.
 * @returns The endpoint's configuration.
 */
export function findEndpointConfig(
  service: ResolvedService,
  id: EndpointId,
): ServiceConfig["endpoints"][number] | undefined {
  return service.config.endpoints.find((endpoint) => endpoint.id === id);
}

/**
 * @param configuration - The configuration in force.
 * @param address - Address of an endpoint.
 * @returns The service that has the endpoint, if there is one.
 */
export function findServiceByAddress(
  configuration: Configuration,
  address: Address,
): ServiceId | undefined {
  for (const { team, document } of configuration.revisions()) {
    const services = Object.entries(document?.services ?? {});
    const found = services.find(([, { endpoints }]) =>
      endpoints.some((endpoint) => endpoint.address === address)
    );
    if (found) return toServiceId(team, found[0]);
  }
  return undefined;
}
