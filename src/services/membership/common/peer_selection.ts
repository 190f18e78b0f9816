/** Which hosts a daemon keeps links to. */

import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";
import type { MemberTable } from "./member_table.ts";

/** Hosts of each other zone that a daemon keeps links to. */
export const PEERS_PER_REMOTE_ZONE = 2;

/** Up to this many members every daemon keeps links to all others. */
const FULL_MESH_MAX_MEMBERS = 32;

/** What the selection looks at. */
export interface PeerSelectionInput {
  readonly self: PeerAddress;
  readonly hasher: Hasher;
  readonly table: MemberTable;
  /** Hosts that are known by address but have not been heard. */
  readonly bootstrapPeers: readonly PeerAddress[];
  /** Whether a host of another zone has failed to answer of late. */
  isInCooldown(host: HostId): boolean;
}

/**
 * @param input - What is known.
 * @returns All hosts of the own zone, and some of each other zone.
 */
export function selectPeers(input: PeerSelectionInput): PeerAddress[] {
  const { self, table, bootstrapPeers: bootstrapPeers } = input;
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

/** Hosts that are gone are dialled as well: the way to them may have been cut. */
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
  { self, hasher, table, isInCooldown: isInCooldown }: PeerSelectionInput,
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
