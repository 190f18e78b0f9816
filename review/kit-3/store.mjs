/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */

import { createServer } from "node:http";
import { listen, LOOPBACK, readBody } from "./net.mjs";

const HISTORY_LIMIT = 20_000;

export class Store {
  #items = new Map();
  #history = [];
  #revision = 100;
  #waiting = new Set();
  #leases = new Map();
  #nextLease = 1;
  #server;
  #sockets = new Set();
  #isDown = false;
  #isBusy = false;
  address = "";

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
  }

  stop() {
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /**
   * While the store is down, calls get no answer, or 503 if it is `busy`, and
   * leases pause.
   */
  goDown(how) {
    this.#isDown = true;
    this.#isBusy = how === "busy";
    if (!this.#isBusy) { for (const socket of this.#sockets) socket.pause(); }
    for (const wake of [...this.#waiting]) wake();
  }

  restore() {
    this.#isDown = false;
    if (!this.#isBusy) {
      // Nothing more comes on a connection on which an answer was lost.
      for (const socket of this.#sockets) socket.destroy();
    }
    for (const lease of this.#leases.values()) this.#renew(lease);
  }

  /** Writes as the operator and the servers do; returns the revision. */
  put(key, document) {
    const value = Buffer.from(JSON.stringify(document)).toString("base64");
    this.#commit([{ key, value, lease: 0 }], []);
    return this.#revision;
  }

  remove(key) {
    this.#commit([], [key]);
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #commit(puts, removed) {
    this.#revision++;
    const revision = this.#revision;
    for (const { key, value, lease } of puts) {
      const createRevision = this.#items.get(key)?.["create-rev"] ?? revision;
      const item = {
        key,
        value,
        revision,
        "create-rev": createRevision,
        lease: lease ?? 0,
      };
      this.#items.set(key, item);
      this.#history.push({ revision, event: item });
    }
    for (const key of removed) {
      if (!this.#items.delete(key)) continue;
      const event = { key, revision, removed: true };
      this.#history.push({ revision, event });
    }
    this.#history.splice(0, this.#history.length - HISTORY_LIMIT);
    for (const wake of [...this.#waiting]) wake();
  }

  #renew(lease) {
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => {
      if (this.#isDown) return this.#renew(lease);
      this.#endLease(lease.id);
    }, lease.ttlMs);
    lease.timer.unref();
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter((item) => item.lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.#commit([], keys);
    return true;
  }

  async #handle(request, response) {
    const body = await readBody(request);
    if (this.#refuses(response)) return;
    const url = new URL(request.url, "http://store");
    const [status, answer] = await this.#answer(request, url, body);
    if (this.#refuses(response)) return;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  #refuses(response) {
    if (this.#isDown && this.#isBusy) response.writeHead(503).end();
    return this.#isDown;
  }

  async #answer(request, url, body) {
    const query = url.searchParams;
    const [, , call, id] = url.pathname.split("/");
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.get("key"));
        const current = { "current-rev": this.#revision };
        return item ? [200, { ...item, ...current }] : [404, {}];
      }
      case "kv-range":
        return [200, this.#range(query.get("prefix"), query.get("after"))];
      case "kv-watch":
        return [200, await this.#watch(request, query)];
      case "kv-lease": {
        const ttlMs = Math.max(1_000, JSON.parse(body)["ttl-ms"]);
        const lease = { id: this.#nextLease++, ttlMs, timer: undefined };
        this.#leases.set(lease.id, lease);
        this.#renew(lease);
        return [200, { lease: lease.id, "ttl-ms": ttlMs }];
      }
      case "kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (!lease) return [404, {}];
        this.#renew(lease);
        return [200, { "ttl-ms": lease.ttlMs }];
      }
      case "kv-lease-end":
        return [this.#endLease(Number(id)) ? 200 : 404, {}];
      case "kv-txn":
        return this.#transact(JSON.parse(body));
      default:
        return [404, {}];
    }
  }

  #range(prefix, after) {
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix ?? "") && key > (after ?? ""))
      .sort((left, right) => left.key < right.key ? -1 : 1);
    return {
      items: items.slice(0, 500),
      "more-pages": items.length > 500,
      "current-rev": this.#revision,
    };
  }

  async #watch(request, query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const endMs = performance.now() + Number(query.get("wait-ms"));
    for (;;) {
      const events = this.#history.filter(({ revision, event }) =>
        revision > after && event.key.startsWith(prefix)
      ).map(({ event }) => event);
      const leftMs = endMs - performance.now();
      const isOver = leftMs <= 0 || this.#isDown || request.socket.destroyed;
      if (events.length > 0 || isOver) {
        return { events, "current-rev": this.#revision };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #transact({ "expect-rev": expected = [], puts = [], remove = [] }) {
    const holds = expected.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return [412, { items }];
    }
    const isLeased = puts.every(({ lease }) =>
      !lease || this.#leases.has(lease)
    );
    if (!isLeased) return [404, {}];
    this.#commit(puts, remove);
    return [200, { revision: this.#revision }];
  }
}
