/** Opens TCP connections with a time limit. */

import { connect, Socket } from "node:net";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { ConnectFailure } from "../common/connection_observer.ts";
import { splitAddress } from "../../settings/common/shared_schemas.ts";

/** Begins to open a connection; the socket reports the result. */
export type SocketConnector = (address: Address) => Socket;

const CONNECT_FAILURES: Readonly<Record<string, ConnectFailure>> = {
  ECONNREFUSED: "refused",
  ECONNRESET: "reset",
  ETIMEDOUT: "timed-out",
};

/** @returns How a connection failed, by the error of its socket. */
export function toConnectFailure(error: NodeJS.ErrnoException): ConnectFailure {
  if (error instanceof ConnectTimeoutError) return "timed-out";
  return CONNECT_FAILURES[error.code ?? ""] ?? "failed";
}

/** Result of opening a connection, in the form that undici expects. */
export type ConnectCallback = (
  ...outcome: [Error, null] | [null, Socket]
) => void;

/** The connection was not open within its time limit. */
export class ConnectTimeoutError extends Error {
  /** @param timeoutMs - The time limit in milliseconds. */
  constructor(timeoutMs: number) {
    super(`the connection could not be opened in time (${timeoutMs} ms)`);
  }
}

/**
 * @param localIp - Address from which connections are opened, on a host that
 * has several; the system chooses one if absent.
 * @returns A connector that opens plain TCP connections.
 */
export function createTcpConnector(localIp?: string): SocketConnector {
  return (address) => {
    const { ip, port } = splitAddress(address);
    return connect({
      host: ip,
      port,
      ...(localIp !== undefined && { localAddress: localIp }),
    });
  };
}

/**
 * Opens a connection.
 *
 * @param connector - Opens the socket.
 * @param address - The address to connect to.
 * @param timeoutMs - Time limit in milliseconds.
 * @param callback - Receives the open socket, or why there is none.
 * @returns The socket, which is not open yet.
 */
export function openSocket(
  connector: SocketConnector,
  address: Address,
  timeoutMs: number,
  callback: ConnectCallback,
): Socket {
  const socket = beginToOpen(connector, address);
  let isSettled = false;
  const settle = (...outcome: Parameters<ConnectCallback>): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timeout);
    callback(...outcome);
  };
  const timeout = setTimeout(() => {
    // After a pause of the process, timers run before a connection that was
    // opened in the meantime is reported.
    setImmediate(() => {
      if (isSettled) return;
      socket.destroy(new ConnectTimeoutError(timeoutMs));
    });
  }, timeoutMs);
  socket.once("error", (error) => settle(error, null));
  socket.once("close", () => settle(new Error("the socket was closed"), null));
  socket.once("connect", () => settle(null, socket));
  return socket;
}

/** Returns a socket that fails if none can be opened to the address. */
function beginToOpen(connector: SocketConnector, address: Address): Socket {
  try {
    return connector(address);
  } catch (thrown) {
    return new Socket().destroy(new Error(toErrorMessage(thrown)));
  }
}
