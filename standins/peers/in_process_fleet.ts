/** A fleet of daemons in one process, with its overlay and its shared state. */

import { ManualClock, runPeriodically } from "../../src/base/common/clock.ts";
import type { Hasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { timestampNow } from "../../src/base/common/timestamp.ts";
import { Left } from "../../src/base/common/result.ts";
import { GatewayStreamVersions } from "../../src/daemon/common/gateway_stream_versions.ts";
import { GatewayTopology } from "../../src/daemon/node/gateway_topology.ts";
import { ConfigurationState } from "../../src/features/gateway/common/configuration/configuration_state.ts";
import { ColdEndpoints } from "../../src/features/gateway/common/endpoints/cold_endpoints.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import type {
  GatewayRoute,
  GatewayService,
} from "../../src/features/gateway/common/configuration/gateway_configuration.ts";
import { GatewayMetrics } from "../../src/features/gateway/common/metrics/gateway_metrics.ts";
import { BrittleTable } from "../../src/features/brittle/common/brittle_table.ts";
import { RoomPermits } from "../../src/features/brittle/common/room_permits.ts";
import { LimitRights } from "../../src/features/gateway/common/limits/limit_rights.ts";
import { LimitTable } from "../../src/features/gateway/common/limits/limit_table.ts";
import { LoadTable } from "../../src/features/gateway/common/load/load_table.ts";
import { LoadTableSync } from "../../src/features/gateway/common/load/load_table_sync.ts";
import { QUARANTINE_CHANNEL } from "../../src/features/quarantine/common/quarantine_messages.ts";
import { PromptPartSync } from "../../src/features/quarantine/common/prompt_part_sync.ts";
import { PromptPartTable } from "../../src/features/quarantine/common/prompt_part_table.ts";
import { SuspectSync } from "../../src/features/quarantine/common/suspect_sync.ts";
import { SuspectTable } from "../../src/features/quarantine/common/suspect_table.ts";
import { JsonClient } from "../../src/services/http/node/json_client.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import type {
  LeaseStore,
  RevisionedStore,
  StoreCallFailure,
} from "../../src/services/mirror/common/revisioned_store.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import type { FleetHost } from "../../src/services/peers/common/link_planner.ts";
import {
  InProcessNetwork,
  type InProcessPeerLinks,
} from "./in_process_links.ts";

/** Endpoint whose load the daemons share. */
export const ENDPOINT = "engine-1" as EndpointId;
/** Service whose streams callers may take up. */
export const STREAM_SERVICE = "llm" as ServiceId;
/** Longest time that a stream lasts. */
export const STREAM_TIMEOUT_MS = 20_000;

/** Route of these streams. */
export const STREAM_ROUTE: GatewayRoute = {
  name: "streams",
  host: "app.example",
  prefix: "/stream/",
  kind: { kind: "generation", isResumable: true },
  timeoutMs: STREAM_TIMEOUT_MS,
  objectiveMs: 1_000,
  eventGapObjectiveMs: 100,
  priority: 0,
  targets: [{ service: STREAM_SERVICE, weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
};

const UNREACHABLE: StoreCallFailure = {
  kind: "unknown",
  message: "the store cannot be reached",
};
const UNREACHABLE_STORE: LeaseStore & RevisionedStore = {
  list: () => Promise.resolve(Left(UNREACHABLE)),
  watch: () => Promise.resolve(Left(UNREACHABLE)),
  grantLease: () => Promise.resolve(Left(UNREACHABLE)),
  renewLease: () => Promise.resolve(Left(UNREACHABLE)),
  revokeLease: () => Promise.resolve(Left(UNREACHABLE)),
  putLeased: () => Promise.resolve(Left(UNREACHABLE)),
};

const STORE_REVISION = 1;
/** Interval at which the daemons read the store. */
const VIEW_INTERVAL_MS = 500;
const SETTINGS = { configurationDelayMs: 2_000, seedAddresses: [] };

const ZONES = ["zone-a", "zone-b", "zone-c"];

/**
 * Daemons that claim capacity and exchange their load, without serving
 * requests.
 */
export class Fleet {
  readonly clock = new ManualClock();
  readonly network = new InProcessNetwork();
  readonly daemons = new Map<HostId, FleetDaemon>();
  /** Hosts to which each daemon has ever requested a link. */
  readonly dialTargets = new Map<HostId, Set<HostId>>();
  /** Hosts that read the store no more. */
  readonly hostsWithOldView = new Set<HostId>();
  /** Services of the endpoints that are announced to the daemons. */
  readonly services = new Map<ServiceId, GatewayService>();
  readonly #hasher: Hasher;
  readonly #hosts: ReadonlyMap<HostId, FleetHost>;

  /**
   * @param hasher - Plans the overlay.
   * @param hostsPerZone - Number of hosts in each of three zones.
   */
  constructor(hasher: Hasher, hostsPerZone: number) {
    this.#hasher = hasher;
    const hosts = ZONES.flatMap((zone) =>
      Array.from({ length: hostsPerZone }, (_, index): FleetHost => ({
        host: `${zone}-host-${index}` as HostId,
        zone: zone as ZoneName,
        address: `127.0.0.1:${1_000 + index}` as Address,
        // The last two hosts of each zone have too little capacity to become
        // hubs.
        capacity: index < hostsPerZone - 2 ? 1 : 0.3,
      }))
    );
    this.#hosts = new Map(hosts.map((host) => [host.host, host]));
    for (const host of hosts) {
      this.#start(host);
      this.daemons.get(host.host)!.streamVersions.history.markComplete();
    }
    for (const { peers } of this.daemons.values()) {
      peers.onHostsChanged(this.#hosts);
    }
  }

  /**
   * Starts a daemon again after it was killed.
   *
   * @param missingChannels - Channels that its program does not have.
   */
  restart(host: HostId, missingChannels: readonly string[] = []): void {
    this.#start(this.#hosts.get(host)!);
    this.daemons.get(host)!.links.missingChannels = new Set(missingChannels);
    this.daemons.get(host)!.peers.onHostsChanged(this.#hosts);
  }

  /** Advances the clock and runs all resulting work. */
  async advance(durationMs: number): Promise<void> {
    await this.clock.advanceAsync(durationMs);
  }

  /** Number of links between daemons. */
  get linkCount(): number {
    const ends = [...this.daemons.values()].map(({ links }) =>
      links.connectedHosts().length
    );
    return ends.reduce((sum, count) => sum + count, 0) / 2;
  }

  /**
   * Returns the hosts whose view of the endpoint differs from a number of runs.
   */
  hostsNotSeeing(runs: number): HostId[] {
    return [...this.daemons].filter(([, { board }]) =>
      board.totalUsage(ENDPOINT).runs !== runs
    ).map(([host]) => host);
  }

  /** Ends a daemon without notice. */
  kill(host: HostId): void {
    const daemon = this.daemons.get(host)!;
    daemon.viewTimer.dispose();
    daemon.exchange.dispose();
    daemon.suspectSync.dispose();
    daemon.promptPartSync.dispose();
    daemon.streamVersions.dispose();
    daemon.cold.dispose();
    daemon.limitRights.dispose();
    daemon.roomPermits.dispose();
    daemon.peers.dispose();
    this.daemons.delete(host);
    this.network.removeHost(host);
  }

  #start(self: FleetHost): void {
    const { clock } = this;
    const links = this.network.addHost(self.host, clock);
    const targets = new Set<HostId>();
    this.dialTargets.set(self.host, targets);
    const setPeers = links.setPeers.bind(links);
    links.setPeers = (peers) => {
      for (const { host } of peers) targets.add(host);
      setPeers(peers);
    };
    const mirror = new StoreMirror(clock);
    const confirmView = (): void => {
      if (!this.hostsWithOldView.has(self.host)) {
        mirror.applyChanges([], STORE_REVISION, timestampNow(clock));
      }
    };
    confirmView();
    const viewTimer = runPeriodically(clock, VIEW_INTERVAL_MS, confirmView);
    const peers = new GatewayTopology({
      clock,
      logger: NOOP_LOGGER,
      hasher: this.#hasher,
      http: new JsonClient(clock),
      links,
      mirror,
      self,
      settings: () => SETTINGS,
    });
    const board = new LoadTable(clock);
    const exchange = new LoadTableSync(self.host, clock, links, peers, board);
    const suspects = new SuspectTable(clock);
    const suspectSync = new SuspectSync({
      clock,
      links,
      channel: links.openChannel(QUARANTINE_CHANNEL),
      table: suspects,
      relay: peers,
    });
    const promptParts = new PromptPartTable(clock);
    const promptPartSync = new PromptPartSync({
      clock,
      links,
      relay: peers,
      table: promptParts,
    });
    const registry = new EndpointRegistry(clock, NOOP_LOGGER);
    const streamVersions = new GatewayStreamVersions({
      clock,
      logger: NOOP_LOGGER,
      hasher: this.#hasher,
      host: self.host,
      incarnation: clock.nowMs(),
      links,
      relay: peers,
      overlay: peers,
      registry,
      mirror,
      state: new ConfigurationState(NOOP_LOGGER, () => Infinity),
      store: UNREACHABLE_STORE,
    });
    streamVersions.history.setRoutes([STREAM_ROUTE]);
    streamVersions.history.startObserving();
    const cold = new ColdEndpoints({
      clock,
      registry,
      findService: (id) => this.services.get(id),
    });
    const limitTable = new LimitTable(clock, cold);
    const limitRights = new LimitRights({
      self: self.host,
      clock,
      logger: NOOP_LOGGER,
      metrics: new GatewayMetrics(),
      hasher: this.#hasher,
      links,
      overlay: peers,
      reach: peers,
      table: limitTable,
    });
    const brittleTable = new BrittleTable(clock);
    const roomPermits = new RoomPermits({
      self: self.host,
      clock,
      logger: NOOP_LOGGER,
      hasher: this.#hasher,
      links,
      overlay: peers,
      reach: peers,
      table: brittleTable,
      reportedRuns: (endpoint) => board.totalUsage(endpoint).runs,
      count: () => undefined,
    });
    this.daemons.set(self.host, {
      viewTimer,
      cold,
      limitTable,
      limitRights,
      brittleTable,
      roomPermits,
      links,
      peers,
      board,
      exchange,
      suspects,
      suspectSync,
      promptParts,
      promptPartSync,
      registry,
      streamVersions,
    });
  }
}

/** One daemon of a fleet. */
export interface FleetDaemon {
  readonly viewTimer: Disposable;
  readonly cold: ColdEndpoints;
  readonly limitTable: LimitTable;
  readonly limitRights: LimitRights;
  readonly brittleTable: BrittleTable;
  readonly roomPermits: RoomPermits;
  readonly links: InProcessPeerLinks;
  readonly peers: GatewayTopology;
  readonly board: LoadTable;
  readonly exchange: LoadTableSync;
  readonly suspects: SuspectTable;
  readonly suspectSync: SuspectSync;
  readonly promptParts: PromptPartTable;
  readonly promptPartSync: PromptPartSync;
  readonly registry: EndpointRegistry;
  readonly streamVersions: GatewayStreamVersions;
}
