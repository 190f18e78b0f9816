/** App client over HTTP. */

import { Agent, Client, request } from "undici";
import { messageOf } from "../../../base/common/errors.ts";
import { type Eventually, Left, Right } from "../../../base/common/result.ts";
import type {
  AppClient,
  AppFailure,
  AppRequest,
  AppResponse,
  HeaderLine,
} from "../common/app_client.ts";
import type { Endpoint } from "../common/engine_client.ts";

const CONNECT_TIMEOUT_MS = 1_000;

/** Errors that arise before a byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Idempotent calls share a pool of connections. Every other call gets a new
 * connection, which proves by its handshake that it is alive.
 */
export class HttpAppClient implements AppClient {
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
  });

  /** {@inheritDoc AppClient.send} */
  async send(
    endpoint: Endpoint,
    call: AppRequest,
  ): Eventually<AppFailure, AppResponse> {
    const origin = `http://${endpoint.address}`;
    if (call.isIdempotent) return await exchange(this.#agent, origin, call);
    const client = new Client(origin, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      pipelining: 1,
    });
    const result = await exchange(client, origin, call);
    void client.destroy();
    return result;
  }

  /** Closes all connections. */
  dispose(): void {
    void this.#agent.destroy();
  }
}

async function exchange(
  dispatcher: Agent | Client,
  origin: string,
  call: AppRequest,
): Eventually<AppFailure, AppResponse> {
  try {
    const response = await request(`${origin}${call.path}`, {
      method: call.method as "GET",
      headers: call.headers.flatMap(({ name, value }) => [name, value]),
      body: call.body.byteLength > 0 ? call.body : null,
      dispatcher,
      responseHeaders: "raw",
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    const body = new Uint8Array(await response.body.arrayBuffer());
    const headers = toHeaderLines(response.headers as unknown as string[]);
    return Right({ status: response.statusCode, headers, body });
  } catch (thrown) {
    const code = (thrown as { code?: string }).code ?? "";
    return Left({
      kind: NOT_SENT_CODES.has(code) ? "not-sent" : "unknown",
      step: "app.send",
      peer: origin.slice("http://".length),
      detail: messageOf(thrown) || code,
    });
  }
}

/** Pairs up the flat list of names and values. */
function toHeaderLines(raw: readonly (string | Buffer)[]): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push({
      name: String(raw[index]),
      value: String(raw[index + 1]),
    });
  }
  return lines;
}
