/** Peers that must not be asked again for one request. */

import type { Address, HostId } from "../../../base/common/ids.ts";
import type { RequestPeers } from "../../http/common/pass_through_client.ts";

/**
 * Peers that have passed back an answer to a request, and may send the request
 * again on the connection to the endpoint that has carried it. Another endpoint
 * has other connections.
 */
export class SpentPeers implements RequestPeers {
  readonly #byAddress = new Map<Address, Set<HostId>>();

  /** {@inheritDoc RequestPeers.add} */
  add(peer: HostId, address: Address): void {
    const peers = this.#byAddress.get(address) ?? new Set();
    this.#byAddress.set(address, peers.add(peer));
  }

  /** {@inheritDoc RequestPeers.at} */
  at(address: Address): ReadonlySet<HostId> {
    return this.#byAddress.get(address) ?? new Set();
  }
}
