/**
 * Partitions the endpoints of a service into groups, each of which is
 * dispatched by one daemon.
 */

import type { Brand } from "../../../base/common/brand.ts";
import type { Hasher } from "../../../base/common/hasher.ts";
import { rendezvousOrder } from "../../../base/common/hasher.ts";
import {
  asId,
  type HostId,
  type ServiceId,
  type ZoneName,
} from "../../../base/common/ids.ts";
import type { Membership } from "../../../services/membership/common/membership.ts";
import type {
  DirectoryEndpoint,
  EndpointDirectory,
} from "../../endpoints/common/endpoint_directory.ts";
import { MAX_GROUP_ENDPOINTS } from "./prefix_index.ts";

/** Identifier of an endpoint group; every daemon computes the same one. */
export type GroupId = Brand<string, "GroupId">;

/**
 * Replicas of one service in one availability zone, limited to {@link
 * MAX_GROUP_ENDPOINTS} per group.
 */
export interface EndpointGroup {
  readonly id: GroupId;
  readonly service: ServiceId;
  readonly zone: ZoneName;
  readonly endpoints: readonly DirectoryEndpoint[];
}

/**
 * Computes the endpoint groups and their dispatchers from the local view of
 * endpoints and members. All daemons that share this view reach the same
 * result.
 */
export class DispatchGroups {
  readonly #endpoints: EndpointDirectory;
  readonly #membership: Membership;
  readonly #hasher: Hasher;
  readonly #groups = new Map<ServiceId, readonly EndpointGroup[]>();

  /**
   * @param endpoints - Directory of the endpoints of all services.
   * @param membership - Members of the fleet.
   * @param hasher - Hash function, which must be the same on every daemon.
   */
  constructor(
    endpoints: EndpointDirectory,
    membership: Membership,
    hasher: Hasher,
  ) {
    this.#endpoints = endpoints;
    this.#membership = membership;
    this.#hasher = hasher;
  }

  /**
   * Returns the groups of a service.
   *
   * @param service - Identifier of the service.
   * @returns The groups, those of the local zone first.
   */
  groupsOf(service: ServiceId): readonly EndpointGroup[] {
    const cached = this.#groups.get(service);
    if (cached) return cached;
    const groups = this.#computeGroups(service);
    this.#groups.set(service, groups);
    return groups;
  }

  /**
   * Discards the cached groups of a service after its endpoints have changed.
   */
  invalidate(service: ServiceId): void {
    this.#groups.delete(service);
  }

  #computeGroups(service: ServiceId): EndpointGroup[] {
    const localZone = this.#membership.self.zone;
    const byZone = new Map<ZoneName, DirectoryEndpoint[]>();
    for (const endpoint of this.#endpoints.endpointsOf(service)) {
      const zoneEndpoints = byZone.get(endpoint.zone);
      if (zoneEndpoints) zoneEndpoints.push(endpoint);
      else byZone.set(endpoint.zone, [endpoint]);
    }
    const zones = [...byZone.keys()].sort((left, right) =>
      Number(right === localZone) - Number(left === localZone) ||
      (left < right ? -1 : 1)
    );
    return zones.flatMap((zone) =>
      splitGroups(service, zone, byZone.get(zone)!)
    );
  }

  /**
   * Returns the daemon that dispatches a group.
   *
   * @param group - Endpoint group.
   * @returns The dispatching daemon, or `undefined` if the group's zone has no
   * daemon.
   */
  ownerOf(group: EndpointGroup): HostId | undefined {
    const owners = this.#membership.eligibleOwnersInZone(group.zone);
    const hosts = owners.map(({ host }) => host);
    return rendezvousOrder(this.#hasher, group.id, hosts)[0];
  }

  /**
   * Returns the fraction of each endpoint that a daemon may use while it cannot
   * reach the group's dispatcher.
   *
   * @returns A fraction in `(0, 1]`, so that all daemons of the zone together
   * use at most the whole endpoint.
   */
  fallbackShare(): number {
    const { zone } = this.#membership.self;
    return 1 / Math.max(1, this.#membership.eligibleOwnersInZone(zone).length);
  }
}

function splitGroups(
  service: ServiceId,
  zone: ZoneName,
  endpoints: readonly DirectoryEndpoint[],
): EndpointGroup[] {
  const groups: EndpointGroup[] = [];
  const sorted = [...endpoints].sort((left, right) =>
    left.id < right.id ? -1 : 1
  );
  for (let start = 0; start < sorted.length; start += MAX_GROUP_ENDPOINTS) {
    groups.push({
      id: asId<GroupId>(`${service}|${zone}|${groups.length}`),
      service,
      zone,
      endpoints: sorted.slice(start, start + MAX_GROUP_ENDPOINTS),
    });
  }
  return groups;
}
