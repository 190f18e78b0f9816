/**
 * The active configuration of a daemon: the newest valid document of each team
 * and the lookups that request handling needs.
 */

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

/** Prefix of the store keys that hold the team documents. */
export const TEAM_KEY_PREFIX = "config/teams/";

/** A team's document at one store revision. */
export interface TeamRevision {
  readonly team: TeamName;
  readonly revision: number;
  /** `undefined` if the document has been deleted. */
  readonly document: TeamDocument | undefined;
}

/** A workspace with its id, team and configuration. */
export interface ResolvedWorkspace {
  readonly id: WorkspaceId;
  readonly team: TeamName;
  readonly config: WorkspaceConfig;
}

/** A service with its id and configuration. */
export interface ResolvedService {
  readonly id: ServiceId;
  readonly config: ServiceConfig;
}

/** A route with the service that handles its requests. */
export interface ResolvedRoute<R> {
  readonly route: R;
  readonly service: ResolvedService;
}

/** The service class that is assigned to a request. */
export interface ResolvedClass {
  readonly name: string;
  readonly config: ClassConfig;
}

/** The active configuration of this daemon. */
export interface Configuration {
  /** Fires after a team's document has become active or has been deleted. */
  readonly onDidChangeConfiguration: Event<TeamRevision>;
  /** Whether the configuration has been received from the store or a peer. */
  readonly isReady: boolean;
  /** Returns the active revision of each team, including deleted documents. */
  revisions(): readonly TeamRevision[];
  /**
   * Finds the workspace that an API key belongs to.
   *
   * @param apiKeyHash - SHA-256 of the API key, in hexadecimal.
   * @returns The workspace, or `undefined` if the key is not configured.
   */
  findWorkspaceByKeyHash(apiKeyHash: string): ResolvedWorkspace | undefined;
  /** @returns The configuration of the workspace with this id, if it exists. */
  findWorkspaceConfig(id: WorkspaceId): WorkspaceConfig | undefined;
  /** @returns The team's generation route for a model, if one is configured. */
  findGenerationRoute(
    team: TeamName,
    model: string,
  ): ResolvedRoute<GenerationRoute> | undefined;
  /**
   * Finds the call route with the longest prefix that matches a path.
   *
   * @param team - The team whose routes are searched.
   * @param path - Path of the request.
   * @returns The route, or `undefined` if no prefix matches.
   */
  findCallRoute(
    team: TeamName,
    path: string,
  ): ResolvedRoute<CallRoute> | undefined;
  /**
   * Resolves the service class of a request.
   *
   * @param team - The team whose classes are searched.
   * @param allowed - Names of the classes that the route allows; the first one
   * is the default.
   * @param requested - Name of the class that the caller requests, if any.
   * @returns The class, or `undefined` if the route does not allow it or the
   * team does not define it.
   */
  resolveClass(
    team: TeamName,
    allowed: readonly string[],
    requested: string | undefined,
  ): ResolvedClass | undefined;
  /** @returns The service with this id, if it exists. */
  findService(id: ServiceId): ResolvedService | undefined;
  /** @returns The class with this name in the team that owns the service. */
  findClassOfService(id: ServiceId, className: string): ClassConfig | undefined;
}

/**
 * Builds the id of a service.
 *
 * @param team - The team that owns the service.
 * @param name - Name of the service within the team.
 * @returns The id, unique across teams.
 */
export function toServiceId(team: TeamName, name: string): ServiceId {
  return asId<ServiceId>(`${team}/${name}`);
}

/**
 * Builds the id of a workspace.
 *
 * @param team - The team that owns the workspace.
 * @param name - Name of the workspace within the team.
 * @returns The id, unique across teams.
 */
export function toWorkspaceId(team: TeamName, name: string): WorkspaceId {
  return asId<WorkspaceId>(`${team}/${name}`);
}

/**
 * Extracts the team from an id.
 *
 * @param id - Id of a service or a workspace.
 * @returns The team that owns it.
 */
export function getTeamName(id: ServiceId | WorkspaceId): TeamName {
  return asId<TeamName>(id.slice(0, id.indexOf("/")));
}

/**
 * Finds the configuration of an endpoint.
 *
 * @param service - The service that the endpoint belongs to.
 * @param id - Name of the endpoint within the service.
 * @returns The configuration, or `undefined` if the endpoint is not configured.
 */
export function findEndpointConfig(
  service: ResolvedService,
  id: EndpointId,
): ServiceConfig["endpoints"][number] | undefined {
  return service.config.endpoints.find((endpoint) => endpoint.id === id);
}

/**
 * Finds the service that an endpoint address belongs to.
 *
 * @param configuration - The active configuration.
 * @param address - Address of the endpoint.
 * @returns The id of the service, or `undefined` if no service has the address.
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
