/** The peers of a daemon: found in the store or through seeds, and dealt roles. */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../base/common/hasher.ts";
import { Emitter } from "../../base/common/event.ts";
import type { Address, HostId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { parseFleetHost } from "../../services/hosts/common/host_entry.ts";
import type { JsonClient } from "../../services/http/node/json_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import {
  type FleetHost,
  type LinkPlan,
  LinkPlanner,
} from "../../services/peers/common/link_planner.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";
import { PEER_DISCOVERY_PATH } from "../../services/peers/node/ws_peer_links.ts";
import type { MirrorTopology } from "../../services/mirror/common/mirror_sync.ts";
import type { HostChangeListener } from "../common/mirror_change_handler.ts";

/** Daemons of a zone that ask the store; the others step in when it stops. */
const RELAYS_PER_ZONE = 1;
/** Age of the contents from which any daemon asks the store itself. */
const WATCH_FALLBACK_AGE_MS = 2_200;
const SEED_REQUEST_TIMEOUT_MS = 700;
const SEED_REQUEST_INTERVAL_MS = 500;

/** How often links are planned anew: dead hubs are replaced after 1.5 s. */
const PLAN_INTERVAL_MS = 500;

/** What the peers are made from. */
export interface GatewayTopologyServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly http: JsonClient;
  readonly links: PeerLinks;
  readonly mirror: StoreMirror;
  readonly self: FleetHost;
  readonly seedAddresses: () => readonly Address[];
}

/** Keeps the links that the daemons have planned among them. */
export class GatewayTopology
  implements HostChangeListener, MirrorTopology, PeerOverlay, Disposable {
  readonly #services: GatewayTopologyServices;
  readonly #planner: LinkPlanner;
  readonly #disposables = new DisposableStore();
  readonly #onDidChangeHome = this.#disposables.add(new Emitter<void>());
  #plan: LinkPlan;
  #targetsText = "";
  #homeHub: HostId | undefined;

  /** {@inheritDoc PeerOverlay.onDidChangeHomeHub} */
  readonly onDidChangeHomeHub = this.#onDidChangeHome.event;

  /** @param services - What the peers are made from. */
  constructor(services: GatewayTopologyServices) {
    const { clock, hasher, links, self } = services;
    this.#services = services;
    this.#planner = new LinkPlanner(clock, hasher, self);
    this.#plan = this.#planner.plan(() => false);
    this.#disposables.add(
      runPeriodically(clock, SEED_REQUEST_INTERVAL_MS, () => this.querySeeds()),
    );
    this.#disposables.add(
      runPeriodically(clock, PLAN_INTERVAL_MS, () => this.#replan()),
    );
    this.#disposables.add(links.onDidChangeLink(() => this.#replan()));
  }

  /** Daemons in the fleet, as far as is known. */
  get fleetSize(): number {
    return this.#planner.hosts.size;
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
      // A lease may lapse with the store while its host lives.
      else if (!linked.includes(name)) this.#planner.removeHost(name);
    }
    // Once for all: plans made from part of a listing would dial wrong hubs.
    this.#replan();
  }

  /** Whether this daemon is one of those that ask the store for its zone. */
  isRelay(): boolean {
    const { mirror, self } = this.#services;
    if (mirror.confirmationAgeMs > WATCH_FALLBACK_AGE_MS) return true;
    const order = this.#relayOrder();
    return order.slice(0, RELAYS_PER_ZONE).includes(self.host);
  }

  /** {@inheritDoc MirrorTopology.preferredSource} */
  preferredSource(): HostId | undefined {
    const { self } = this.#services;
    return this.#relayOrder().find((host) => host !== self.host);
  }

  /** {@inheritDoc MirrorTopology.subscribers} */
  subscribers(): readonly HostId[] {
    return this.isRelay() ? this.#connectedZonePeers() : [];
  }

  /** Hubs of the zone that are there, in the order in which they relay. */
  #relayOrder(): readonly HostId[] {
    const { hasher, self } = this.#services;
    return rendezvousOrder(hasher, self.zone, this.#zoneHubs());
  }

  #zoneHubs(): readonly HostId[] {
    const hubs = this.#linkedZoneHubs();
    if (this.#plan.isHub) hubs.push(this.#services.self.host);
    return hubs;
  }

  /** Linked daemons of the own zone. */
  #connectedZonePeers(): readonly HostId[] {
    const { links, self } = this.#services;
    return links.connectedHosts().filter((peer) =>
      this.#planner.hosts.get(peer)?.zone === self.zone
    );
  }

  /** @returns Text for a daemon that starts while the store is away. */
  formatHostList(): string {
    return JSON.stringify([...this.#planner.hosts.values()]);
  }

  /** Asks the seeds for their peers, while nothing else tells of any. */
  querySeeds(): void {
    const { links, mirror, self, seedAddresses } = this.#services;
    if (links.connectedHosts().length > 0) return;
    if (mirror.confirmationAgeMs < WATCH_FALLBACK_AGE_MS) return;
    for (const seed of seedAddresses()) {
      if (seed !== self.address) void this.#querySeed(seed);
    }
  }

  /** Stops asking. */
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
    this.#plan = this.#planner.plan((host) => linked.has(host));
    const targets = this.#plan.targets.map(({ host, address }) =>
      `${host} ${address}`
    ).join();
    if (targets !== this.#targetsText) {
      this.#targetsText = targets;
      links.setPeers(this.#plan.targets);
    }
    const home = this.#plan.isHub
      ? undefined
      : rendezvousOrder(hasher, self.host, this.#linkedZoneHubs())[0];
    if (home === this.#homeHub) return;
    this.#homeHub = home;
    logger.log("info", "home-hub-changed", { peer: home, hub: this.isHub });
    this.#onDidChangeHome.fire();
  }

  #linkedZoneHubs(): HostId[] {
    const linked = this.#services.links.connectedHosts();
    return this.#plan.zoneHubs.filter((hub) => linked.includes(hub));
  }
}
