/**
 * Stand-in of the platform's metadata store: items, revisions, watches, leases
 * and conditional writes, as PROTOCOL.md describes them.
 */

import { createServer } from "node:http";

const PAGE_ITEMS = 500;

/** In-memory store with its HTTP interface. */
export class Store {
  #items = new Map();
  #history = [];
  #leases = new Map();
  #waiting = new Set();
  #lastLease = 0;
  /** Revision of the latest change. */
  revision = 100;
  /** Decides what becomes of a call; "silent", "busy", "reset" or undefined. */
  faultOf = () => undefined;
  /** Called with each call. */
  onCall = () => undefined;
  #server = createServer((request, response) =>
    this.#receive(request, response)
  );

  constructor() {
    this.#server.keepAliveTimeout = 30_000;
    this.timer = setInterval(() => this.#expireLeases(), 100);
  }

  listen(ip, port) {
    return new Promise((resolve) => this.#server.listen(port, ip, resolve));
  }

  close() {
    clearInterval(this.timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get(key) {
    return this.#items.get(key);
  }

  /** Writes an item; returns its revision. */
  put(key, text, lease = 0) {
    const bytes = Buffer.from(text);
    return this.#write([{ key, value: bytes.toString("base64"), lease }], []);
  }

  remove(key) {
    return this.#items.has(key) ? this.#write([], [key]) : this.revision;
  }

  #write(puts, removed) {
    const revision = ++this.revision;
    for (const { key, value, lease = 0 } of puts) {
      const created = this.#items.get(key)?.["create-rev"] ?? revision;
      const item = { key, value, revision, "create-rev": created, lease };
      this.#items.set(key, item);
      this.#history.push(item);
      this.#leases.get(lease)?.keys.add(key);
    }
    for (const key of removed) {
      if (this.#items.delete(key)) {
        this.#history.push({ key, revision, removed: true });
      }
    }
    for (const wake of [...this.#waiting]) wake();
    return revision;
  }

  #expireLeases() {
    for (const [id, { until }] of [...this.#leases]) {
      if (performance.now() > until) this.#endLease(id);
    }
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (!lease) return false;
    this.#leases.delete(id);
    const keys = [...lease.keys].filter((key) =>
      this.#items.get(key)?.lease === id
    );
    if (keys.length > 0) this.#write([], keys);
    return true;
  }

  async #receive(request, response) {
    const chunks = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, "http://store");
    const { remoteAddress: from, remotePort: port } = request.socket;
    this.onCall({ method: request.method, path: url.pathname, from, port });
    switch (
      this.faultOf({ from, path: url.pathname, method: request.method })
    ) {
      case "silent":
        return;
      case "busy":
        response.writeHead(503).end();
        return;
      case "reset":
        request.socket.resetAndDestroy();
        return;
      default:
    }
    const body = text === "" ? {} : JSON.parse(text);
    const [status, answer] = await this.#execute(request.method, url, body);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  async #execute(method, url, body) {
    const [, , call, id] = url.pathname.split("/");
    const query = url.searchParams;
    switch (`${method} ${call}`) {
      case "GET kv-key": {
        const item = this.#items.get(query.get("key"));
        return item
          ? [200, { ...item, "current-rev": this.revision }]
          : [404, {}];
      }
      case "GET kv-range":
        return [
          200,
          this.#range(query.get("prefix") ?? "", query.get("after") ?? ""),
        ];
      case "GET kv-watch":
        return [
          200,
          await this.#watch(
            query.get("prefix") ?? "",
            Number(query.get("after")),
            Number(query.get("wait-ms")),
          ),
        ];
      case "POST kv-txn":
        return this.#commit(body);
      case "POST kv-lease": {
        const lease = ++this.#lastLease;
        const ttl = body["ttl-ms"];
        this.#leases.set(lease, {
          ttl,
          until: performance.now() + ttl,
          keys: new Set(),
        });
        return [200, { lease, "ttl-ms": ttl }];
      }
      case "POST kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (!lease) return [404, {}];
        lease.until = performance.now() + lease.ttl;
        return [200, { "ttl-ms": lease.ttl }];
      }
      case "DELETE kv-lease-end":
        return this.#endLease(Number(id)) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }

  #range(prefix, after) {
    const all = [...this.#items.values()].filter(({ key }) =>
      key.startsWith(prefix) && key > after
    ).sort((left, right) => left.key < right.key ? -1 : 1);
    return {
      "items": all.slice(0, PAGE_ITEMS),
      "more-pages": all.length > PAGE_ITEMS,
      "current-rev": this.revision,
    };
  }

  async #watch(prefix, after, waitMs) {
    const select = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    if (select().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (select().length === 0) return;
          end();
        };
        const end = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(end, waitMs);
        this.#waiting.add(wake);
      });
    }
    return { "events": select(), "current-rev": this.revision };
  }

  #commit({ "expect-rev": expected = [], puts = [], remove = [] }) {
    const isExpected = expected.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!isExpected) {
      const items = expected.map(({ key }) => this.#items.get(key)).filter(
        Boolean,
      );
      return [412, { items }];
    }
    for (const { lease = 0 } of puts) {
      if (lease !== 0 && !this.#leases.has(lease)) return [404, {}];
    }
    return [200, { revision: this.#write(puts, remove) }];
  }
}
