/** The stand-in app service on a port. */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { CallCountingApp } from "./call_counting_app.ts";

/**
 * Creates the server; it does not listen yet.
 *
 * @param app - The service behind it.
 */
export function createAppServer(app: CallCountingApp): Server {
  return createServer((request, response) => {
    void (async () => {
      if (app.faults.isDown) {
        request.socket.destroy();
        return;
      }
      const body = await readBody(request);
      const answer = await app.run({
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: [],
        body,
        timeoutMs: 0,
        isIdempotent: false,
      });
      if (!answer) {
        request.socket.destroy();
        return;
      }
      response.writeHead(answer.status, { "content-type": "application/json" });
      response.end(answer.body);
    })();
  });
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
