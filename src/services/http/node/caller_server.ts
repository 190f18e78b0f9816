/** HTTP/1.1 listener for callers; requests are handed on without parsing them further. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Address } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type {
  BodyLimits,
  BodyResult,
  CallerExchange,
  CallerLimits,
  ExchangeEnd,
} from "../common/caller_exchange.ts";
import type { HeaderList } from "../common/header_list.ts";
import { readIncomingBody } from "./incoming_body.ts";
import { listenAt } from "./listen.ts";

/** Largest head that the parser takes; the configured limit is checked after. */
const MAX_PARSER_HEADER_BYTES = 65_536;
/** Idle time granted beyond the limit that callers are told of. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
const LISTEN_BACKLOG = 1_024;
/** Time for a caller that has its answer to end a body that nobody reads. */
const UNREAD_BODY_TIMEOUT_MS = 1_000;

/** Accepts connections of callers. */
export class CallerServer implements Disposable {
  readonly #clock: Clock;
  readonly #server: Server;
  readonly #didReceive = new Emitter<CallerExchange>();
  readonly #sockets = new Set<Socket>();
  /** Requests without a whole answer, by connection. */
  readonly #activeRequests = new Map<Socket, number>();
  #isClosing = false;

  /** Fires for each request whose head was read. */
  readonly onDidReceive = this.#didReceive.event;

  /** @param clock - Clock of the times of receipt. */
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
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server.on("clientError", (_error, socket) => {
      if (socket.writable) {
        socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
      } else socket.destroy();
    });
  }

  /** Connections of callers that are open. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** Requests that have no whole answer yet. */
  get activeCount(): number {
    return this.#activeRequests.size;
  }

  /**
   * @param address - Where to listen; port 0 takes a free one.
   * @returns The address with its port.
   */
  listen(address: Address): Promise<Address> {
    return listenAt(this.#server, address, { backlog: LISTEN_BACKLOG });
  }

  /** Applies new limits to connections and requests to come. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs +
      IDLE_TIMEOUT_MARGIN_MS;
  }

  /** From now on each answer asks the caller to close its connection. */
  announceConnectionClose(): void {
    this.#isClosing = true;
  }

  /**
   * Stops accepting and closes connections that carry no request. Called again,
   * it closes those that have become idle since.
   */
  closeIdleConnections(): void {
    if (this.#server.listening) this.#server.close();
    // The server itself spares connections that have never sent a request.
    for (const socket of this.#sockets) {
      if (!this.#activeRequests.has(socket)) socket.end();
    }
  }

  /** Closes everything. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    this.#didReceive.dispose();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#activeRequests.set(
      socket,
      (this.#activeRequests.get(socket) ?? 0) + 1,
    );
    const exchange = new NodeCallerExchange(
      request,
      response,
      this.#clock.monotonicMs(),
      () => this.#isClosing,
    );
    exchange.onDidEnd(() => {
      const remaining = (this.#activeRequests.get(socket) ?? 1) - 1;
      if (remaining > 0) this.#activeRequests.set(socket, remaining);
      else this.#activeRequests.delete(socket);
    });
    this.#didReceive.fire(exchange);
  }
}

/** A request and its answer on node's HTTP server. */
class NodeCallerExchange implements CallerExchange {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #isClosing: () => boolean;
  readonly #didEnd = new Emitter<ExchangeEnd>();
  readonly #didDrain = new Emitter<void>();
  #end: ExchangeEnd | undefined;
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
    response.on("close", () => {
      this.#settle(response.writableFinished ? "answered" : "left");
    });
    response.on("finish", () => this.#discardUnreadBody());
    response.on("drain", () => this.#didDrain.fire());
    // The end of the connection is told by the response's own event.
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

  get hasSentHead(): boolean {
    return this.#response.headersSent;
  }

  readonly onDidEnd = (listener: (end: ExchangeEnd) => void): Disposable => {
    if (this.#end === undefined) return this.#didEnd.event(listener);
    listener(this.#end);
    return NOOP_DISPOSABLE;
  };

  readBody(limits: BodyLimits): Promise<BodyResult> {
    return readIncomingBody(this.#request, limits);
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

  sendHead(
    status: number,
    headers: HeaderList,
    isCloseDelimited = false,
  ): void {
    if (this.hasEnded || this.hasSentHead) return;
    if (isCloseDelimited) {
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
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
    this.#response.destroy();
  }

  #writeHead(status: number, headers: HeaderList): void {
    const closeHeader = this.#isClosing() ? ["connection", "close"] : [];
    this.#response.sendDate = false;
    this.#response.writeHead(status, [...headers, ...closeHeader]);
  }

  /** Closing at once would reset the connection, and with it the answer. */
  #discardUnreadBody(): void {
    const request = this.#request;
    if (request.complete) return;
    request.resume();
    const timer = setTimeout(() => {
      if (!request.complete) request.destroy();
    }, UNREAD_BODY_TIMEOUT_MS);
    request.once("close", () => clearTimeout(timer));
  }

  #settle(end: ExchangeEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#didEnd.fire(end);
    this.#didEnd.dispose();
    this.#didDrain.dispose();
  }
}
