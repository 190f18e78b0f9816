/** Listening as a promise. */

import type { AddressInfo, ListenOptions, Server } from "node:net";
import { type Address, asId } from "../../../base/common/ids.ts";
import { splitAddress } from "../../settings/common/shared_schemas.ts";

/**
 * @param server - A server that does not listen yet.
 * @param address - Where to listen; port 0 takes a free one.
 * @param options - Further options.
 * @returns The address with its port; rejects when the port is taken.
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
