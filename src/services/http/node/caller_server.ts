/**
 * HTTP/1.1 server for callers. Requests are handed to the listener without
 * further parsing.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as TcpServer, type Socket } from "node:net";
import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Address } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { BodyBudget } from "../common/body_budget.ts";
import type {
  BodyLimits,
  BodyResult,
  CallerExchange,
  CallerLimits,
  ExchangeEnd,
} from "../common/caller_exchange.ts";
import { type HeaderList, headerOf } from "../common/header_list.ts";
import type { ServerErrorListener } from "../common/port_opener.ts";
import { readIncomingBody } from "./incoming_body.ts";
import { listenAt } from "./listen.ts";

/**
 * Largest request head that the parser accepts. The lower limit from the
 * configuration is checked afterwards.
 */
const MAX_PARSER_HEADER_BYTES = 65_536;
/**
 * Idle connections are kept this much longer than the idle timeout that is
 * announced to callers.
 */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
const LISTEN_BACKLOG = 1_024;
/**
 * Time after the response without a further byte of a request body that is not
 * read, after which its connection is closed, in milliseconds.
 */
const UNREAD_BODY_TIMEOUT_MS = 1_000;

/** Longest time for which that body is read and discarded, in milliseconds. */
const MAX_UNREAD_BODY_MS = 10_000;

const UNLIMITED_BODIES = new BodyBudget(() => Infinity);

/** An open connection of a caller. */
interface CallerConnection {
  /** Exchanges without a complete response, the oldest first. */
  readonly exchanges: NodeCallerExchange[];
  /** Monotonic time in milliseconds since which there is no exchange. */
  idleSinceMs: number;
  /** Whether a request cannot be read; the answers to earlier ones follow. */
  isMalformed: boolean;
}

/** Accepts connections of callers and announces their requests. */
export class CallerServer implements Disposable {
  readonly #clock: Clock;
  readonly #server: Server;
  readonly #didReceive = new Emitter<CallerExchange>();
  readonly #connections = new Map<Socket, CallerConnection>();
  #isClosing = false;
  #unreadCount = 0;

  /** Fires for each request whose head has been read. */
  readonly onDidReceive = this.#didReceive.event;

  /** @param clock - The clock of the receive times. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#server = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      requestTimeout: 0,
      keepAlive: true,
      noDelay: true,
    });
    this.#server.on("request", (request, response) => {
      this.#onRequest(request, response);
    });
    this.#server.on("connection", (socket) => {
      const connection: CallerConnection = {
        exchanges: [],
        idleSinceMs: this.#clock.monotonicMs(),
        isMalformed: false,
      };
      this.#connections.set(socket, connection);
      socket.on("close", () => {
        this.#connections.delete(socket);
        // The responses to requests that wait do not notice the close.
        for (const exchange of [...connection.exchanges]) exchange.settle();
      });
    });
    this.#server.on("clientError", (_error, socket) => {
      this.#onMalformed(socket as Socket);
    });
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Number of connections with a request that has no complete response yet. */
  get activeCount(): number {
    return [...this.#connections.values()]
      .filter(({ exchanges }) => exchanges.length > 0).length;
  }

  /**
   * Number of requests that arrived after the end of their connection was sent,
   * and were not announced.
   */
  get unreadCount(): number {
    return this.#unreadCount;
  }

  /**
   * Starts to accept connections.
   *
   * @param address - The address to listen on; port 0 selects a free port.
   * @param onError - Called with each error while the server is listening.
   * @returns The address with the actual port.
   */
  listen(
    address: Address,
    onError: ServerErrorListener = () => undefined,
  ): Promise<Address> {
    const options = { backlog: LISTEN_BACKLOG };
    return listenAt(this.#server, address, options, onError);
  }

  /** Applies new limits to future connections and requests. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs +
      IDLE_TIMEOUT_MARGIN_MS;
  }

  /**
   * Adds `connection: close` to all further responses, so that callers close
   * their connections.
   */
  announceConnectionClose(): void {
    this.#isClosing = true;
  }

  /**
   * Returns whether a connection has become idle so recently that its caller
   * may be about to send another request.
   *
   * @param minIdleMs - Time for which callers reuse a connection, in
   * milliseconds.
   */
  hasRecentlyUsed(minIdleMs: number): boolean {
    return [...this.#connections.values()].some((connection) =>
      connection.exchanges.length === 0 && !this.#isIdle(connection, minIdleMs)
    );
  }

  /**
   * Stops accepting connections and closes connections that are idle. A
   * repeated call closes the connections that have become idle since.
   *
   * @param minIdleMs - Time without a request after which a connection is
   * closed, in milliseconds.
   */
  closeIdleConnections(minIdleMs = 0): void {
    // The HTTP server would close all connections that are idle at present.
    if (this.#server.listening) TcpServer.prototype.close.call(this.#server);
    for (const [socket, connection] of this.#connections) {
      if (this.#isIdle(connection, minIdleMs)) socket.end();
    }
  }

  /** Stops accepting connections and closes all of them. */
  dispose(): void {
    this.#server.close();
    const connections = [...this.#connections];
    for (const [, { exchanges }] of connections) {
      for (const exchange of [...exchanges]) exchange.abort();
    }
    for (const [socket] of connections) socket.destroy();
    this.#didReceive.dispose();
  }

  #isIdle(
    { exchanges, idleSinceMs }: CallerConnection,
    minIdleMs: number,
  ): boolean {
    return exchanges.length === 0 &&
      this.#clock.monotonicMs() - idleSinceMs >= minIdleMs;
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    // No response can follow the end of a connection. A caller whose request
    // crosses it sees that the request has not been read.
    if (!connection || !request.socket.writable) {
      this.#unreadCount++;
      request.resume();
      return;
    }
    const exchange = new NodeCallerExchange(
      request,
      response,
      this.#clock.monotonicMs(),
      // Only the first exchange is answered. A whole request behind it is
      // answered too before a malformed one ends the connection.
      () =>
        this.#isClosing ||
        (connection.isMalformed && !connection.exchanges[1]?.isReceived),
    );
    connection.exchanges.push(exchange);
    const { socket } = request;
    exchange.onDidEnd(() => {
      this.#onExchangeEnded(connection, exchange);
      // The answers to the requests before the malformed one have been sent.
      const isOver = connection.exchanges.length === 0;
      if (connection.isMalformed && isOver) socket.end();
    });
    if (connection.exchanges.length > 1) return;
    // An error that leaves a callback of the HTTP parser, or that a callback of a
    // tick queued there throws, stops the parser of the connection.
    setImmediate(() => this.#announce(exchange));
  }

  #announce(exchange: NodeCallerExchange): void {
    if (exchange.isAnswerable) this.#didReceive.fire(exchange);
    else if (!exchange.hasEnded) {
      this.#unreadCount++;
      exchange.settle();
    }
  }

  /** A request is malformed, or was not received in time. */
  #onMalformed(socket: Socket): void {
    const connection = this.#connections.get(socket);
    const current = connection?.exchanges[0];
    if (connection && current?.isReceived) {
      // The caller would take the error for the answer that is due.
      connection.isMalformed = true;
    } else if (socket.writable && !current?.hasSentHead) {
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
    } else socket.destroy();
  }

  /**
   * Announces the next request of the connection. Requests of one connection
   * are announced one after the other, as any response may close it.
   */
  #onExchangeEnded(
    connection: CallerConnection,
    exchange: NodeCallerExchange,
  ): void {
    const { exchanges } = connection;
    const wasFirst = exchanges[0] === exchange;
    exchanges.splice(exchanges.indexOf(exchange), 1);
    connection.idleSinceMs = this.#clock.monotonicMs();
    const [next] = exchanges;
    if (wasFirst && next) this.#announce(next);
  }
}

/** A request and its response on the HTTP server of Node.js. */
class NodeCallerExchange implements CallerExchange {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #isClosing: () => boolean;
  readonly #didEnd = new Emitter<ExchangeEnd>();
  readonly #didDrain = new Emitter<void>();
  #end: ExchangeEnd | undefined;
  #isCloseDelimited = false;
  readonly receivedMs: number;
  readonly onDidDrain = this.#didDrain.event;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    receivedMs: number,
    isClosing: () => boolean,
  ) {
    this.#request = request;
    this.#response = response;
    this.receivedMs = receivedMs;
    this.#isClosing = isClosing;
    response.on("close", () => this.settle());
    response.on("finish", () => this.#discardUnreadBody());
    response.on("drain", () => this.#didDrain.fire());
    // The end of the connection is reported by the `close` event of the
    // response.
    request.on("error", () => undefined);
    response.on("error", () => undefined);
  }

  get method(): string {
    return this.#request.method ?? "GET";
  }

  get target(): string {
    return this.#request.url ?? "/";
  }

  get headers(): HeaderList {
    return this.#request.rawHeaders;
  }

  get hasEnded(): boolean {
    return this.#end !== undefined;
  }

  /** Whether the whole request has been received. */
  get isReceived(): boolean {
    return this.#request.complete;
  }

  /** Whether a response can still be sent on the connection. */
  get isAnswerable(): boolean {
    return !this.hasEnded && this.#request.socket.writable;
  }

  get hasSentHead(): boolean {
    return this.#response.headersSent;
  }

  readonly onDidEnd = (listener: (end: ExchangeEnd) => void): Disposable => {
    if (this.#end === undefined) return this.#didEnd.event(listener);
    listener(this.#end);
    return NOOP_DISPOSABLE;
  };

  readBody(limits: BodyLimits): Promise<BodyResult> {
    const reservation = (limits.budget ?? UNLIMITED_BODIES).reserve();
    this.onDidEnd(() => reservation.dispose());
    return readIncomingBody(this.#request, limits, reservation);
  }

  acknowledge(): void {
    if (!this.hasEnded && !this.hasSentHead) this.#response.writeProcessing();
  }

  reply(status: number, headers: HeaderList, body: Uint8Array | string): void {
    if (this.hasEnded || this.hasSentHead) return;
    const sizeBytes = typeof body === "string"
      ? Buffer.byteLength(body)
      : body.byteLength;
    const length = ["content-length", String(sizeBytes)];
    this.#writeHead(status, [...headers, ...length]);
    this.#response.end(body);
  }

  sendHead(status: number, headers: HeaderList): void {
    if (this.hasEnded || this.hasSentHead) return;
    this.#isCloseDelimited = !this.#response.useChunkedEncodingByDefault &&
      headerOf(headers, "content-length") === undefined;
    this.#writeHead(status, headers);
    this.#response.flushHeaders();
  }

  write(chunk: Uint8Array): boolean {
    if (this.hasEnded) return true;
    return this.#response.write(chunk);
  }

  end(): void {
    this.#response.end();
  }

  abort(): void {
    const { socket } = this.#request;
    // HTTP/1.0 has no chunks; only a reset marks the response as incomplete.
    if (this.#isCloseDelimited && !this.hasEnded) socket.resetAndDestroy();
    else this.#response.destroy();
  }

  #writeHead(status: number, headers: HeaderList): void {
    const closeHeader = this.#isClosing() ? ["connection", "close"] : [];
    this.#response.sendDate = false;
    this.#response.writeHead(status, [...headers, ...closeHeader]);
  }

  /**
   * Reads and discards the rest of the request body. Closing the connection at
   * once would reset it, and the caller could lose the response.
   */
  #discardUnreadBody(): void {
    const request = this.#request;
    if (request.complete) return;
    request.resume();
    const { socket } = request;
    let { bytesRead } = socket;
    const endMs = performance.now() + MAX_UNREAD_BODY_MS;
    const timer = setInterval(() => {
      if (request.complete) return;
      const isArriving = socket.bytesRead > bytesRead;
      if (!isArriving || performance.now() >= endMs) request.destroy();
      bytesRead = socket.bytesRead;
    }, UNREAD_BODY_TIMEOUT_MS);
    request.once("close", () => clearInterval(timer));
  }

  /** Ends the exchange, as nothing more can be sent. */
  settle(): void {
    if (this.#end !== undefined) return;
    const end = this.#response.writableFinished ? "answered" : "left";
    this.#end = end;
    this.#didEnd.fire(end);
    this.#didEnd.dispose();
    this.#didDrain.dispose();
  }
}
