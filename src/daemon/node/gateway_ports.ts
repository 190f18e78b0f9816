/** Opens the ports of a gateway in the order in which it can serve. */

import type { PortOpener } from "../../services/http/common/port_opener.ts";
import type { CallerServer } from "../../services/http/node/caller_server.ts";
import type { WsPeerLinks } from "../../services/peers/node/ws_peer_links.ts";
import type { GatewayDaemonSettings } from "../common/gateway_settings.ts";
import type { GatewayOperatorPages } from "./gateway_operator_pages.ts";
import type { GatewayRelay } from "./gateway_relay.ts";

/** Servers of a gateway, none of which is listening. */
export interface GatewayServers {
  readonly callers: CallerServer;
  readonly links: WsPeerLinks;
  readonly pages: GatewayOperatorPages;
  readonly relay: GatewayRelay;
}

/**
 * Opens the ports. Those for relayed requests and metrics may follow later.
 *
 * @param ports - Opens the single ports.
 * @param settings - The addresses.
 * @param servers - The servers.
 * @returns Once the gateway listens to callers. Rejects if a port that it needs
 * can never be opened.
 */
export async function openGatewayPorts(
  ports: PortOpener,
  settings: GatewayDaemonSettings,
  { callers, links, pages, relay }: GatewayServers,
): Promise<void> {
  if (settings.relayAddress) {
    ports.openInBackground({
      purpose: "relay",
      address: settings.relayAddress,
      listen: (address, onError) => relay.listen(address, onError),
    });
  }
  await Promise.all([
    ports.open({
      purpose: "peers",
      address: settings.peersAddress,
      listen: (address, onError) => links.listen(address, onError),
    }),
    pages.listen(ports, settings.readinessAddress, settings.metricsAddress),
  ]);
  // Last, as nothing may be accepted that cannot be served.
  await ports.open({
    purpose: "callers",
    address: settings.callersAddress,
    listen: (address, onError) => callers.listen(address, onError),
  });
}
