/** Client for app services over HTTP. */

import { connect } from "node:net";
import { Agent, Client, type Dispatcher } from "undici";
import type { AsyncEither } from "../../../base/common/result.ts";
import type {
  AppClient,
  AppFailure,
  AppRequest,
  AppResponse,
} from "../common/app_client.ts";
import type { Endpoint } from "../common/engine_client.ts";
import { AppExchange } from "./app_exchange.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * A connection that has been idle for longer is not reused, since it may have
 * been dropped without notice.
 */
const MAX_REUSE_IDLE_MS = 2_000;
const MAX_RESPONSE_HEADER_BYTES = 65_536;

const CONNECTION_OPTIONS = {
  connect: { timeout: CONNECT_TIMEOUT_MS },
  pipelining: 1,
  keepAliveTimeout: MAX_REUSE_IDLE_MS,
  keepAliveMaxTimeout: MAX_REUSE_IDLE_MS,
  maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
  // The exchange applies a single timeout to the whole response.
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/**
 * Sends requests to app services. Idempotent requests share a pool of recently
 * used connections. Every other request gets a connection of its own: the
 * handshake proves that the connection is alive, and no delayed response to
 * another request can arrive on it.
 */
export class HttpAppClient implements AppClient {
  readonly #agent = new Agent(CONNECTION_OPTIONS);

  /** {@inheritDoc AppClient.send} */
  async send(
    endpoint: Endpoint,
    request: AppRequest,
  ): AsyncEither<AppFailure, AppResponse> {
    const origin = `http://${endpoint.address}`;
    const exchange = new AppExchange(endpoint.address, request);
    if (request.isIdempotent) {
      this.#agent.dispatch(toDispatchOptions(origin, request), exchange);
      return await exchange.result;
    }
    const client = new Client(origin, CONNECTION_OPTIONS);
    client.dispatch(toDispatchOptions(origin, request), exchange);
    const result = await exchange.result;
    void client.destroy();
    return result;
  }

  /** {@inheritDoc AppClient.isListening} */
  isListening({ address }: Endpoint): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
      const socket = connect({ host: host!, port: Number(port) });
      const settle = (isListening: boolean): void => {
        socket.destroy();
        resolve(isListening);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => settle(true));
      socket.once("connect", () => settle(true));
      socket.once(
        "error",
        (error: NodeJS.ErrnoException) => settle(error.code !== "ECONNREFUSED"),
      );
    });
  }

  /** Closes all connections. */
  dispose(): void {
    void this.#agent.destroy();
  }
}

/**
 * Builds the dispatch options. The path is passed on as received, since parsing
 * it as a URL would change it.
 */
function toDispatchOptions(
  origin: string,
  request: AppRequest,
): Dispatcher.DispatchOptions {
  return {
    origin,
    path: request.path,
    method: request.method as Dispatcher.HttpMethod,
    headers: request.headers.flatMap(({ name, value }) => [name, value]),
    body: request.body.byteLength > 0 ? request.body : null,
    idempotent: request.isIdempotent,
    // Tells the service that the connection is closed after this request.
    reset: !request.isIdempotent,
  };
}
