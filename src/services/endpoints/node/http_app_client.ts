/** App client over HTTP. */

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
/** A connection that was idle for longer may have gone silent. */
const MAX_REUSE_IDLE_MS = 2_000;
const MAX_RESPONSE_HEADER_BYTES = 65_536;

const CONNECTION_OPTIONS = {
  connect: { timeout: CONNECT_TIMEOUT_MS },
  pipelining: 1,
  keepAliveTimeout: MAX_REUSE_IDLE_MS,
  keepAliveMaxTimeout: MAX_REUSE_IDLE_MS,
  maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
  // The exchange has the one limit, for the whole answer.
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/**
 * Idempotent calls share a pool of connections that answered lately. Every
 * other call gets a connection of its own: its handshake proves that it is
 * alive, and no late answer to another call can arrive on it.
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

  /** Closes all connections. */
  dispose(): void {
    void this.#agent.destroy();
  }
}

/** The path is passed as it came; parsing it as a URL would change it. */
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
    // The service is told that its connection ends with this call.
    reset: !request.isIdempotent,
  };
}
