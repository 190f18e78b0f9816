/** Configuration and replicas as PROTOCOL.md describes them. */

import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

/** API key of the only tenant, unless a case adds others. */
export const KEY = "xd9dnn2ctnfzs989anu6";
/** Host name of all routes. */
export const HOST = "ficu95.example";

/** @returns The operator's configuration with the classes of piel-ruta. */
export function configuration(version, changes = {}) {
  const call = {
    "host": HOST,
    "timeout-ms": 1500,
    "slo-ms": 193,
    "priority": 2,
    "service": "portal",
  };
  const stream = {
    "host": HOST,
    "service": "taller",
    "kind": "stream",
    "gap-aim-ms": 180,
    "sticky": true,
  };
  return JSON.stringify({
    version,
    routes: [
      {
        ...stream,
        "name": "concepto",
        "prefix": "/concepto/",
        "timeout-ms": 39000,
        "slo-ms": 1800,
        "priority": 1,
        "max-attempts": 1,
      },
      {
        ...stream,
        "name": "revision",
        "prefix": "/revision/",
        "timeout-ms": 6000,
        "slo-ms": 1500,
        "priority": 0,
        "max-attempts": 2,
        "resumable": true,
      },
      {
        ...call,
        "name": "plantilla",
        "prefix": "/plantilla/",
        "kind": "non_idempotent",
        "max-attempts": 1,
      },
      {
        ...call,
        "name": "estado",
        "prefix": "/estado/",
        "kind": "idempotent",
        "max-attempts": 2,
      },
      ...(changes.routes ?? []),
    ],
    services: [
      {
        "name": "taller",
        "health-path": "/healthz",
        "max-conns": 252,
        "engine": {
          "slots": 24,
          "kv-cap-tokens": 34305,
          "stride": 4,
          "moves": true,
          "backups": true,
        },
      },
      { "name": "portal", "health-path": "/healthz", "max-conns": 110 },
      ...(changes.services ?? []),
    ],
    limits: changes.limits ?? {
      "max-header-bytes": 16384,
      "max-body-bytes": 4194304,
      "header-timeout-ms": 5000,
      "idle-timeout-ms": 15000,
    },
    tenants: changes.tenants ?? [{ "name": "huka270", "api-keys": [KEY] }],
  });
}

/** One replica. `run` answers a request that it has begun to run. */
export class Replica {
  /** Requests that it has begun to run. */
  runs = [];
  draining = false;
  #server = createServer((request, response) =>
    this.#receive(request, response)
  );

  constructor({ service, zone, version = "v1", slots = 6, run = answerCall }) {
    Object.assign(this, { service, zone, version, slots, run });
    this.id = `i-${randomBytes(5).toString("hex")}`;
    this.running = 0;
    this.#server.keepAliveTimeout = 5_000;
    this.#server.requestTimeout = 0;
  }

  async listen(ip, port) {
    await new Promise((resolve) => this.#server.listen(port, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  /** The entry in the store. */
  entry(changes = {}) {
    return JSON.stringify({
      "service": this.service,
      "address": this.address,
      "zone": this.zone,
      "version": this.version,
      "slots": this.slots,
      "state": this.draining ? "draining" : "ready",
      "cold-left-ms": 0,
      "seq": 1,
      ...changes,
    });
  }

  register(store, changes) {
    store.put(`servers/${this.id}`, this.entry(changes));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #receive(request, response) {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const { headers, method, url } = request;
    if (url === "/healthz") {
      response.writeHead(this.draining ? 503 : 200, {
        "X-Replica-Id": this.id,
        "X-Replica-Load": `${this.running},0,${this.slots}`,
      });
      response.end();
      return;
    }
    if (url === "/api/report") {
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify({
        "phase": "hybrid",
        "models": [{ name: "m", version: 1, loras: [] }],
        "busy": false,
        "seq": 1,
        "queued": 0,
        "running": this.running,
        "kv-used": 0,
        "kv-total": 34305,
        "handles": 0,
        "state": this.draining ? "draining" : "ready",
        "next": 0,
        "runs": [],
      }));
      return;
    }
    if (url.startsWith("/api/")) {
      request.resume();
      response.writeHead(404).end();
      return;
    }
    const id = headers["x-request-id"];
    if (id === undefined) {
      request.resume();
      response.writeHead(400, { "X-Not-Executed": "1" }).end();
      return;
    }
    if (
      headers["x-expect-replica"] !== undefined &&
      headers["x-expect-replica"] !== this.id
    ) {
      request.resume();
      response.writeHead(421, { "X-Request-Id": id, "X-Not-Executed": "1" })
        .end();
      return;
    }
    const run = {
      id,
      url,
      method,
      headers,
      atMs: performance.now(),
      replica: this.id,
      body: 0,
    };
    this.runs.push(run);
    this.running++;
    response.on("close", () => this.running--);
    await this.run({ replica: this, request, response, run });
  }

  /** The headers of an answer to a request. */
  head(id) {
    return {
      "X-Request-Id": id,
      "X-Response-Stamp": `3e1b.${this.id}.${id}`,
      "X-Replica-Load": `${this.running},0,${this.slots}`,
    };
  }
}

/** Reads a body, and counts its bytes. */
export async function readBody(request, run) {
  try {
    for await (const chunk of request) run.body += chunk.length;
    return true;
  } catch {
    return false;
  }
}

/** Answers a call after 30 ms. */
export async function answerCall({ replica, request, response, run }) {
  if (!await readBody(request, run)) return;
  await new Promise((resolve) => setTimeout(resolve, 30));
  const body = `${replica.id} ${run.id}`.padEnd(800, ".");
  response.writeHead(200, {
    ...replica.head(run.id),
    "Content-Length": body.length,
  });
  response.end(body);
}

/** Answers a stream with `count` events, one each 20 ms, after 150 ms. */
export const answerStream =
  (count) => async ({ replica, request, response, run }) => {
    if (!await readBody(request, run)) return;
    await new Promise((resolve) => setTimeout(resolve, 150));
    response.writeHead(200, {
      ...replica.head(run.id),
      "Content-Type": "text/event-stream",
    });
    for (
      let event = Number(run.headers["last-event-id"] ?? 0) + 1;
      event <= count;
      event++
    ) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${"x".repeat(200)}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    response.end();
  };
