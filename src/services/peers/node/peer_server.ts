/**
 * Server at the address for peers: it accepts WebSockets and lists the known
 * hosts for daemons that start.
 */

import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import {
  createServer as createHttpsServer,
  type ServerOptions,
} from "node:https";
import type { ConnectionOptions, Server as TlsServer } from "node:tls";
import { type WebSocket, WebSocketServer } from "ws";
import { onUnexpectedError } from "../../../base/common/errors.ts";
import type { Address, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { ServerErrorListener } from "../../http/common/port_opener.ts";
import { listenAt } from "../../http/node/listen.ts";
import { MAX_FRAME_BYTES } from "../common/peer_frame.ts";

/** Path of the WebSocket endpoint for peer links. */
export const PEER_LINK_PATH = "/peers";
/**
 * Path at which a daemon lists the hosts that it has in its view of the fleet.
 */
export const PEER_DISCOVERY_PATH = "/hosts";

/** TLS settings of the links, when they are encrypted. */
export interface PeerTls {
  /** @returns The options of the accepting side. */
  serverOptions(): ServerOptions;
  /**
   * @returns The options of the dialing side, which accept only a certificate
   * of the given host.
   */
  clientOptions(host: HostId): ConnectionOptions;
  /** Keeps the certificates of a server up to date until disposed. */
  follow(server: TlsServer): Disposable;
}

/** Settings and callbacks of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly tls?: PeerTls | undefined;
  /** Returns the response body for `PEER_DISCOVERY_PATH`. */
  readonly createDiscoveryResponse?: (() => string) | undefined;
  /** Called with each WebSocket that a peer has opened. */
  onSocket(socket: WebSocket): void;
}

/** Accepts the connections of peers. */
export class PeerServer implements Disposable {
  readonly #options: PeerServerOptions;
  readonly #disposables = new DisposableStore();
  readonly #httpServer: HttpServer;
  readonly #webSocketServer: WebSocketServer;

  /** @param options - The settings and callbacks of the server. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    const { tls } = options;
    this.#httpServer = tls ? this.#createTlsServer(tls) : createHttpServer();
    this.#httpServer.on("request", (request: IncomingMessage, response) => {
      // An error that leaves a callback of the HTTP parser stops the parser.
      setImmediate(() =>
        this.#serveDiscovery(request, response as ServerResponse)
      );
    });
    this.#webSocketServer = new WebSocketServer({
      server: this.#httpServer,
      path: PEER_LINK_PATH,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#webSocketServer.on(
      "connection",
      (socket) => options.onSocket(socket),
    );
    this.#webSocketServer.on("error", () => undefined);
  }

  /**
   * Starts to accept connections.
   *
   * @param address - The address to listen on; port 0 selects a free port.
   * @param onError - Called with each error while the server is listening.
   * @returns The address with the actual port.
   */
  listen(address: Address, onError: ServerErrorListener): Promise<Address> {
    return listenAt(this.#httpServer, address, {}, onError);
  }

  /** Stops accepting connections and closes those that are open. */
  dispose(): void {
    this.#disposables.dispose();
    this.#webSocketServer.close();
    this.#httpServer.close();
    this.#httpServer.closeAllConnections();
  }

  #serveDiscovery(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => undefined);
    let body: string | undefined;
    try {
      body = this.#options.createDiscoveryResponse?.();
    } catch (thrown) {
      onUnexpectedError(thrown);
      response.writeHead(500, { connection: "close" }).end();
      return;
    }
    const isDiscovery = body !== undefined &&
      request.url === PEER_DISCOVERY_PATH;
    response.writeHead(isDiscovery ? 200 : 404, { connection: "close" });
    response.end(isDiscovery ? body : undefined);
  }

  #createTlsServer(tls: PeerTls): HttpServer {
    const server = createHttpsServer(tls.serverOptions());
    this.#disposables.add(tls.follow(server));
    return server;
  }
}
