/** Serves the fake app service over HTTP. */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { CallCountingApp } from "./call_counting_app.ts";

/**
 * Creates an HTTP server that is not listening yet.
 *
 * @param app - App service that handles the requests.
 */
export function createAppServer(app: CallCountingApp): Server {
  return createServer((request, response) => {
    void (async () => {
      if (app.faults.isDown) {
        request.socket.destroy();
        return;
      }
      const body = await readBody(request);
      const appResponse = await app.run({
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: [],
        body,
        timeoutMs: 0,
        isIdempotent: false,
      });
      if (!appResponse) {
        request.socket.destroy();
        return;
      }
      response.writeHead(appResponse.status, {
        "content-type": "application/json",
      });
      response.end(appResponse.body);
    })();
  });
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
