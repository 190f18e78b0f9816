/**
 * Plans a sparse set of links for large fleets: a few hubs in each availability
 * zone are linked to all other hubs, and every other daemon to the hubs of its
 * zone. In zones of few hosts all are hubs, and the links form a full mesh.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress, PeerTarget } from "./peer_links.ts";

/** A daemon with what it can carry as a hub. */
export interface FleetHost extends PeerAddress {
  /** Processor and network that it has; greater ones become hubs first. */
  readonly capacity: number;
}

/** Two may fail at the same moment without cutting a daemon off. */
const HUBS_PER_ZONE = 3;
/** Time for a link to come up; three dials of a busy host. */
const HUB_LINK_TIMEOUT_MS = 1_500;

/** Links of one daemon, as they should be now. */
export interface LinkPlan {
  readonly isHub: boolean;
  /** Hubs of the own zone, without this daemon, by rank. */
  readonly zoneHubs: readonly HostId[];
  /** Hubs of all zones, without this daemon; those of its own if it is none. */
  readonly hubs: ReadonlySet<HostId>;
  readonly targets: readonly PeerTarget[];
}

/** Plans the links of one daemon; the others plan alike. */
export class LinkPlanner {
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #self: FleetHost;
  readonly #hosts = new Map<HostId, FleetHost>();
  readonly #hubCandidates = new Map<ZoneName, readonly FleetHost[]>();
  /** Hosts without a link, with the time since which there should be one. */
  readonly #unlinkedSinceMs = new Map<HostId, number>();

  /**
   * @param clock - Clock of the patience.
   * @param hasher - Orders hosts of equal capacity.
   * @param self - This daemon.
   */
  constructor(clock: Clock, hasher: Hasher, self: FleetHost) {
    this.#clock = clock;
    this.#hasher = hasher;
    this.#self = self;
    this.setHost(self);
  }

  /** All hosts that are known, with this one. */
  get hosts(): ReadonlyMap<HostId, FleetHost> {
    return this.#hosts;
  }

  /** Takes in a host, or a new address of one. */
  setHost(host: FleetHost): void {
    const current = this.#hosts.get(host.host);
    if (current) this.#hubCandidates.delete(current.zone);
    this.#hosts.set(host.host, host);
    this.#hubCandidates.delete(host.zone);
  }

  /** Drops a host; never this one. */
  removeHost(host: HostId): void {
    const current = this.#hosts.get(host);
    if (!current || host === this.#self.host) return;
    this.#hosts.delete(host);
    this.#unlinkedSinceMs.delete(host);
    this.#hubCandidates.delete(current.zone);
  }

  /**
   * @param isLinked - Whether there is a link to a host.
   * @returns The links to keep. A hub without a link is waited for, then the
   * next host of its zone stands in for it as long as there is none.
   */
  plan(isLinked: (host: HostId) => boolean): LinkPlan {
    const { host: self, zone } = this.#self;
    const ownZoneHubs = this.#hubsOf(zone, isLinked);
    const isHub = ownZoneHubs.some(({ host }) => host === self);
    const zones = new Set([...this.#hosts.values()].map((host) => host.zone));
    const otherZoneHubs = isHub
      ? [...zones].filter((other) => other !== zone)
        .flatMap((other) => this.#hubsOf(other, isLinked))
      : [];
    const hubs = [...ownZoneHubs, ...otherZoneHubs].filter(({ host }) =>
      host !== self
    );
    return {
      isHub,
      zoneHubs: ownZoneHubs.map(({ host }) => host).filter((host) =>
        host !== self
      ),
      hubs: new Set(hubs.map(({ host }) => host)),
      // Hubs do not dial the daemons of their zone that are none.
      targets: hubs.map((hub) => ({ ...hub, isOneSided: !isHub })),
    };
  }

  #hubsOf(
    zone: ZoneName,
    isLinked: (host: HostId) => boolean,
  ): readonly FleetHost[] {
    const hubs: FleetHost[] = [];
    let presentCount = 0;
    for (const host of this.#rankHosts(zone)) {
      if (presentCount === HUBS_PER_ZONE) break;
      hubs.push(host);
      if (this.#countsAsPresent(host.host, isLinked)) presentCount++;
    }
    return hubs;
  }

  #countsAsPresent(host: HostId, isLinked: (host: HostId) => boolean): boolean {
    if (host === this.#self.host) return true;
    if (isLinked(host)) {
      this.#unlinkedSinceMs.delete(host);
      return true;
    }
    const nowMs = this.#clock.monotonicMs();
    const sinceMs = this.#unlinkedSinceMs.get(host) ?? nowMs;
    this.#unlinkedSinceMs.set(host, sinceMs);
    return nowMs - sinceMs < HUB_LINK_TIMEOUT_MS;
  }

  #rankHosts(zone: ZoneName): readonly FleetHost[] {
    const cached = this.#hubCandidates.get(zone);
    if (cached) return cached;
    const members = new Map(
      [...this.#hosts].filter(([, host]) => host.zone === zone),
    );
    const order = rendezvousOrder(this.#hasher, zone, [...members.keys()]);
    const ranked = order.map((host) => members.get(host)!)
      .sort((left, right) => right.capacity - left.capacity);
    this.#hubCandidates.set(zone, ranked);
    return ranked;
  }
}
