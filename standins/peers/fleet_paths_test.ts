import { ManualClock } from "../../src/base/common/clock.ts";
import type { Address, HostId, ZoneName } from "../../src/base/common/ids.ts";
import { DirectPaths } from "../../src/features/paths/common/direct_paths.ts";
import { FleetPaths } from "../../src/features/paths/common/fleet_paths.ts";
import { InProcessNetwork } from "./in_process_links.ts";

const ADDRESS = "10.0.0.1:80" as Address;
const HUB = "hub" as HostId;
const LEAVES = ["leaf-1", "leaf-2"] as HostId[];

describe("lost paths among the hosts", () => {
  let clock: ManualClock;
  let network: InProcessNetwork;

  beforeEach(() => {
    clock = new ManualClock();
    network = new InProcessNetwork();
  });

  /** Leaves are linked to the hub only. */
  function start(host: HostId) {
    const links = network.addHost(host, clock);
    const direct = new DirectPaths(clock);
    const paths = new FleetPaths({
      self: host,
      clock,
      links,
      overlay: {
        isHub: host === HUB,
        linkedHubs: () => links.connectedHosts().filter((peer) => peer === HUB),
        linkedLeaves: () =>
          host === HUB
            ? links.connectedHosts().filter((peer) => peer !== HUB)
            : [],
      },
      direct,
    });
    links.setPeers(
      (host === HUB ? LEAVES : [HUB]).map((peer) => ({
        host: peer,
        zone: "zone-a" as ZoneName,
        address: "127.0.0.1:1" as Address,
      })),
    );
    return { direct, links, paths };
  }

  it("are known to hosts that are not linked, until they return", () => {
    const [first, second] = [start(LEAVES[0]!), start(LEAVES[1]!)];
    const hub = start(HUB);
    clock.advance(1_000);
    first.direct.onOpenFailed(ADDRESS, "timed-out");
    clock.advance(100);
    for (const { paths } of [hub, second]) {
      expect(paths.hasLost(LEAVES[0]!, ADDRESS)).toBe(true);
    }
    first.direct.onOpened(ADDRESS);
    clock.advance(100);
    for (const { paths } of [hub, second]) {
      expect(paths.hasLost(LEAVES[0]!, ADDRESS)).toBe(false);
    }
  });

  it("reach a host that joins later", () => {
    const first = start(LEAVES[0]!);
    start(HUB);
    clock.advance(1_000);
    first.direct.onOpenFailed(ADDRESS, "timed-out");
    clock.advance(100);
    const second = start(LEAVES[1]!);
    clock.advance(100);
    expect(second.paths.hasLost(LEAVES[0]!, ADDRESS)).toBe(true);
  });

  it("of a process that has started again replace those of the one before", () => {
    const hub = start(HUB);
    const first = start(LEAVES[0]!);
    clock.advance(1_000);
    first.direct.onOpenFailed(ADDRESS, "timed-out");
    clock.advance(100);
    first.paths.dispose();
    start(LEAVES[0]!);
    network.cut(LEAVES[0]!, HUB);
    network.heal();
    clock.advance(100);
    expect(hub.paths.hasLost(LEAVES[0]!, ADDRESS)).toBe(false);
  });
});
