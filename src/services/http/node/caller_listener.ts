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
const PARSER_HEADER_BYTES = 65_536;
/** Idle time granted beyond the limit that callers are told of. */
const IDLE_SLACK_MS = 1_000;
const LISTEN_BACKLOG = 1_024;
/** Time for a caller that has its answer to end a body that nobody reads. */
const UNREAD_BODY_MS = 1_000;

/** Accepts connections of callers. */
export class CallerListener implements Disposable {
  readonly #clock: Clock;
  readonly #server: Server;
  readonly #received = new Emitter<CallerExchange>();
  readonly #sockets = new Set<Socket>();
  /** Requests without a whole answer, by connection. */
  readonly #busy = new Map<Socket, number>();
  #isClosing = false;

  /** Fires for each request whose head was read. */
  readonly onDidReceive = this.#received.event;

  /** @param clock - Clock of the times of receipt. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#server = createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
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
    return this.#busy.size;
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
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** From now on each answer asks the caller to close its connection. */
  announceClose(): void {
    this.#isClosing = true;
  }

  /**
   * Stops accepting and closes connections that carry no request. Called again,
   * it closes those that have become idle since.
   */
  closeIdle(): void {
    if (this.#server.listening) this.#server.close();
    // The server itself spares connections that have never sent a request.
    for (const socket of this.#sockets) {
      if (!this.#busy.has(socket)) socket.end();
    }
  }

  /** Closes everything. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    this.#received.dispose();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
    const exchange = new NodeExchange(
      request,
      response,
      this.#clock.monotonicMs(),
      () => this.#isClosing,
    );
    exchange.onDidEnd(() => {
      const left = (this.#busy.get(socket) ?? 1) - 1;
      if (left > 0) this.#busy.set(socket, left);
      else this.#busy.delete(socket);
    });
    this.#received.fire(exchange);
  }
}

/** A request and its answer on node's HTTP server. */
class NodeExchange implements CallerExchange {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #isClosing: () => boolean;
  readonly #ended = new Emitter<ExchangeEnd>();
  readonly #drained = new Emitter<void>();
  #end: ExchangeEnd | undefined;
  readonly receivedMs: number;
  readonly onDidDrain = this.#drained.event;

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
    response.on("finish", () => this.#skipUnreadBody());
    response.on("drain", () => this.#drained.fire());
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

  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  readonly onDidEnd = (listener: (end: ExchangeEnd) => void): Disposable => {
    if (this.#end === undefined) return this.#ended.event(listener);
    listener(this.#end);
    return NOOP_DISPOSABLE;
  };

  readBody(limits: BodyLimits): Promise<BodyResult> {
    return readIncomingBody(this.#request, limits);
  }

  reply(status: number, headers: HeaderList, body: Uint8Array | string): void {
    if (this.hasEnded || this.hasStarted) return;
    const sizeBytes = typeof body === "string"
      ? Buffer.byteLength(body)
      : body.byteLength;
    const length = ["content-length", String(sizeBytes)];
    this.#writeHead(status, [...headers, ...length]);
    this.#response.end(body);
  }

  start(status: number, headers: HeaderList, isEndedByClose = false): void {
    if (this.hasEnded || this.hasStarted) return;
    if (isEndedByClose) {
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

  breakOff(): void {
    this.#response.destroy();
  }

  #writeHead(status: number, headers: HeaderList): void {
    const closing = this.#isClosing() ? ["connection", "close"] : [];
    this.#response.sendDate = false;
    this.#response.writeHead(status, [...headers, ...closing]);
  }

  /** Closing at once would reset the connection, and with it the answer. */
  #skipUnreadBody(): void {
    const request = this.#request;
    if (request.complete) return;
    request.resume();
    const timer = setTimeout(() => {
      if (!request.complete) request.destroy();
    }, UNREAD_BODY_MS);
    request.once("close", () => clearTimeout(timer));
  }

  #settle(end: ExchangeEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#ended.fire(end);
    this.#ended.dispose();
    this.#drained.dispose();
  }
}
