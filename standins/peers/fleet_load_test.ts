import { ManualClock } from "../../src/base/common/clock.ts";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { GatewayTopology } from "../../src/daemon/node/gateway_topology.ts";
import { LoadTable } from "../../src/features/gateway/common/load_table.ts";
import { LoadTableSync } from "../../src/features/gateway/common/load_table_sync.ts";
import { JsonClient } from "../../src/services/http/node/json_client.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import type { FleetHost } from "../../src/services/peers/common/link_planner.ts";
import {
  InProcessNetwork,
  type InProcessPeerLinks,
} from "./in_process_links.ts";

const ENDPOINT = "engine-1" as EndpointId;
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Daemons that only place requests and tell each other. */
class Fleet {
  readonly clock = new ManualClock();
  readonly network = new InProcessNetwork();
  readonly daemons = new Map<HostId, FleetDaemon>();
  /** Hosts that some daemon has asked for a link to, by that daemon. */
  readonly dialTargets = new Map<HostId, Set<HostId>>();
  readonly #hasher: Hasher;

  constructor(hasher: Hasher, hostsPerZone: number) {
    this.#hasher = hasher;
    const hosts = ZONES.flatMap((zone) =>
      Array.from({ length: hostsPerZone }, (_, index): FleetHost => ({
        host: `${zone}-host-${index}` as HostId,
        zone: zone as ZoneName,
        address: `127.0.0.1:${1_000 + index}` as Address,
        // The last ones are too small to relay.
        capacity: index < hostsPerZone - 2 ? 1 : 0.3,
      }))
    );
    for (const host of hosts) this.#start(host);
    const hostsByName = new Map(hosts.map((host) => [host.host, host]));
    for (const { peers } of this.daemons.values()) {
      peers.onHostsChanged(hostsByName);
    }
  }

  async advance(durationMs: number): Promise<void> {
    await this.clock.advanceAsync(durationMs);
  }

  get linkCount(): number {
    const ends = [...this.daemons.values()].map(({ links }) =>
      links.connectedHosts().length
    );
    return ends.reduce((sum, count) => sum + count, 0) / 2;
  }

  /** Members that do not see a number of runs at the endpoint. */
  hostsNotSeeing(runs: number): HostId[] {
    return [...this.daemons].filter(([, { board }]) =>
      board.totalUsage(ENDPOINT).runs !== runs
    ).map(([host]) => host);
  }

  kill(host: HostId): void {
    const daemon = this.daemons.get(host)!;
    daemon.exchange.dispose();
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
    const peers = new GatewayTopology({
      clock,
      logger: NOOP_LOGGER,
      hasher: this.#hasher,
      http: new JsonClient(clock),
      links,
      mirror: new StoreMirror(clock),
      self,
      seedAddresses: () => [],
    });
    const board = new LoadTable(clock);
    const exchange = new LoadTableSync(self.host, clock, links, peers, board);
    this.daemons.set(self.host, { links, peers, board, exchange });
  }
}

interface FleetDaemon {
  readonly links: InProcessPeerLinks;
  readonly peers: GatewayTopology;
  readonly board: LoadTable;
  readonly exchange: LoadTableSync;
}

describe("load of endpoints in a fleet", () => {
  let hasher: Hasher;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  async function startFleet(hostsPerZone: number): Promise<Fleet> {
    const fleet = new Fleet(hasher, hostsPerZone);
    await fleet.advance(3_000);
    return fleet;
  }

  function hubsOf(fleet: Fleet): HostId[] {
    return [...fleet.daemons].filter(([, { peers }]) => peers.isHub)
      .map(([host]) => host);
  }

  it("links all pairs of a small fleet", async () => {
    const fleet = await startFleet(3);
    expect(hubsOf(fleet)).toHaveLength(9);
    expect(fleet.linkCount).toBe(36);
  });

  it("links a large fleet through three hubs of each zone", async () => {
    const fleet = await startFleet(30);
    const hubs = hubsOf(fleet);
    expect(hubs).toHaveLength(9);
    expect(hubs.filter((hub) => /-2[89]$/.test(hub))).toEqual([]);
    expect(fleet.linkCount).toBe(36 + 3 * 27 * 3);
    const isHub = new Set(hubs);
    for (const asked of fleet.dialTargets.values()) {
      expect([...asked].filter((host) => !isHub.has(host))).toEqual([]);
    }
    const before = messagesSentIn(fleet);
    await fleet.advance(8_000);
    // Idle: two reports of each of 81 daemons, and what hubs make of them.
    expect(messagesSentIn(fleet) - before).toBeLessThan(
      2 * 81 * 3 + 9 * 27 * 2 * 10,
    );
  });

  it.each([3, 12])(
    "shows a placement to all daemons within 100 ms, %d hosts a zone",
    async (hostsPerZone) => {
      const fleet = await startFleet(hostsPerZone);
      const placing = fleet.daemons.get("zone-a-host-2" as HostId)!;
      const claim = placing.board.claim(ENDPOINT, 3_000, 3_000);
      await fleet.advance(100);
      expect(fleet.hostsNotSeeing(1)).toEqual([]);
      claim.dispose();
      await fleet.advance(100);
      expect(fleet.hostsNotSeeing(0)).toEqual([]);
    },
  );

  it("tells each peer of a placement once", async () => {
    const fleet = await startFleet(3);
    const placing = fleet.daemons.get("zone-a-host-2" as HostId)!;
    const before = placing.links.traffic().messagesSent;
    placing.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(500);
    expect(placing.links.traffic().messagesSent - before).toBe(8);
  });

  it("goes on through other hubs when two of a zone die", async () => {
    const fleet = await startFleet(12);
    const dying = hubsOf(fleet).filter((hub) => hub.startsWith("zone-b"))
      .slice(0, 2);
    const placing =
      [...fleet.daemons].find(([host, { peers }]) =>
        host.startsWith("zone-b") && !peers.isHub
      )![1];
    placing.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(100);
    for (const hub of dying) fleet.kill(hub);
    await fleet.advance(600);
    placing.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(100);
    expect(fleet.hostsNotSeeing(2)).toEqual([]);
    await fleet.advance(3_000);
    expect(hubsOf(fleet)).toHaveLength(9);
  });

  it("settles when hubs and others disagree on who is a hub", async () => {
    const fleet = await startFleet(12);
    const [first, second] = hubsOf(fleet).filter((hub) =>
      hub.startsWith("zone-c")
    );
    const cutOff = [...fleet.daemons.keys()].filter((host) =>
      host.startsWith("zone-c") && host !== first && host !== second
    ).slice(0, 4);
    for (const host of cutOff) {
      fleet.network.cut(host, first!);
      fleet.network.cut(host, second!);
    }
    await fleet.advance(4_000);
    const placing = fleet.daemons.get(cutOff[0]!)!;
    placing.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(150);
    expect(fleet.hostsNotSeeing(1)).toEqual([]);
    const before = messagesSentIn(fleet);
    await fleet.advance(1_000);
    expect(messagesSentIn(fleet) - before).toBeLessThan(2_000);
  });
});

function messagesSentIn(fleet: Fleet): number {
  return [...fleet.daemons.values()].reduce(
    (sum, { links }) => sum + links.traffic().messagesSent,
    0,
  );
}
