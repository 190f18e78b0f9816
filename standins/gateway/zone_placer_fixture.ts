/**
 * Creates zone placers for gateways in one process. Host 1 is the placer for
 * all of them.
 */

import type { HostId } from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import type { EndpointChooser } from "../../src/features/gateway/common/placement/endpoint_chooser.ts";
import { PlacementQueue } from "../../src/features/gateway/common/placement/placement_queue.ts";
import { ZonePlacer } from "../../src/features/gateway/common/placement/zone_placer.ts";
import type { PeerOverlay } from "../../src/services/peers/common/peer_overlay.ts";
import type { InProcessNetwork } from "../peers/in_process_links.ts";
import type { GatewayHarness } from "./gateway_harness.ts";

/** Host that decides placements for the zone. */
export const PLACER_HOST = "host-1" as HostId;

const OVERLAY: PeerOverlay = {
  onDidChangeHomeHub: () => ({ dispose: () => undefined }),
  isHub: true,
  homeHub: () => undefined,
  zoneHubFor: () => PLACER_HOST,
  linkedHubs: () => [],
  linkedLeaves: () => [],
};

/**
 * Creates the zone placer of a gateway.
 *
 * @param harness - The gateway that requests placements.
 * @param chooser - Its endpoint chooser.
 * @param network - The network that its host joins.
 * @param number - Number of its host.
 * @returns The zone placer.
 */
export function createZonePlacer(
  harness: GatewayHarness,
  chooser: EndpointChooser,
  network: InProcessNetwork,
  number: number,
): ZonePlacer {
  const { eligibility, loadTable, clock, logger, registry, state } = harness;
  const self = `host-${number}` as HostId;
  const links = network.addHost(self, clock);
  for (const [host, joined] of network.hosts) {
    const others = [...network.hosts.keys()].filter((other) => other !== host);
    joined.setPeers(others.map((other) => ({
      host: other,
      zone: "zone" as never,
      address: "" as never,
    })));
  }
  return new ZonePlacer({
    self,
    clock,
    logger,
    links,
    overlay: OVERLAY,
    registry,
    eligibility,
    loadTable,
    chooser,
    localPlacer: new PlacementQueue(clock, chooser, new SeededRandom(number)),
    findService: (id) => state.current?.configuration.services.get(id),
  });
}
