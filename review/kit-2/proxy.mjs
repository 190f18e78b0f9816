/** A TCP proxy whose open connections can fall silent while new ones work. */

import { connect, createServer } from "node:net";

/** Forwards connections to one address. */
export class Proxy {
  #pairs = new Set();
  /** Called with what a client sends. */
  onRequest = () => undefined;

  constructor(host, port) {
    this.#server = createServer((client) =>
      this.#accept(client, connect({ host, port }))
    );
  }

  #server;

  listen(ip, port) {
    return new Promise((resolve) => this.#server.listen(port, ip, resolve));
  }

  /** Number of open connections that still carry data. */
  get openCount() {
    return [...this.#pairs].filter(({ isSilent }) => !isSilent).length;
  }

  /** Lets all connections that are open now carry nothing more, without a reset. */
  silence() {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  #accept(client, server) {
    const pair = { isSilent: false };
    this.#pairs.add(pair);
    const forward = (from, to, isRequest) => {
      from.on("data", (chunk) => {
        if (pair.isSilent) return;
        if (isRequest) this.onRequest(chunk);
        to.write(chunk);
      });
      from.on("end", () => pair.isSilent || to.end());
      from.on("error", () => undefined);
      from.on("close", () => {
        // Nothing of a silent connection reaches the other side.
        if (!pair.isSilent) to.destroy();
        if (from === client) this.#pairs.delete(pair);
      });
    };
    forward(client, server, true);
    forward(server, client, false);
  }
}
