/**
 * Client for pass-through requests based on undici, with one request at a time
 * on each connection.
 */

import type { Socket } from "node:net";
import { Client } from "undici";
import type { Clock } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address, RequestId } from "../../../base/common/ids.ts";
import { ConnectionHistory } from "../common/connection_history.ts";
import { ContinueFilter } from "./continue_filter.ts";
import { IdleConnections } from "./idle_connections.ts";
import { KeptSocket } from "./kept_socket.ts";
import {
  discard,
  MAX_HEAD_BYTES,
  type PooledConnection,
} from "./pooled_connection.ts";
import { ReceiveLimit } from "./receive_limit.ts";
import {
  type ConnectCallback,
  createTcpConnector,
  openSocket,
  type SocketConnector,
  toConnectFailure,
} from "./socket_connector.ts";
import { UndiciExchange } from "./undici_exchange.ts";
import type { ConnectionObserver } from "../common/connection_observer.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
  ProvenConnectionClient,
} from "../common/pass_through_client.ts";

/** Limits of the connections to endpoints. */
export interface ConnectionLimits {
  /** Time limit for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest time for which an idle connection is kept, in milliseconds. */
  readonly maxIdleMs: number;
  /** Largest number of idle connections that are kept to one address. */
  readonly maxIdlePerAddress: number;
}

/**
 * Default limits. Round trips take a few milliseconds, and most servers close
 * idle connections after 5 s.
 */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  connectTimeoutMs: 300,
  maxIdleMs: 4_000,
  maxIdlePerAddress: 16,
};

/** Settings of a client; each has a default. */
export interface PassThroughClientOptions {
  readonly limits?: ConnectionLimits;
  readonly observer?: ConnectionObserver | undefined;
  readonly connector?: SocketConnector | undefined;
}

/**
 * A connection is not reused within this time before the idle timeout that the
 * server announced, since the server may close it at the same moment.
 */
const KEEP_ALIVE_TIMEOUT_MARGIN_MS = 400;
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/**
 * Keeps a pool of idle connections for each address and reuses the most
 * recently used one first.
 */
export class UndiciPassThroughClient implements ProvenConnectionClient {
  readonly #clock: Clock;
  readonly #limits: ConnectionLimits;
  readonly #observer: ConnectionObserver | undefined;
  readonly #connector: SocketConnector;
  readonly #idle: IdleConnections<PooledConnection>;
  #openedCount = 0;

  /**
   * @param clock - The clock that measures idle times.
   * @param options - Limits, observer and connector of the connections.
   */
  constructor(clock: Clock, options: PassThroughClientOptions = {}) {
    this.#clock = clock;
    this.#limits = options.limits ?? DEFAULT_CONNECTION_LIMITS;
    this.#observer = options.observer;
    const { maxIdlePerAddress } = this.#limits;
    this.#idle = new IdleConnections(maxIdlePerAddress, discard);
    this.#connector = options.connector ?? createTcpConnector();
  }

  /** Number of connections opened since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** {@inheritDoc PassThroughClient.send} */
  send(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange {
    const { address, repeatableUntilMs = Infinity, requestId } = request;
    let connection: PooledConnection;
    try {
      connection = isCommand(request)
        ? this.#open(address, true)
        : this.#acquire(address, requestId);
    } catch (thrown) {
      return failUnsent(listener, thrown);
    }
    if (requestId !== undefined) {
      const nowMs = this.#clock.monotonicMs();
      connection.history.record(requestId, repeatableUntilMs, nowMs);
    }
    const exchange = new UndiciExchange(
      connection,
      request,
      this.#observed(address, listener),
      () => {
        if (isCommand(request)) discard(connection);
        else this.#release(connection);
      },
    );
    exchange.start();
    return exchange;
  }

  /** {@inheritDoc ProvenConnectionClient.hasProvenConnection} */
  hasProvenConnection(
    address: Address,
    sinceMs: number,
    requestId: RequestId | undefined,
  ): boolean {
    const nowMs = this.#clock.monotonicMs();
    // The most recently used one is taken first.
    const connection = this.#idle.find(address, requestId);
    return connection !== undefined && connection.isOpen &&
      connection.idleSinceMs >= sinceMs &&
      nowMs - connection.idleSinceMs < this.#limits.maxIdleMs;
  }

  /**
   * Opens a connection and keeps it for the next request.
   *
   * @param address - The address to connect to.
   * @returns Whether it was opened.
   */
  openConnection(address: Address): Promise<boolean> {
    const startedMs = this.#clock.monotonicMs();
    return new Promise((resolve) => {
      const socket = openSocket(
        this.#connector,
        address,
        this.#limits.connectTimeoutMs,
        (error, opened) => {
          if (opened) {
            this.#observer?.onOpened(address);
            this.#keep(address, opened);
          } else {
            const failure = toConnectFailure(error);
            this.#observer?.onOpenFailed(address, failure, startedMs);
          }
          resolve(opened !== null);
        },
      );
      configure(socket);
      socket.on("error", () => undefined);
    });
  }

  /** {@inheritDoc PassThroughClient.closeIdleConnections} */
  closeIdleConnections(address: Address): void {
    this.#idle.close(address);
  }

  /** Adds the observer to a listener. */
  #observed(
    address: Address,
    listener: PassThroughListener,
  ): PassThroughListener {
    const observer = this.#observer;
    if (!observer) return listener;
    return {
      ...listener,
      onHead: (status, headers) => {
        observer.onReceived(address);
        listener.onHead(status, headers);
      },
      onData: (chunk) => {
        observer.onReceived(address);
        return listener.onData(chunk);
      },
    };
  }

  #acquire(
    address: Address,
    requestId: RequestId | undefined,
  ): PooledConnection {
    const nowMs = this.#clock.monotonicMs();
    for (
      let connection = this.#idle.take(address, requestId);
      connection;
      connection = this.#idle.take(address, requestId)
    ) {
      const isFresh = nowMs - connection.idleSinceMs < this.#limits.maxIdleMs;
      const isOpen = connection.keptSocket?.isOpen ?? connection.isOpen;
      if (isFresh && isOpen) return connection;
      discard(connection);
    }
    // Endpoints limit the number of connections.
    if (requestId !== undefined) this.#idle.closeCarrier(address, requestId);
    return this.#open(address, requestId === undefined);
  }

  /** Keeps an open socket as an idle connection. */
  #keep(address: Address, socket: Socket): void {
    const connection = this.#open(address, false);
    connection.keptSocket = new KeptSocket(socket);
    connection.isOpen = true;
    this.#idle.add(connection, this.#clock.monotonicMs());
  }

  #open(address: Address, isUnnamed: boolean): PooledConnection {
    this.#openedCount++;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#limits.maxIdleMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_TIMEOUT_MARGIN_MS,
      strictContentLength: true,
      connect: (_options, callback) => this.#connect(connection, callback),
    });
    const connection: PooledConnection = {
      address,
      client,
      history: new ConnectionHistory(),
      isUnnamed,
      receiveLimit: undefined,
      continueFilter: undefined,
      hasSocketError: false,
      isOpen: false,
      openingSocket: undefined,
      keptSocket: undefined,
      isDiscarded: false,
      idleSinceMs: 0,
    };
    client.on("disconnect", () => {
      connection.isOpen = false;
    });
    return connection;
  }

  #connect(connection: PooledConnection, callback: ConnectCallback): void {
    const { address, keptSocket } = connection;
    if (keptSocket) {
      connection.keptSocket = undefined;
      const socket = keptSocket.take();
      this.#watch(connection, socket);
      filter(connection, socket);
      // undici expects its connector to call back later.
      queueMicrotask(() => callback(null, socket));
      return;
    }
    const startedMs = this.#clock.monotonicMs();
    const socket = openSocket(
      this.#connector,
      address,
      this.#limits.connectTimeoutMs,
      (error, opened) => {
        connection.openingSocket = undefined;
        if (opened) {
          connection.isOpen = true;
          filter(connection, opened);
          this.#observer?.onOpened(address);
          callback(null, opened);
        } else {
          if (!connection.isDiscarded) {
            const failure = toConnectFailure(error);
            this.#observer?.onOpenFailed(address, failure, startedMs);
          }
          callback(error, null);
        }
      },
    );
    connection.openingSocket = socket;
    configure(socket);
    this.#watch(connection, socket);
  }

  /** Follows the errors of the socket of a connection. */
  #watch(connection: PooledConnection, socket: Socket): void {
    // Registered before undici's own listener, so that this listener runs
    // first.
    socket.on("error", () => {
      connection.hasSocketError = true;
    });
    socket.on("end", () => {
      // A reset that arrives together with data is reported as an end, but the
      // socket has no peer any more.
      if (socket.remoteAddress === undefined) connection.hasSocketError = true;
    });
  }

  #release(connection: PooledConnection): void {
    const { client, history, isOpen } = connection;
    if (!isOpen || client.destroyed || history.isFull) {
      discard(connection);
    } else this.#idle.add(connection, this.#clock.monotonicMs());
  }
}

/**
 * @returns Whether a request is more than a read and names nothing in its answer.
 * The copy of another answer cannot come on a connection of its own.
 */
function isCommand({ method, requestId }: PassThroughRequest): boolean {
  return requestId === undefined && method !== "GET";
}

/** Reports that no connection can be opened, as one that fails does: later. */
function failUnsent(
  listener: PassThroughListener,
  thrown: unknown,
): PassThroughExchange {
  let isAborted = false;
  queueMicrotask(() => {
    if (isAborted) return;
    listener.onFailure({ kind: "not-sent", message: toErrorMessage(thrown) });
  });
  return {
    abort: () => {
      isAborted = true;
    },
    resume: () => undefined,
  };
}

/** Bounds and filters what a connection receives. */
function filter(connection: PooledConnection, socket: Socket): void {
  connection.receiveLimit = new ReceiveLimit(socket, MAX_HEAD_BYTES);
  connection.continueFilter = new ContinueFilter(socket);
}

function configure(socket: Socket): void {
  socket.setNoDelay(true);
  socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
}
