/** Groups of replicas that share one dispatcher. */

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

/** Name of a group, the same on every daemon. */
export type GroupId = Brand<string, "GroupId">;

/** Replicas of one service in one zone, at most as many as a group takes. */
export interface EndpointGroup {
  readonly id: GroupId;
  readonly service: ServiceId;
  readonly zone: ZoneName;
  readonly endpoints: readonly DirectoryEndpoint[];
}

/** Computes groups and their dispatchers from what this daemon knows. */
export class DispatchGroups {
  readonly #endpoints: EndpointDirectory;
  readonly #membership: Membership;
  readonly #hasher: Hasher;
  readonly #groups = new Map<ServiceId, readonly EndpointGroup[]>();

  /**
   * @param endpoints - The endpoints of all services.
   * @param membership - The daemons.
   * @param hasher - The hash that all daemons use.
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
   * @param service - A service.
   * @returns Its groups, those of the own zone first.
   */
  groupsOf(service: ServiceId): readonly EndpointGroup[] {
    const known = this.#groups.get(service);
    if (known) return known;
    const groups = this.#computeGroups(service);
    this.#groups.set(service, groups);
    return groups;
  }

  /** The endpoints of a service have changed. */
  invalidate(service: ServiceId): void {
    this.#groups.delete(service);
  }

  #computeGroups(service: ServiceId): EndpointGroup[] {
    const ownZone = this.#membership.self.zone;
    const byZone = new Map<ZoneName, DirectoryEndpoint[]>();
    for (const endpoint of this.#endpoints.endpointsOf(service)) {
      const others = byZone.get(endpoint.zone);
      if (others) others.push(endpoint);
      else byZone.set(endpoint.zone, [endpoint]);
    }
    const zones = [...byZone.keys()].sort((left, right) =>
      Number(right === ownZone) - Number(left === ownZone) ||
      (left < right ? -1 : 1)
    );
    return zones.flatMap((zone) =>
      splitGroups(service, zone, byZone.get(zone)!)
    );
  }

  /**
   * @param group - A group.
   * @returns The daemon that dispatches it, if its zone has any.
   */
  ownerOf(group: EndpointGroup): HostId | undefined {
    const owners = this.#membership.eligibleOwnersInZone(group.zone);
    const hosts = owners.map(({ host }) => host);
    return rendezvousOrder(this.#hasher, group.id, hosts)[0];
  }

  /** @returns Part of a group that a daemon may use without its dispatcher. */
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
