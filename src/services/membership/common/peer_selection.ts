/** Selects the hosts to which a daemon keeps links. */

import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";
import type { MemberTable } from "./member_table.ts";

/** Number of hosts in each other zone to which a daemon keeps links. */
export const PEERS_PER_REMOTE_ZONE = 2;

/**
 * Largest fleet, in members, in which every daemon keeps links to all others.
 */
const FULL_MESH_MAX_MEMBERS = 32;

/** Input of the peer selection. */
export interface PeerSelectionInput {
  readonly self: PeerAddress;
  readonly hasher: Hasher;
  readonly table: MemberTable;
  /**
   * Hosts with a configured or listed address, from which nothing may have been
   * received yet.
   */
  readonly bootstrapPeers: readonly PeerAddress[];
  /** Whether a host of another zone has recently been unresponsive. */
  isInCooldown(host: HostId): boolean;
}

/**
 * Selects the peers of this daemon.
 *
 * @param input - The members, the bootstrap peers and the hosts in cooldown.
 * @returns All hosts of this daemon's zone and a few hosts of each other zone.
 * In a small fleet, all hosts of all zones.
 */
export function selectPeers(input: PeerSelectionInput): PeerAddress[] {
  const { self, table, bootstrapPeers } = input;
  const isFullMesh = table.presentCount <= FULL_MESH_MAX_MEMBERS;
  const peers = new Map<HostId, PeerAddress>();
  for (const [zone, hosts] of groupPeersByZone(table, bootstrapPeers)) {
    const selected = zone === self.zone || isFullMesh
      ? hosts
      : chooseRemotePeers(input, hosts);
    for (const peer of selected) peers.set(peer.host, peer);
  }
  peers.delete(self.host);
  return [...peers.values()];
}

/**
 * Groups the candidate peers by zone. Removed hosts are included, since they
 * may have been removed only because the network to them was interrupted.
 */
function groupPeersByZone(
  table: MemberTable,
  bootstrapPeers: readonly PeerAddress[],
): Map<ZoneName, PeerAddress[]> {
  const zones = new Map<ZoneName, PeerAddress[]>();
  const unregistered = bootstrapPeers.filter(({ host }) => !table.get(host));
  for (const peer of [...table.records(), ...unregistered]) {
    const hosts = zones.get(peer.zone);
    if (hosts) hosts.push(peer);
    else zones.set(peer.zone, [peer]);
  }
  return zones;
}

function chooseRemotePeers(
  { self, hasher, table, isInCooldown }: PeerSelectionInput,
  hosts: readonly PeerAddress[],
): PeerAddress[] {
  const byHost = new Map(hosts.map((peer) => [peer.host, peer]));
  const rank = (host: HostId): number => {
    const record = table.get(host);
    if (record?.status === "gone") return 2;
    return isInCooldown(host) ? 1 : 0;
  };
  const order = rendezvousOrder(hasher, self.host, [...byHost.keys()]);
  order.sort((left, right) => rank(left) - rank(right));
  return order.slice(0, PEERS_PER_REMOTE_ZONE).map((host) => byHost.get(host)!);
}
