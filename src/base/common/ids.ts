/** Branded id types that all layers share. */

import type { Brand } from "./brand.ts";

/** Name of a host, which runs one daemon. */
export type HostId = Brand<string, "HostId">;

/** Name of an availability zone. */
export type ZoneName = Brand<string, "ZoneName">;

/** Name of a team. Each team has its own configuration subtree. */
export type TeamName = Brand<string, "TeamName">;

/** Id of a workspace (customer) in the form `team/workspace`. */
export type WorkspaceId = Brand<string, "WorkspaceId">;

/** Name of a region, which consists of availability zones. */
export type RegionName = Brand<string, "RegionName">;

/** Id of a service in the form `team/service`. */
export type ServiceId = Brand<string, "ServiceId">;

/** Id of an endpoint (replica of a service), unique within its service. */
export type EndpointId = Brand<string, "EndpointId">;

/** Signed id of a generation; see `features/generations`. */
export type GenerationId = Brand<string, "GenerationId">;

/** Id that a daemon assigns to a caller's request. */
export type RequestId = Brand<string, "RequestId">;

/** TCP address in the form `ip:port`. */
export type Address = Brand<string, "Address">;

/**
 * Casts an already validated string to an id type.
 *
 * @param text - Text of the id.
 * @returns The same string as type `T`.
 */
export function asId<T extends Brand<string, string>>(text: string): T {
  return text as T;
}
