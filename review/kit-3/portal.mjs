/** Stand-in of an app replica, as PROTOCOL.md describes it. */

import { createServer } from "node:http";
import { listen, LOOPBACK, readBody } from "./net.mjs";

export class Portal {
  #options;
  #server;
  #sockets = new Set();
  address = "";

  /** @param options - `id`, `service`, `zone`, `workMs` and `world`. */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
    });
    this.address = `${LOOPBACK}:${await listen(this.#server)}`;
    this.announce();
  }

  stop() {
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  announce() {
    const { id, service, world, zone } = this.#options;
    world.store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      "cold-left-ms": 0,
      seq: 1,
    });
  }

  async #handle(request, response) {
    const { id: replica, workMs = 30, world } = this.#options;
    const { headers, url } = request;
    if (url === "/healthz") {
      response.writeHead(200, { "X-Replica-Id": replica }).end();
      return;
    }
    const body = await readBody(request);
    const id = headers["x-request-id"];
    if (id === undefined || headers["x-expect-replica"] !== replica) {
      response.writeHead(id === undefined ? 400 : 421, {
        ...(id !== undefined && { "X-Request-Id": id }),
        "X-Not-Executed": "1",
        "X-Replica-Id": replica,
      }).end();
      return;
    }
    const run = world.beginRun({ id, replica, after: 0, headers });
    await world.sleep(workMs);
    world.endRun(run, response.destroyed ? "dropped" : "complete");
    response.writeHead(200, {
      "X-Request-Id": id,
      "X-Response-Stamp": `${replica}.${id}`,
      "X-Replica-Load": "1,0,6",
    }).end(`${replica} ${id} ${body.length}`);
  }
}
