/** Promise-based wrapper for starting a server. */

import type { AddressInfo, ListenOptions, Server } from "node:net";
import { type Address, asId } from "../../../base/common/ids.ts";
import { splitAddress } from "../../settings/common/shared_schemas.ts";
import type { ServerErrorListener } from "../common/port_opener.ts";

/**
 * @param server - A server that is not listening; one that failed to listen can
 * be passed again.
 * @param address - The address to listen on; port 0 selects a free port.
 * @param options - Further options for `listen`.
 * @param onError - Called with each error while the server is listening, such
 * as a connection that cannot be accepted.
 * @returns The address with the actual port. Rejects when the port is in use.
 */
export async function listenAt(
  server: Server,
  address: Address,
  options: ListenOptions = {},
  onError: ServerErrorListener = () => undefined,
): Promise<Address> {
  const { ip, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    const onListening = (): void => {
      server.off("error", onFailed);
      server.on("error", onError);
      resolve();
    };
    const onFailed = (error: Error): void => {
      server.off("listening", onListening);
      reject(error);
    };
    server.once("error", onFailed);
    server.once("listening", onListening);
    server.listen({ ...options, port, host: ip });
  });
  const bound = server.address() as AddressInfo;
  return asId<Address>(address.replace(/:\d+$/, `:${bound.port}`));
}
