/** Loopback proxy that stands between a client and a server and disturbs both. */

import { connect, createServer, type Socket } from "node:net";
import { listenOnLoopback } from "../platform/standins/loopback_server.ts";
import type { Address } from "../src/base/common/ids.ts";
import { splitAddress } from "../src/services/settings/common/shared_schemas.ts";

/** What the proxy does to connections. */
export type ProxyFault =
  | { readonly kind: "none" }
  | { readonly kind: "delay"; readonly delayMs: number }
  /** Bytes of both directions, or of the answers only, vanish. */
  | { readonly kind: "silence"; readonly isOneWay: boolean }
  /** New connections are reset. */
  | { readonly kind: "reset" };

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  /** Connections that were silenced once stay silent. */
  isSilenced: boolean;
}

/** Forwards connections to one address. */
export class FaultProxy {
  readonly #target: Address;
  readonly #server = createServer((client) => this.#accept(client));
  readonly #links = new Set<Link>();
  #fault: ProxyFault = { kind: "none" };

  /** @param target - Where connections go. */
  constructor(target: Address) {
    this.#target = target;
  }

  /** @returns The address of the proxy, once it listens. */
  listen(): Promise<Address> {
    return listenOnLoopback(this.#server);
  }

  /** Changes what happens from now on. */
  setFault(fault: ProxyFault): void {
    this.#fault = fault;
    if (fault.kind !== "silence") return;
    for (const link of this.#links) link.isSilenced = true;
  }

  /** Resets all open connections. */
  resetAll(): void {
    for (const { client, server } of this.#links) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  /** Closes everything. */
  close(): void {
    this.#server.close();
    this.resetAll();
  }

  #accept(client: Socket): void {
    if (this.#fault.kind === "reset") {
      client.resetAndDestroy();
      return;
    }
    const { ip, port } = splitAddress(this.#target);
    const server = connect({ host: ip, port });
    const isSilenced = this.#fault.kind === "silence";
    const link: Link = { client, server, isSilenced };
    this.#links.add(link);
    this.#forward(link, client, server, false);
    this.#forward(link, server, client, true);
  }

  #forward(link: Link, from: Socket, to: Socket, isAnswer: boolean): void {
    const queue = new DelayedBytes(to);
    from.on("data", (bytes) => {
      const fault = this.#fault;
      const isOneWay = fault.kind === "silence" && fault.isOneWay;
      if (link.isSilenced && (isAnswer || !isOneWay)) return;
      queue.push(bytes, fault.kind === "delay" ? fault.delayMs : 0);
    });
    from.on("error", () => to.destroy());
    from.on("end", () => {
      if (!link.isSilenced) queue.end();
    });
    from.on("close", () => {
      this.#links.delete(link);
      if (link.isSilenced || from.errored) to.destroy();
    });
  }
}

/** Bytes of one direction; none overtakes another. */
class DelayedBytes {
  readonly #to: Socket;
  readonly #waiting: { readonly bytes: Buffer; readonly dueMs: number }[] = [];
  #timer: NodeJS.Timeout | undefined;
  #hasEnded = false;

  constructor(to: Socket) {
    this.#to = to;
  }

  push(bytes: Buffer, delayMs: number): void {
    this.#waiting.push({ bytes, dueMs: performance.now() + delayMs });
    this.#drain();
  }

  end(): void {
    this.#hasEnded = true;
    this.#drain();
  }

  #drain(): void {
    if (this.#timer) return;
    for (;;) {
      const next = this.#waiting[0];
      if (!next) break;
      const waitMs = next.dueMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => {
          this.#timer = undefined;
          this.#drain();
        }, waitMs);
        return;
      }
      this.#waiting.shift();
      if (this.#to.writable) this.#to.write(next.bytes);
    }
    if (this.#hasEnded) this.#to.end();
  }
}
