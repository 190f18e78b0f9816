/**
 * Discovers the peers of a gateway daemon, in the store or through seeds, and
 * assigns the roles of hub, leaf and relay. Hubs of a zone relay updates to its
 * other daemons; a relay watches the store for its zone.
 */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../base/common/hasher.ts";
import { RecentMaximum } from "../../base/common/recent_maximum.ts";
import { Emitter } from "../../base/common/event.ts";
import type { Address, HostId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { parseFleetHost } from "../../services/hosts/common/host_entry.ts";
import type { JsonClient } from "../../services/http/node/json_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import {
  type MirrorBounds,
  mirrorBounds,
} from "../../services/mirror/common/mirror_bounds.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import {
  type FleetHost,
  type LinkPlan,
  LinkPlanner,
} from "../../services/peers/common/link_planner.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";
import { PEER_DISCOVERY_PATH } from "../../services/peers/node/peer_server.ts";
import type { FleetReach } from "../../features/gateway/common/limits/limit_rights.ts";
import type { RecordRelay } from "../../features/quarantine/common/record_sync.ts";
import type { MirrorTopology } from "../../services/mirror/common/mirror_sync.ts";
import type { RelayPeer } from "../../services/relay/common/relay_sender.ts";
import type { ReloadableGatewaySettings } from "../common/gateway_settings.ts";
import { maxMirrorAgeMs } from "../common/settings_limits.ts";
import type { HostChangeListener } from "../common/mirror_change_handler.ts";

const HASH_RANGE = 2 ** 32;
/** Longer than entries of living hosts are missing after an outage. */
const FLEET_SIZE_MEMORY_MS = 60_000;
const SEED_REQUEST_TIMEOUT_MS = 700;
const SEED_REQUEST_INTERVAL_MS = 500;

/** Interval for planning the links; failed hubs are replaced after 1.5 s. */
const PLAN_INTERVAL_MS = 500;

/** Dependencies of {@link GatewayTopology}. */
export interface GatewayTopologyServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  /** Client for requests to seeds. */
  readonly http: JsonClient;
  readonly links: PeerLinks;
  readonly mirror: StoreMirror;
  readonly self: FleetHost;
  readonly settings: () => Pick<
    ReloadableGatewaySettings,
    "configurationDelayMs" | "endpointDrainMs" | "seedAddresses"
  >;
}

/** Maintains the planned links to the peers, and the roles of this daemon. */
export class GatewayTopology
  implements
    HostChangeListener,
    MirrorTopology,
    PeerOverlay,
    FleetReach,
    RecordRelay,
    Disposable {
  readonly #services: GatewayTopologyServices;
  readonly #planner: LinkPlanner;
  readonly #disposables = new DisposableStore();
  readonly #onDidChangeHome = this.#disposables.add(new Emitter<void>());
  #plan: LinkPlan;
  readonly #recentFleetSize: RecentMaximum;
  #targetsText = "";
  #homeHub: HostId | undefined;

  /** {@inheritDoc PeerOverlay.onDidChangeHomeHub} */
  readonly onDidChangeHomeHub = this.#onDidChangeHome.event;

  /** @param services - Dependencies of the topology. */
  constructor(services: GatewayTopologyServices) {
    const { clock, hasher, links, logger, self } = services;
    this.#services = services;
    this.#planner = new LinkPlanner(clock, hasher, self);
    this.#recentFleetSize = new RecentMaximum(clock, FLEET_SIZE_MEMORY_MS);
    this.#plan = this.#planner.plan(() => false);
    this.#disposables.add(
      runPeriodically(
        clock,
        SEED_REQUEST_INTERVAL_MS,
        () => this.querySeeds(),
      ),
    );
    this.#disposables.add(
      runPeriodically(clock, PLAN_INTERVAL_MS, () => this.#replan()),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp, reason }) => {
      logger.log("info", isUp ? "peer-up" : "peer-down", {
        peer: host,
        reason,
      });
      this.#replan();
    }));
  }

  /** The other daemons that pass on requests of their peers. */
  get relayPeers(): readonly RelayPeer[] {
    const { self } = this.#services;
    return [...this.#planner.hosts.values()].flatMap(
      ({ host, relayAddress, zone }) =>
        host === self.host || relayAddress === undefined
          ? []
          : [{ host, relayAddress, zone }],
    );
  }

  /** Number of registered daemons in the fleet. */
  get fleetSize(): number {
    return this.#planner.hosts.size;
  }

  /** Position of this daemon among them in the order of their ids. */
  get fleetIndex(): number {
    const { host } = this.#services.self;
    return [...this.#planner.hosts.keys()].filter((other) => other < host)
      .length;
  }

  /** {@inheritDoc FleetReach.plannedHubs} */
  get plannedHubs(): ReadonlySet<HostId> {
    return this.#plan.hubs;
  }

  /**
   * Largest number of daemons in the fleet within the last minute. Entries that
   * lapse while their hosts are alive do not make this daemon's part larger.
   */
  get largestFleetSize(): number {
    return Math.max(this.fleetSize, this.#recentFleetSize.max());
  }

  /** {@inheritDoc FleetReach.reachableShare} */
  get reachableShare(): number {
    const { links, self } = this.#services;
    const linked = new Set(links.connectedHosts());
    const { hosts } = this.#planner;
    // The hosts of another zone are reached through the hubs of that zone.
    const relayedZones = new Set(
      this.linkedHubs().map((hub) => hosts.get(hub)?.zone),
    );
    const isReachable = ({ host, zone }: FleetHost): boolean => {
      if (host === self.host || linked.has(host)) return true;
      return !this.#plan.hubs.has(host) && zone !== self.zone &&
        relayedZones.has(zone);
    };
    return [...hosts.values()].filter(isReachable).length / hosts.size;
  }

  /** {@inheritDoc PeerOverlay.isHub} */
  get isHub(): boolean {
    return this.#plan.isHub;
  }

  /** {@inheritDoc PeerOverlay.homeHub} */
  homeHub(): HostId | undefined {
    return this.#homeHub;
  }

  /** {@inheritDoc PeerOverlay.zoneHubFor} */
  zoneHubFor(duty: string): HostId {
    const { hasher, self } = this.#services;
    const order = rendezvousOrder(
      hasher,
      `${self.zone}/${duty}`,
      this.#zoneHubs(),
    );
    return order[0] ?? self.host;
  }

  /** {@inheritDoc PeerOverlay.linkedHubs} */
  linkedHubs(): readonly HostId[] {
    const { links } = this.#services;
    return links.connectedHosts().filter((host) => this.#plan.hubs.has(host));
  }

  /** {@inheritDoc PeerOverlay.linkedLeaves} */
  linkedLeaves(): readonly HostId[] {
    if (!this.#plan.isHub) return [];
    const { links } = this.#services;
    return links.connectedHosts().filter((host) => !this.#plan.hubs.has(host));
  }

  /** {@inheritDoc HostChangeListener.onHostsChanged} */
  onHostsChanged(hosts: ReadonlyMap<HostId, FleetHost | undefined>): void {
    const linked = this.#services.links.connectedHosts();
    for (const [name, host] of hosts) {
      if (host) this.#planner.setHost(host);
      // A lease can expire because of a store outage while its host is alive.
      else if (!linked.includes(name)) this.#planner.removeHost(name);
    }
    // Planned once for all hosts: a plan from part of a listing would select
    // the wrong hubs.
    this.#replan();
  }

  /** Ages of the mirror at which this daemon asks peers or reads the store. */
  mirrorBounds(): MirrorBounds {
    return mirrorBounds(maxMirrorAgeMs(this.#services.settings()));
  }

  /**
   * Returns the time after which this daemon watches the store: at once as the
   * relay of its zone, and else when its mirror is not confirmed in time. The
   * hubs take over one after the other, before the other daemons of the zone.
   *
   * @returns The time in milliseconds; 0 if it watches the store now.
   */
  watchDelayMs(): number {
    const { hasher, mirror, self } = this.#services;
    const rank = this.#relayOrder().indexOf(self.host);
    const takeoverAgeMs = this.mirrorBounds().takeoverAgeMs(
      rank < 0 ? undefined : rank,
      hasher.hash32(self.host) / HASH_RANGE,
    );
    return Math.max(0, takeoverAgeMs - mirror.confirmationAgeMs);
  }

  /** {@inheritDoc MirrorTopology.preferredSources} */
  preferredSources(): readonly HostId[] {
    const { self } = this.#services;
    return this.#relayOrder().filter((host) => host !== self.host);
  }

  /** {@inheritDoc MirrorTopology.subscribers} */
  subscribers(): readonly HostId[] {
    return this.watchDelayMs() === 0 ? this.#connectedZonePeers() : [];
  }

  /** {@inheritDoc RecordRelay.targets} */
  targets(isLocal: boolean): readonly HostId[] {
    if (this.isHub) return [...this.linkedHubs(), ...this.linkedLeaves()];
    return isLocal ? this.linkedHubs() : [];
  }

  /** Available hubs of the zone, in order of their preference as relays. */
  #relayOrder(): readonly HostId[] {
    const { hasher, self } = this.#services;
    return rendezvousOrder(hasher, self.zone, this.#zoneHubs());
  }

  #zoneHubs(): readonly HostId[] {
    const hubs = this.#linkedZoneHubs();
    if (this.#plan.isHub) hubs.push(this.#services.self.host);
    return hubs;
  }

  /** Linked daemons in the zone of this daemon. */
  #connectedZonePeers(): readonly HostId[] {
    const { links, self } = this.#services;
    return links.connectedHosts().filter((peer) =>
      this.#planner.hosts.get(peer)?.zone === self.zone
    );
  }

  /**
   * Formats the registered hosts for a daemon that starts while the store is
   * unavailable.
   *
   * @returns The hosts, as JSON.
   */
  formatHostList(): string {
    return JSON.stringify([...this.#planner.hosts.values()]);
  }

  /**
   * Requests the hosts registered at the seeds, unless a peer is linked or the
   * mirror is up to date.
   */
  querySeeds(): void {
    const { links, mirror, self, settings } = this.#services;
    if (links.connectedHosts().length > 0) return;
    if (mirror.confirmationAgeMs < this.mirrorBounds().lastResortAgeMs) return;
    for (const seed of settings().seedAddresses) {
      if (seed !== self.address) void this.#querySeed(seed);
    }
  }

  /** Stops planning links and querying seeds. */
  dispose(): void {
    this.#disposables.dispose();
  }

  async #querySeed(seed: Address): Promise<void> {
    const { http, logger } = this.#services;
    const response = await http.call(seed, {
      method: "GET",
      target: PEER_DISCOVERY_PATH,
      timeoutMs: SEED_REQUEST_TIMEOUT_MS,
    });
    response.caseOf({
      Left: (detail) =>
        logger.log("info", "seed-silent", { peer: seed, detail }),
      Right: ({ body }) => this.#addHostsFromSeed(seed, body),
    });
  }

  #addHostsFromSeed(seed: Address, body: unknown): void {
    const values: readonly unknown[] = Array.isArray(body) ? body : [];
    for (const value of values) {
      parseFleetHost(value).caseOf({
        Left: (detail) =>
          this.#services.logger.log("warn", "introduction-unreadable", {
            peer: seed,
            detail,
          }),
        Right: (peer) => {
          if (!this.#planner.hosts.has(peer.host)) this.#planner.setHost(peer);
        },
      });
    }
    this.#replan();
  }

  #replan(): void {
    const { hasher, links, logger, self } = this.#services;
    const linked = new Set(links.connectedHosts());
    this.#recentFleetSize.record(this.fleetSize);
    this.#plan = this.#planner.plan((host) => linked.has(host));
    const targets = this.#plan.targets.map(({ host, address }) =>
      `${host} ${address}`
    ).join();
    if (targets !== this.#targetsText) {
      this.#targetsText = targets;
      links.setPeers(this.#plan.targets);
    }
    const homeHub = this.#plan.isHub
      ? undefined
      : rendezvousOrder(hasher, self.host, this.#linkedZoneHubs())[0];
    if (homeHub === this.#homeHub) return;
    this.#homeHub = homeHub;
    logger.log("info", "home-hub-changed", { peer: homeHub, hub: this.isHub });
    this.#onDidChangeHome.fire();
  }

  #linkedZoneHubs(): HostId[] {
    const linked = this.#services.links.connectedHosts();
    return this.#plan.zoneHubs.filter((hub) => linked.includes(hub));
  }
}
