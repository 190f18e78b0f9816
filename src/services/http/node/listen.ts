/** Promise-based wrapper for starting a server. */

import type { AddressInfo, ListenOptions, Server } from "node:net";
import { type Address, asId } from "../../../base/common/ids.ts";
import { splitAddress } from "../../settings/common/shared_schemas.ts";

/**
 * @param server - A server that is not listening yet.
 * @param address - The address to listen on; port 0 selects a free port.
 * @param options - Further options for `listen`.
 * @returns The address with the actual port. Rejects when the port is in use.
 */
export async function listenAt(
  server: Server,
  address: Address,
  options: ListenOptions = {},
): Promise<Address> {
  const { ip, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...options, port, host: ip }, resolve);
  });
  const bound = server.address() as AddressInfo;
  return asId<Address>(address.replace(/:\d+$/, `:${bound.port}`));
}
