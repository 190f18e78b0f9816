/**
 * Client for JSON requests over HTTP, each with a time limit for the whole
 * exchange.
 */

import { Pool } from "undici";
import type { Clock } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  attempt,
  Left,
  Right,
} from "../../../base/common/result.ts";
import type { ConnectionObserver } from "../common/connection_observer.ts";
import {
  type JsonCaller,
  type JsonRequest,
  type JsonResponse,
  parseJsonText,
} from "../common/json_caller.ts";
import { ReceiveLimit } from "./receive_limit.ts";
import {
  createTcpConnector,
  openSocket,
  type SocketConnector,
  toConnectFailure,
} from "./socket_connector.ts";

/**
 * Several connections are kept to each address, so that a pending request does
 * not block others.
 */
const CONNECTIONS_PER_ADDRESS = 6;
const CONNECT_TIMEOUT_MS = 500;
/** Idle connections are closed before most servers close them. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/**
 * An address that has not been used for this time is considered removed, since
 * peers are polled every 0.5 s.
 */
const UNUSED_POOL_TTL_MS = 30_000;

/** Default limit of responses; what hosts ask endpoints and each other. */
const DEFAULT_MAX_RESPONSE_BYTES = 1_048_576;
/**
 * Interim responses after which the connections of a server are closed; a
 * server sends a few at most.
 */
const MAX_INTERIM_RESPONSES = 20;

/**
 * Sends JSON requests to any address. A request without a response may have
 * been executed.
 */
export class JsonClient implements JsonCaller, Disposable {
  readonly #clock: Clock;
  readonly #maxResponseBytes: number;
  readonly #connector: SocketConnector;
  readonly #observer:
    | Pick<ConnectionObserver, "onOpened" | "onOpenFailed">
    | undefined;
  readonly #pools = new Map<Address, { pool: Pool; lastUsedMs: number }>();
  /** Pools that finish their requests and take no others. */
  readonly #retiredPools = new Set<Pool>();

  /**
   * @param clock - The clock of the time limits.
   * @param maxResponseBytes - Maximum size of a response, with its head and its
   * framing. The connection of a larger one is closed.
   * @param connector - Opens the connections.
   * @param observer - Observes the connections.
   */
  constructor(
    clock: Clock,
    maxResponseBytes: number = DEFAULT_MAX_RESPONSE_BYTES,
    connector: SocketConnector = createTcpConnector(),
    observer?: Pick<ConnectionObserver, "onOpened" | "onOpenFailed">,
  ) {
    this.#clock = clock;
    this.#maxResponseBytes = maxResponseBytes;
    this.#connector = connector;
    this.#observer = observer;
  }

  /** {@inheritDoc JsonCaller.call} */
  async call(
    address: Address,
    call: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    return attempt(() => this.#poolFor(address, call), toErrorMessage).caseOf({
      Left: (detail) => Promise.resolve(Left(detail)),
      Right: (pool) => this.#callOn(pool, address, call),
    });
  }

  #poolFor(address: Address, { hasOwnConnection }: JsonRequest): Pool {
    if (!hasOwnConnection) return this.#poolOf(address);
    const pool = this.#createPool(address, 1);
    this.#retiredPools.add(pool);
    return pool;
  }

  async #callOn(
    pool: Pool,
    address: Address,
    call: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    const abortController = new AbortController();
    let interimCount = 0;
    const timer = this.#clock.setTimer(call.timeoutMs, () => {
      abortController.abort(new Error(`no answer within ${call.timeoutMs} ms`));
    });
    try {
      const { statusCode, headers, body } = await pool.request(
        {
          method: call.method,
          path: call.target,
          headers: [
            ...call.headers ?? [],
            ...(call.body === undefined
              ? []
              : ["content-type", "application/json"]),
          ],
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal: abortController.signal,
          onInfo: () => {
            // An aborted request would leave its connection open.
            if (++interimCount > MAX_INTERIM_RESPONSES) this.closePool(address);
          },
        },
      );
      const text = await body.text();
      return Right({ status: statusCode, headers, body: parseJsonText(text) });
    } catch (thrown) {
      if (call.renewsConnections && abortController.signal.aborted) {
        this.#retirePool(address, pool);
      }
      const reason: unknown = abortController.signal.aborted
        ? abortController.signal.reason
        : thrown;
      return Left(toErrorMessage(reason));
    } finally {
      timer.dispose();
      if (call.hasOwnConnection) {
        this.#retiredPools.delete(pool);
        pool.destroy().catch(() => undefined);
      }
    }
  }

  /** Closes the connections to an address. */
  closePool(address: Address): void {
    const existing = this.#pools.get(address);
    this.#pools.delete(address);
    // Pending requests fail with an error of their own.
    existing?.pool.destroy().catch(() => undefined);
  }

  /** Closes all connections. */
  dispose(): void {
    for (const address of [...this.#pools.keys()]) this.closePool(address);
    for (const pool of this.#retiredPools) {
      pool.destroy().catch(() => undefined);
    }
  }

  /** Closes the idle connections of a pool and leaves its requests. */
  #retirePool(address: Address, pool: Pool): void {
    if (this.#pools.get(address)?.pool !== pool) return;
    this.#pools.delete(address);
    this.#retiredPools.add(pool);
    const forget = (): void => void this.#retiredPools.delete(pool);
    pool.close().then(forget, forget);
  }

  #poolOf(address: Address): Pool {
    const nowMs = this.#clock.monotonicMs();
    const existing = this.#pools.get(address);
    if (existing) {
      existing.lastUsedMs = nowMs;
      return existing.pool;
    }
    this.#closeUnusedPools();
    const pool = this.#createPool(address, CONNECTIONS_PER_ADDRESS);
    this.#pools.set(address, { pool, lastUsedMs: nowMs });
    return pool;
  }

  #createPool(address: Address, connections: number): Pool {
    return new Pool(`http://${address}`, {
      connections,
      connect: (_options, callback) => {
        const startedMs = this.#clock.monotonicMs();
        const socket = openSocket(
          this.#connector,
          address,
          CONNECT_TIMEOUT_MS,
          (...outcome) => {
            const [error, opened] = outcome;
            if (opened) {
              new ReceiveLimit(opened, this.#maxResponseBytes);
              this.#observer?.onOpened(address);
            } else {
              const failure = toConnectFailure(error);
              this.#observer?.onOpenFailed(address, failure, startedMs);
            }
            callback(...outcome);
          },
        );
        socket.setNoDelay(true);
      },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  #closeUnusedPools(): void {
    const minLastUsedMs = this.#clock.monotonicMs() - UNUSED_POOL_TTL_MS;
    for (const [address, { lastUsedMs }] of this.#pools) {
      if (lastUsedMs < minLastUsedMs) this.closePool(address);
    }
  }
}
