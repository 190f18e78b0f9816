/**
 * Stand-ins of the platform's entry, of its restarts and of its memory limit,
 * and of clients, as PROTOCOL.md and DEPLOY.md describe them.
 */

import { Agent, request as sendRequest } from "node:http";
import { readFileSync } from "node:fs";
import { isReady } from "./fleet.mjs";
import { HOST, KEY } from "./wire.mjs";

const POLL_MS = 1_000;
/** Questions in a row without a 200 after which a daemon is taken out. */
const MISSES = 2;

/** Forwards each new connection to a daemon in rotation. */
export class Entry {
  #misses = new Map();
  #timer;

  constructor(fleet) {
    this.fleet = fleet;
    this.#timer = setInterval(() => this.#poll(), POLL_MS);
  }

  stop() {
    clearInterval(this.#timer);
  }

  /** The daemons that get new connections. */
  get rotation() {
    const inRotation = this.fleet.daemons.filter((daemon) =>
      (this.#misses.get(daemon) ?? 0) < MISSES
    );
    const isEnough = inRotation.length * 2 >= this.fleet.daemons.length;
    return isEnough || inRotation.length > 0 ? inRotation : this.fleet.daemons;
  }

  /** @returns The daemon of a client's next connection, or of a later try. */
  pick(client, attempt = 0) {
    const daemons = this.rotation;
    return daemons[(client + attempt) % daemons.length];
  }

  #poll() {
    for (const daemon of this.fleet.daemons) {
      void isReady(daemon, POLL_MS).then((ready) => {
        this.#misses.set(
          daemon,
          ready ? 0 : (this.#misses.get(daemon) ?? 0) + 1,
        );
      });
    }
  }
}

/** Starts the process of a daemon again after it has ended by itself. */
export function restartEnded(fleet, delayMs, onEnd) {
  const seen = new Set();
  return setInterval(() => {
    for (const daemon of fleet.daemons) {
      const { child, ended } = daemon;
      if (!ended || seen.has(child) || daemon.isStopped) continue;
      seen.add(child);
      onEnd(daemon, ended);
      setTimeout(() => fleet.spawn(daemon), delayMs);
    }
  }, 20);
}

/**
 * @returns The memory of a process that is not that of files, in MB, or
 * undefined if it has ended.
 */
export function memoryMb({ child }) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    const kb = /^RssAnon:\s+(\d+) kB/m.exec(status)?.[1];
    return kb === undefined ? undefined : Number(kb) / 1024;
  } catch {
    return undefined;
  }
}

let requestCount = 0;

/** One client with one connection, which it keeps while the daemon does. */
export class Client {
  #agent;
  daemon;

  constructor(index, entry) {
    this.index = index;
    this.entry = entry;
  }

  /** Sends a request and waits for its end. */
  async send(path, options = {}) {
    const {
      body = "body",
      deadlineMs = 39_000,
      headers = {},
      method = "POST",
      paceBytesPerMs,
    } = options;
    const isKept = this.#agent !== undefined;
    if (!isKept) {
      this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.daemon = this.entry.pick(this.index, options.attempt);
    }
    const { daemon } = this;
    const id = `${process.pid.toString(16)}${
      (++requestCount).toString(16).padStart(8, "0")
    }`;
    const result = {
      id,
      path,
      daemon: daemon.name,
      client: this.index,
      sentMs: performance.now(),
      status: 0,
      bytes: 0,
      isComplete: false,
      isKept,
      error: undefined,
      headers: {},
    };
    await new Promise((resolve) => {
      const request = sendRequest({
        ...daemon.front,
        agent: this.#agent,
        path,
        method,
        headers: {
          "Host": HOST,
          "X-Request-Id": id,
          "X-Deadline-Ms": String(deadlineMs),
          "Authorization": `Bearer ${KEY}`,
          "Content-Length": Buffer.byteLength(body),
          ...headers,
        },
      }, (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.on("data", (chunk) => result.bytes += chunk.length);
        response.on("error", (error) => {
          result.error = error.code ?? error.message;
          resolve();
        });
        response.on("end", () => {
          result.isComplete = response.complete;
          resolve();
        });
      });
      result.isKept = isKept;
      request.on("error", (error) => {
        result.error = error.code ?? error.message;
        resolve();
      });
      request.setTimeout(
        deadlineMs,
        () => request.destroy(new Error("deadline")),
      );
      if (paceBytesPerMs === undefined) request.end(body);
      else sendSlowly(request, body, paceBytesPerMs);
    });
    result.endMs = performance.now();
    const mayKeep = result.isComplete && result.headers.connection !== "close";
    if (!mayKeep) this.leave();
    return result;
  }

  /** Closes the connection. */
  leave() {
    this.#agent?.destroy();
    this.#agent = undefined;
  }
}

function sendSlowly(request, body, bytesPerMs) {
  const startMs = performance.now();
  let sent = 0;
  const step = () => {
    if (request.destroyed) return;
    const due = Math.min(
      body.length,
      Math.floor((performance.now() - startMs) * bytesPerMs),
    );
    if (due > sent) request.write(body.subarray(sent, due));
    sent = due;
    if (sent < body.length) setTimeout(step, 10);
    else request.end();
  };
  step();
}
