/**
 * Plans a sparse topology of links for large fleets. A few hubs in each
 * availability zone are linked to all other hubs, and every other daemon is
 * linked to the hubs of its zone. In zones with few hosts all daemons are hubs,
 * so small fleets form a full mesh.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress, PeerTarget } from "./peer_links.ts";

/** A daemon of the fleet with its capacity as a hub. */
export interface FleetHost extends PeerAddress {
  /**
   * Relative processor and network capacity; hosts with a higher capacity
   * become hubs first.
   */
  readonly capacity: number;
  /**
   * Address at which the daemon passes on requests of its peers; hosts of an
   * earlier version have none.
   */
  readonly relayAddress?: Address;
}

/**
 * Two hubs of a zone may fail at the same time without disconnecting the other
 * daemons of the zone.
 */
const HUBS_PER_ZONE = 3;
/**
 * Time within which a link to a hub has to be established; it allows for three
 * dial attempts to a busy host.
 */
const HUB_LINK_TIMEOUT_MS = 1_500;

/** The links that one daemon should currently have. */
export interface LinkPlan {
  readonly isHub: boolean;
  /** Hubs of this daemon's zone by rank, without this daemon itself. */
  readonly zoneHubs: readonly HostId[];
  /**
   * Hubs of all zones, without this daemon itself. On a daemon that is not a
   * hub, only the hubs of its own zone.
   */
  readonly hubs: ReadonlySet<HostId>;
  readonly targets: readonly PeerTarget[];
}

/**
 * Plans the links of one daemon. All daemons use the same rules, so their plans
 * agree.
 */
export class LinkPlanner {
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #self: FleetHost;
  readonly #hosts = new Map<HostId, FleetHost>();
  readonly #hubCandidates = new Map<ZoneName, readonly FleetHost[]>();
  /**
   * Hub candidates without a link, with the time since which a link is
   * expected.
   */
  readonly #unlinkedSinceMs = new Map<HostId, number>();

  /**
   * @param clock - The clock of the link timeout.
   * @param hasher - The hash function that orders hosts of equal capacity.
   * @param self - This daemon.
   */
  constructor(clock: Clock, hasher: Hasher, self: FleetHost) {
    this.#clock = clock;
    this.#hasher = hasher;
    this.#self = self;
    this.setHost(self);
  }

  /** All registered hosts, including this one. */
  get hosts(): ReadonlyMap<HostId, FleetHost> {
    return this.#hosts;
  }

  /** Adds a host or replaces its address, zone and capacity. */
  setHost(host: FleetHost): void {
    const current = this.#hosts.get(host.host);
    if (current) this.#hubCandidates.delete(current.zone);
    this.#hosts.set(host.host, host);
    this.#hubCandidates.delete(host.zone);
  }

  /** Removes a host. This daemon itself is never removed. */
  removeHost(host: HostId): void {
    const current = this.#hosts.get(host);
    if (!current || host === this.#self.host) return;
    this.#hosts.delete(host);
    this.#unlinkedSinceMs.delete(host);
    this.#hubCandidates.delete(current.zone);
  }

  /**
   * Computes the links that this daemon should have. A hub without a link is
   * waited for until `HUB_LINK_TIMEOUT_MS` has passed; then the next host of
   * its zone is a hub in addition, until the link exists again.
   *
   * @param isLinked - Whether this daemon has a link to a host.
   * @returns The links to keep.
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
      // Hubs do not dial the daemons of their zone that are not hubs.
      targets: hubs.map((hub) => ({ ...hub, isSoleDialer: !isHub })),
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
