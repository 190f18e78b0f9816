/** Bytes in, bytes out: a client without an HTTP library. */

import { connect } from "node:net";
import { connect as connectTls } from "node:tls";
import type { Socket } from "node:net";
import type { Address } from "../../src/base/common/ids.ts";
import { splitAddress } from "../../src/services/settings/common/shared_schemas.ts";

const IDLE_TIMEOUT_MS = 150;

/**
 * Sends bytes and collects what comes back until the other side closes or is
 * quiet for a while after its first byte.
 *
 * @param address - Where to connect.
 * @param parts - Sent in order, each as one write.
 * @param ca - Certificate authority, when the connection is to use TLS.
 * @returns All that came back.
 */
export async function sendRawBytes(
  address: Address,
  parts: readonly (string | Buffer)[],
  ca?: string,
): Promise<string> {
  const { ip, port } = splitAddress(address);
  const socket: Socket = ca === undefined
    ? connect(port, ip)
    : connectTls({ port, host: ip, ca });
  const received: Buffer[] = [];
  return await new Promise((resolve, reject) => {
    let quiet: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(quiet);
      socket.destroy();
      resolve(Buffer.concat(received).toString("latin1"));
    };
    socket.on("data", (chunk) => {
      received.push(chunk);
      clearTimeout(quiet);
      quiet = setTimeout(finish, IDLE_TIMEOUT_MS);
    });
    socket.on("close", finish);
    socket.on("error", (error) => {
      if (received.length > 0 || isReset(error)) finish();
      else reject(error);
    });
    for (const part of parts) socket.write(part);
  });
}

function isReset(error: Error & { readonly code?: string }): boolean {
  return error.code === "ECONNRESET" || error.code === "EPIPE";
}
