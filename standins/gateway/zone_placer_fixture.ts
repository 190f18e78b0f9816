/** Zone placers of gateways in one process; host 1 places for all. */

import type { HostId } from "../../src/base/common/ids.ts";
import type { EndpointChooser } from "../../src/features/gateway/common/endpoint_chooser.ts";
import { PlacementQueue } from "../../src/features/gateway/common/placement_queue.ts";
import { ZonePlacer } from "../../src/features/gateway/common/zone_placer.ts";
import type { PeerOverlay } from "../../src/services/peers/common/peer_overlay.ts";
import type { InProcessNetwork } from "../peers/in_process_links.ts";
import type { GatewayHarness } from "./gateway_harness.ts";

/** Host that places for the zone. */
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
 * @param world - The gateway that asks for places.
 * @param chooser - Its chooser.
 * @param network - Where its host joins.
 * @param number - Number of its host.
 * @returns Its placer.
 */
export function createZonePlacer(
  world: GatewayHarness,
  chooser: EndpointChooser,
  network: InProcessNetwork,
  number: number,
): ZonePlacer {
  const { loadTable: board, clock, logger, registry, state } = world;
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
    loadTable: board,
    chooser,
    localPlacer: new PlacementQueue(clock, chooser),
    findService: (id) => state.current?.configuration.services.get(id),
  });
}
