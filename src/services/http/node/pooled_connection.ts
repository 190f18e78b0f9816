/** A connection of the client for pass-through requests. */

import type { Socket } from "node:net";
import type { Client } from "undici";
import type { IdleConnection } from "./idle_connections.ts";
import type { ContinueFilter } from "./continue_filter.ts";
import type { KeptSocket } from "./kept_socket.ts";
import type { ReceiveLimit } from "./receive_limit.ts";

/** Maximum size of a head with the interim responses before it, in bytes. */
export const MAX_HEAD_BYTES = 262_144;

/** A connection that carries one request at a time. */
export interface PooledConnection extends IdleConnection {
  readonly client: Client;
  /** Limits the head of each response; `undefined` before it is open. */
  receiveLimit: ReceiveLimit | undefined;
  /** Filter of its interim responses; `undefined` before it is open. */
  continueFilter: ContinueFilter | undefined;
  hasSocketError: boolean;
  isOpen: boolean;
  /** Socket that is being opened. */
  openingSocket: Socket | undefined;
  /** Socket that was opened before the first request. */
  keptSocket: KeptSocket | undefined;
  isDiscarded: boolean;
}

/** Closes a connection. */
export function discard(connection: PooledConnection): void {
  connection.isDiscarded = true;
  // Requests in flight report the failure through their own handlers.
  connection.client.destroy().catch(() => undefined);
  connection.openingSocket?.destroy();
  connection.keptSocket?.dispose();
}
