/**
 * Sends raw bytes over TCP or TLS, for requests that an HTTP library would not
 * send.
 */

import { connect } from "node:net";
import { connect as connectTls } from "node:tls";
import type { Socket } from "node:net";
import type { Address } from "../../src/base/common/ids.ts";
import { splitAddress } from "../../src/services/settings/common/shared_schemas.ts";

const IDLE_TIMEOUT_MS = 150;

/**
 * Sends bytes and collects the response until the remote side closes the
 * connection or, after its first byte, sends nothing for a while.
 *
 * @param address - Address to connect to.
 * @param parts - Data to send in order, each part in a write of its own.
 * @param ca - Certificate authority; if given, the connection uses TLS.
 * @returns All bytes received, decoded as Latin-1.
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
    let idleTimer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(idleTimer);
      socket.destroy();
      resolve(Buffer.concat(received).toString("latin1"));
    };
    socket.on("data", (chunk) => {
      received.push(chunk);
      clearTimeout(idleTimer);
      idleTimer = setTimeout(finish, IDLE_TIMEOUT_MS);
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
