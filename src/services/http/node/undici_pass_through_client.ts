/** Pass-through requests over undici, one request at a time on a connection. */

import { connect as connectSocket, type Socket } from "node:net";
import { Readable } from "node:stream";
import { Client, type Dispatcher } from "undici";
import type { Clock } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import { isEndedByClose } from "../common/header_list.ts";
import { isStreamed, type StreamedBody } from "../common/request_body.ts";
import type {
  OutgoingRequest,
  PassThroughClient,
  ReplySink,
  Transfer,
} from "../common/pass_through_client.ts";

/** Limits of the connections to endpoints. */
export interface ConnectionLimits {
  /** Time to open a connection. */
  readonly connectTimeoutMs: number;
  /** Longest time for which an unused connection is kept. */
  readonly idleLimitMs: number;
  /** Idle connections kept to each address. */
  readonly maxIdlePerAddress: number;
}

/** Defaults: round trips are a few ms; most servers close idle ones after 5 s. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  connectTimeoutMs: 300,
  idleLimitMs: 4_000,
  maxIdlePerAddress: 16,
};

/** Time before a server's announced idle limit at which we stop reusing. */
const KEEP_ALIVE_MARGIN_MS = 400;
const KEEP_ALIVE_PROBE_MS = 1_000;

interface Connection {
  readonly address: Address;
  readonly client: Client;
  wasReset: boolean;
  isOpen: boolean;
  idleSinceMs: number;
}

/** Keeps idle connections by address and reuses the one used last. */
export class UndiciPassThroughClient implements PassThroughClient {
  readonly #clock: Clock;
  readonly #limits: ConnectionLimits;
  readonly #idle = new Map<Address, Connection[]>();
  #openedCount = 0;

  /**
   * @param clock - Clock of the idle limit.
   * @param limits - Limits of the connections.
   */
  constructor(
    clock: Clock,
    limits: ConnectionLimits = DEFAULT_CONNECTION_LIMITS,
  ) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Connections opened since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** {@inheritDoc PassThroughClient.send} */
  send(request: OutgoingRequest, sink: ReplySink): Transfer {
    const connection = this.#take(request.address);
    const exchange = new Exchange(connection, request, sink, () => {
      this.#giveBack(connection);
    });
    exchange.start();
    return exchange;
  }

  /** {@inheritDoc PassThroughClient.forget} */
  forget(address: Address): void {
    for (const { client } of this.#idle.get(address) ?? []) destroy(client);
    this.#idle.delete(address);
  }

  #take(address: Address): Connection {
    const idle = this.#idle.get(address) ?? [];
    const nowMs = this.#clock.monotonicMs();
    for (
      let connection = idle.pop();
      connection;
      connection = idle.pop()
    ) {
      const isFresh = nowMs - connection.idleSinceMs < this.#limits.idleLimitMs;
      if (isFresh && connection.isOpen) return connection;
      destroy(connection.client);
    }
    return this.#open(address);
  }

  #open(address: Address): Connection {
    this.#openedCount++;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#limits.idleLimitMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      strictContentLength: true,
      connect: (options, callback) =>
        this.#connect(connection, options, callback),
    });
    const connection: Connection = {
      address,
      client,
      wasReset: false,
      isOpen: false,
      idleSinceMs: 0,
    };
    client.on("disconnect", () => {
      connection.isOpen = false;
    });
    return connection;
  }

  #connect(
    connection: Connection,
    { hostname, port }: { hostname: string; port?: string },
    callback: (...outcome: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = connectSocket({ host: hostname, port: Number(port) });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    // Registered before undici's own listener, so that it is called first.
    socket.on("error", () => {
      connection.wasReset = true;
    });
    const timeout = setTimeout(() => {
      socket.destroy(new Error("connecting took too long"));
    }, this.#limits.connectTimeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timeout);
      callback(error, null);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      clearTimeout(timeout);
      socket.off("error", fail);
      connection.isOpen = true;
      callback(null, socket);
    });
  }

  #giveBack(connection: Connection): void {
    if (!connection.isOpen || connection.client.destroyed) {
      destroy(connection.client);
      return;
    }
    const idle = this.#idle.get(connection.address) ?? [];
    this.#idle.set(connection.address, idle);
    connection.idleSinceMs = this.#clock.monotonicMs();
    idle.push(connection);
    if (idle.length > this.#limits.maxIdlePerAddress) {
      destroy(idle.shift()!.client);
    }
  }
}

/** One request on one connection. */
class Exchange implements Transfer {
  readonly #connection: Connection;
  readonly #request: OutgoingRequest;
  readonly #sink: ReplySink;
  readonly #onReusable: () => void;
  #resume: (() => void) | undefined;
  #isSent = false;
  #isOver = false;
  /** Whether only the end of the connection ends the answer. */
  #isEndedByClose = false;

  constructor(
    connection: Connection,
    request: OutgoingRequest,
    sink: ReplySink,
    onReusable: () => void,
  ) {
    this.#connection = connection;
    this.#request = request;
    this.#sink = sink;
    this.#onReusable = onReusable;
  }

  start(): void {
    const { method, target, body } = this.#request;
    const headers = [...this.#request.headers];
    if (isStreamed(body) && body.sizeBytes !== undefined) {
      headers.push("content-length", String(body.sizeBytes));
    }
    const options: Dispatcher.DispatchOptions = {
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers,
      body: isStreamed(body) ? streamOf(body) : body ?? null,
    };
    try {
      this.#connection.client.dispatch(options, {
        onConnect: () => this.#onSent(),
        onHeaders: (status, raw, resume) => this.#onHead(status, raw, resume),
        onData: (chunk) => this.#isOver || this.#sink.onData(chunk),
        onComplete: () => this.#onComplete(),
        onError: (error) => this.#fail(error),
      });
    } catch (thrown) {
      this.#fail(thrown);
    }
  }

  abort(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    destroy(this.#connection.client);
  }

  resume(): void {
    this.#resume?.();
  }

  #onSent(): void {
    this.#isSent = true;
    this.#sink.onSent?.();
  }

  #onHead(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#isOver || status < 200) return true;
    this.#resume = resume;
    const headers = raw.map((part) => part.toString("latin1"));
    this.#isEndedByClose = isEndedByClose(
      this.#request.method,
      status,
      headers,
    );
    this.#sink.onHead(status, headers);
    return true;
  }

  #onComplete(): void {
    if (this.#isOver) return;
    if (this.#isEndedByClose && this.#connection.wasReset) {
      this.#fail(new Error("reset before the end of an answer without length"));
      return;
    }
    this.#isOver = true;
    // undici decides whether the connection can go on only after this call.
    queueMicrotask(() => setImmediate(this.#onReusable));
    this.#sink.onEnd();
  }

  #fail(thrown: unknown): void {
    if (this.#isOver) return;
    this.#isOver = true;
    destroy(this.#connection.client);
    this.#sink.onFailure({
      kind: this.#isSent ? "broken" : "not-sent",
      message: toErrorMessage(thrown),
    });
  }
}

/** @returns A stream that begins to read only when it is read. */
function streamOf(body: StreamedBody): Readable {
  return Readable.from(body.chunks(), { objectMode: false });
}

function destroy(client: Client): void {
  // The failure of requests in flight is told through their own handlers.
  client.destroy().catch(() => undefined);
}
