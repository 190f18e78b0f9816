import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type { HostId } from "../../src/base/common/ids.ts";
import { ENDPOINT, Fleet } from "./in_process_fleet.ts";

describe("endpoint load in a fleet", () => {
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

  it("links all pairs of daemons in a small fleet", async () => {
    const fleet = await startFleet(3);
    expect(hubsOf(fleet)).toHaveLength(9);
    expect(fleet.linkCount).toBe(36);
  });

  it("links a large fleet through three hubs in each zone", async () => {
    const fleet = await startFleet(30);
    const hubs = hubsOf(fleet);
    expect(hubs).toHaveLength(9);
    expect(hubs.filter((hub) => /-2[89]$/.test(hub))).toEqual([]);
    expect(fleet.linkCount).toBe(36 + 3 * 27 * 3);
    const isHub = new Set(hubs);
    for (const targets of fleet.dialTargets.values()) {
      expect([...targets].filter((host) => !isHub.has(host))).toEqual([]);
    }
    const before = messagesSentIn(fleet);
    await fleet.advance(8_000);
    // While idle: two reports from each of 81 daemons, and what the hubs
    // relay.
    expect(messagesSentIn(fleet) - before).toBeLessThan(
      2 * 81 * 3 + 9 * 27 * 2 * 10,
    );
  });

  it.each([3, 12])(
    "disseminates a claim to all daemons within 100 ms with %d hosts per zone",
    async (hostsPerZone) => {
      const fleet = await startFleet(hostsPerZone);
      const claiming = fleet.daemons.get("zone-a-host-2" as HostId)!;
      const claim = claiming.board.claim(ENDPOINT, 3_000, 3_000);
      await fleet.advance(100);
      expect(fleet.hostsNotSeeing(1)).toEqual([]);
      claim.dispose();
      await fleet.advance(100);
      expect(fleet.hostsNotSeeing(0)).toEqual([]);
    },
  );

  it("counts hosts whose entries lapse for a minute, so that retries stay within the budget", async () => {
    const fleet = await startFleet(30);
    const [, leaf] = [...fleet.daemons].find(([, { peers }]) => !peers.isHub)!;
    const lapsed = [...fleet.daemons.keys()].map((host) =>
      [host, undefined] as const
    );
    leaf.peers.onHostsChanged(new Map(lapsed));
    expect(leaf.peers.fleetSize).toBeLessThan(10);
    await fleet.advance(59_000);
    expect(leaf.peers.largestFleetSize).toBe(90);
    await fleet.advance(2_000);
    expect(leaf.peers.largestFleetSize).toBeLessThan(10);
  });

  it("sends each peer exactly one message per claim", async () => {
    const fleet = await startFleet(3);
    const claiming = fleet.daemons.get("zone-a-host-2" as HostId)!;
    const before = claiming.links.traffic().messagesSent;
    claiming.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(500);
    expect(claiming.links.traffic().messagesSent - before).toBe(8);
  });

  it("uses other hubs when two hubs of a zone die", async () => {
    const fleet = await startFleet(12);
    const dying = hubsOf(fleet).filter((hub) => hub.startsWith("zone-b"))
      .slice(0, 2);
    const claiming =
      [...fleet.daemons].find(([host, { peers }]) =>
        host.startsWith("zone-b") && !peers.isHub
      )![1];
    claiming.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(100);
    for (const hub of dying) fleet.kill(hub);
    await fleet.advance(600);
    claiming.board.claim(ENDPOINT, 3_000, 3_000);
    await fleet.advance(100);
    expect(fleet.hostsNotSeeing(2)).toEqual([]);
    await fleet.advance(3_000);
    expect(hubsOf(fleet)).toHaveLength(9);
  });

  it("converges when daemons disagree on which hosts are hubs", async () => {
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
    const claiming = fleet.daemons.get(cutOff[0]!)!;
    claiming.board.claim(ENDPOINT, 3_000, 3_000);
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
