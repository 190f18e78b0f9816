import { ManualClock } from "../../../base/common/clock.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import type { RelayPeer } from "../../../services/relay/common/relay_sender.ts";
import { RelayChooser } from "./relay_chooser.ts";

const ADDRESS = "10.0.0.1:80" as Address;
const NONE: ReadonlySet<HostId> = new Set();

describe("RelayChooser", () => {
  let clock: ManualClock;
  let peers: RelayPeer[];
  let lostAt: Set<HostId>;
  let chooser: RelayChooser;

  beforeEach(() => {
    clock = new ManualClock();
    peers = [];
    lostAt = new Set();
    chooser = new RelayChooser({
      clock,
      random: new SeededRandom(1),
      zone: "zone-a" as ZoneName,
      peers: () => peers,
      hasLost: (host) => lostAt.has(host),
      zoneOf: () => "zone-b" as ZoneName,
    });
  });

  function addPeers(zone: string, count: number): RelayPeer[] {
    const added = Array.from({ length: count }, (_, index) => ({
      host: `${zone}-${index}` as HostId,
      zone: zone as ZoneName,
      relayAddress: `10.0.1.${index}:7200` as Address,
    }));
    peers.push(...added);
    return added;
  }

  function requestsPerPeer(count: number): Map<HostId, number> {
    const requests = new Map<HostId, number>();
    for (let index = 0; index < count; index++) {
      const peer = chooser.choose(ADDRESS, NONE)!;
      chooser.begin(peer);
      requests.set(peer.host, (requests.get(peer.host) ?? 0) + 1);
    }
    return requests;
  }

  it("spreads requests over the peers", () => {
    addPeers("zone-a", 10);
    const counts = [...requestsPerPeer(60).values()];
    expect(counts).toHaveLength(10);
    expect(Math.max(...counts)).toBeLessThanOrEqual(9);
  });

  // Guards against bodies that reach peers outside of their regions.
  it("chooses only peers in zones to which the request may be passed", () => {
    addPeers("zone-a", 2);
    addPeers("zone-c", 2);
    for (let index = 0; index < 20; index++) {
      const peer = chooser.choose(ADDRESS, NONE, (zone) => zone === "zone-c");
      expect(peer?.zone).toBe("zone-c");
    }
    expect(chooser.choose(ADDRESS, NONE, () => false)).toBeUndefined();
  });

  it("prefers peers in its own zone and in that of the endpoint", () => {
    addPeers("zone-a", 2);
    addPeers("zone-b", 2);
    addPeers("zone-c", 20);
    const zones = [...requestsPerPeer(12).keys()].map((host) =>
      host.slice(0, 6)
    );
    expect(new Set(zones)).toEqual(new Set(["zone-a", "zone-b"]));
  });

  it("does not give all requests to the only host of its zone that reaches the endpoint", () => {
    const [only, ...others] = addPeers("zone-a", 38);
    for (const { host } of others) lostAt.add(host);
    addPeers("zone-c", 38);
    const requests = requestsPerPeer(60);
    expect(requests.get(only!.host)).toBeLessThanOrEqual(9);
    expect(requests.size).toBeGreaterThan(20);
  });

  it("asks no peer that has stated that it cannot reach the endpoint", () => {
    const [first, second] = addPeers("zone-a", 2);
    lostAt.add(first!.host);
    expect([...requestsPerPeer(5).keys()]).toEqual([second!.host]);
    lostAt.add(second!.host);
    expect(chooser.choose(ADDRESS, NONE)).toBeUndefined();
    expect(chooser.canReach(ADDRESS)).toBe(false);
  });

  it("avoids a peer that refused the endpoint for a short time only", () => {
    const [first] = addPeers("zone-a", 1);
    chooser.recordRefusal(first!, ADDRESS);
    expect(chooser.canReach(ADDRESS)).toBe(false);
    expect(chooser.canReach("10.0.0.2:80" as Address)).toBe(true);
    clock.advance(400);
    expect(chooser.canReach(ADDRESS)).toBe(true);
  });

  it("prefers a peer that has lately reached the endpoint", () => {
    const [first] = addPeers("zone-a", 6);
    chooser.recordSuccess(first!, ADDRESS);
    expect([...requestsPerPeer(4).keys()]).toEqual([first!.host]);
    clock.advance(3_000);
    expect(requestsPerPeer(20).size).toBeGreaterThan(1);
  });
});
