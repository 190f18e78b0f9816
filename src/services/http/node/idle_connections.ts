/** The idle connections of a client, by address. */

import type { Address, RequestId } from "../../../base/common/ids.ts";
import type { ConnectionHistory } from "../common/connection_history.ts";

/** A connection that can wait for its next request. */
export interface IdleConnection {
  readonly address: Address;
  readonly history: ConnectionHistory;
  /** Whether it carries requests without ids, and no others. */
  readonly isUnnamed: boolean;
  /** Monotonic time since which it is idle, in milliseconds. */
  idleSinceMs: number;
}

/**
 * Keeps idle connections in the order of their use. Requests without ids have
 * connections of their own.
 */
export class IdleConnections<Connection extends IdleConnection> {
  readonly #maxPerAddress: number;
  readonly #discard: (connection: Connection) => void;
  readonly #named = new Map<Address, Connection[]>();
  readonly #unnamed = new Map<Address, Connection[]>();

  /**
   * @param maxPerAddress - Largest number that is kept of each kind.
   * @param discard - Closes a connection that is not kept.
   */
  constructor(
    maxPerAddress: number,
    discard: (connection: Connection) => void,
  ) {
    this.#maxPerAddress = maxPerAddress;
    this.#discard = discard;
  }

  /**
   * Returns the most recently used connection that has not carried a request.
   *
   * @param address - Address of the server.
   * @param requestId - Id of the request, if it has one.
   */
  find(
    address: Address,
    requestId: RequestId | undefined,
  ): Connection | undefined {
    return this.#poolFor(requestId === undefined).get(address)?.findLast((
      { history },
    ) => requestId === undefined || !history.hasCarried(requestId));
  }

  /** The same as `find`; the connection is idle no longer. */
  take(
    address: Address,
    requestId: RequestId | undefined,
  ): Connection | undefined {
    const connection = this.find(address, requestId);
    if (!connection) return undefined;
    const idle = this.#poolFor(connection.isUnnamed).get(address)!;
    idle.splice(idle.lastIndexOf(connection), 1);
    return connection;
  }

  /**
   * Adds a connection; the least recently used one is closed if there are too
   * many.
   *
   * @param connection - The connection.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add(connection: Connection, nowMs: number): void {
    const pool = this.#poolFor(connection.isUnnamed);
    const idle = pool.get(connection.address) ?? [];
    pool.set(connection.address, idle);
    connection.idleSinceMs = nowMs;
    idle.push(connection);
    if (idle.length > this.#maxPerAddress) this.#discard(idle.shift()!);
  }

  /** Closes one connection that has carried a request, if there is one. */
  closeCarrier(address: Address, requestId: RequestId): void {
    const idle = this.#named.get(address) ?? [];
    const index = idle.findLastIndex(({ history }) =>
      history.hasCarried(requestId)
    );
    if (index >= 0) this.#discard(idle.splice(index, 1)[0]!);
  }

  /** Closes all connections to an address. */
  close(address: Address): void {
    for (const pool of [this.#named, this.#unnamed]) {
      for (const connection of pool.get(address) ?? []) {
        this.#discard(connection);
      }
      pool.delete(address);
    }
  }

  #poolFor(isUnnamed: boolean): Map<Address, Connection[]> {
    return isUnnamed ? this.#unnamed : this.#named;
  }
}
