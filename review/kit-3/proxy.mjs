/**
 * TCP proxy before one stand-in. It can let open connections fall silent while
 * new ones work, or be dark as a host without power is.
 */

import { connect, createServer } from "node:net";
import { listen, LOOPBACK } from "./net.mjs";

export class Proxy {
  #target;
  #server;
  #pairs = new Set();
  #isDark = false;
  address = "";

  constructor(targetPort) {
    this.#target = targetPort;
  }

  async start() {
    const port = await listen(this.#createServer());
    this.address = `${LOOPBACK}:${port}`;
  }

  /** Nothing listens at the address any more. */
  refuse(resetsPairs = true) {
    this.#server.close();
    if (!resetsPairs) return;
    for (const pair of [...this.#pairs]) this.#reset(pair);
  }

  /** Another process listens at the address. */
  async accept(targetPort) {
    this.#target = targetPort;
    const port = Number(this.address.split(":")[1]);
    await listen(this.#createServer(), LOOPBACK, port);
  }

  #createServer() {
    this.#server = createServer({ allowHalfOpen: true }, (client) => {
      this.#accept(client);
    });
    return this.#server;
  }

  stop() {
    this.#server?.close();
    for (const pair of [...this.#pairs]) this.#reset(pair);
  }

  /** Connects to another process from now on. */
  retarget(port) {
    this.#target = port;
  }

  /** Open connections carry nothing any more, not even their end. */
  silence() {
    for (const pair of this.#pairs) this.#mute(pair);
    return this.#pairs.size;
  }

  /** Nothing is answered, also not on new connections. */
  goDark() {
    this.#isDark = true;
    this.silence();
  }

  /** The host is back and resets what it does not know. */
  comeBack() {
    this.#isDark = false;
    for (const pair of [...this.#pairs]) {
      if (pair.isMuted) this.#reset(pair);
    }
  }

  #accept(client) {
    const pair = { client, server: undefined, isMuted: false };
    this.#pairs.add(pair);
    client.setNoDelay(true);
    client.on("error", () => this.#close(pair, true));
    client.on("close", () => this.#close(pair, false));
    if (this.#isDark) {
      this.#mute(pair);
      return;
    }
    const server = connect(this.#target, LOOPBACK);
    pair.server = server;
    server.setNoDelay(true);
    server.on("error", () => this.#close(pair, true));
    server.on("close", () => this.#close(pair, false));
    this.#forward(pair, client, server);
    this.#forward(pair, server, client);
  }

  #forward(pair, from, to) {
    from.on("data", (chunk) => {
      if (pair.isMuted) return;
      if (!to.write(chunk)) from.pause();
    });
    to.on("drain", () => {
      if (!pair.isMuted) from.resume();
    });
    from.on("end", () => {
      if (!pair.isMuted) to.end();
    });
  }

  #mute(pair) {
    pair.isMuted = true;
  }

  #close(pair, isReset) {
    if (pair.isMuted) return;
    this.#pairs.delete(pair);
    for (const socket of [pair.client, pair.server]) {
      if (!socket || socket.destroyed) continue;
      if (isReset) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  #reset(pair) {
    this.#pairs.delete(pair);
    pair.isMuted = true;
    pair.client.resetAndDestroy();
    pair.server?.resetAndDestroy();
  }
}
