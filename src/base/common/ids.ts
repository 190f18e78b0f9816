/** The ids that every layer shares. */

import type { Brand } from "./brand.ts";

/** Name of one entry host (one daemon). */
export type HostId = Brand<string, "HostId">;

/** Name of an availability zone. */
export type ZoneName = Brand<string, "ZoneName">;

/** Name of a team; one configuration subtree each. */
export type TeamName = Brand<string, "TeamName">;

/** Workspace (customer) in the form `team/workspace`. */
export type WorkspaceId = Brand<string, "WorkspaceId">;

/** Service in the form `team/service`. */
export type ServiceId = Brand<string, "ServiceId">;

/** Endpoint (one replica of a service), unique within its service. */
export type EndpointId = Brand<string, "EndpointId">;

/** Signed id of one generation, see `features/generations`. */
export type GenerationId = Brand<string, "GenerationId">;

/** Id that a daemon gives to one request of a caller. */
export type RequestId = Brand<string, "RequestId">;

/** TCP address in the form `ip:port`. */
export type Address = Brand<string, "Address">;

/**
 * Brands a string that the caller has already checked.
 *
 * @param text - The text of the id.
 * @returns The same text as an id of type `T`.
 */
export function asId<T extends Brand<string, string>>(text: string): T {
  return text as T;
}
