/** Loopback proxy that stands between a client and a server and disturbs both. */

import { connect, createServer, type Socket } from "node:net";
import { listenOnLoopback } from "../platform/standins/loopback.ts";
import type { Address } from "../src/base/common/ids.ts";
import { splitAddress } from "../src/services/settings/common/schema_parts.ts";

/** What the proxy does to connections. */
export type ProxyFault =
  | { readonly kind: "none" }
  | { readonly kind: "delay"; readonly delayMs: number }
  /** Bytes of both directions, or of the answers only, vanish. */
  | { readonly kind: "silence"; readonly isOneWay: boolean }
  /** New connections are reset. */
  | { readonly kind: "reset" };

interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
  /** Connections that were silenced once stay silent. */
  isDiscarding: boolean;
}

/** Forwards connections to one address. */
export class FaultProxy {
  readonly #target: Address;
  readonly #server = createServer((client) => this.#accept(client));
  readonly #connections = new Set<ProxiedConnection>();
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
    for (const connection of this.#connections) connection.isDiscarding = true;
  }

  /** Resets all open connections. */
  resetConnections(): void {
    for (const { client, server } of this.#connections) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  /** Closes everything. */
  close(): void {
    this.#server.close();
    this.resetConnections();
  }

  #accept(client: Socket): void {
    if (this.#fault.kind === "reset") {
      client.resetAndDestroy();
      return;
    }
    const { ip, port } = splitAddress(this.#target);
    const server = connect({ host: ip, port });
    const isDiscarding = this.#fault.kind === "silence";
    const connection: ProxiedConnection = {
      client,
      server,
      isDiscarding: isDiscarding,
    };
    this.#connections.add(connection);
    this.#forward(connection, client, server, false);
    this.#forward(connection, server, client, true);
  }

  #forward(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
    isResponse: boolean,
  ): void {
    const writer = new DelayedWriter(to);
    from.on("data", (bytes) => {
      const fault = this.#fault;
      const isOneWay = fault.kind === "silence" && fault.isOneWay;
      if (connection.isDiscarding && (isResponse || !isOneWay)) return;
      writer.write(bytes, fault.kind === "delay" ? fault.delayMs : 0);
    });
    from.on("error", () => to.destroy());
    from.on("end", () => {
      if (!connection.isDiscarding) writer.end();
    });
    from.on("close", () => {
      this.#connections.delete(connection);
      if (connection.isDiscarding || from.errored) to.destroy();
    });
  }
}

/** Bytes of one direction; none overtakes another. */
class DelayedWriter {
  readonly #target: Socket;
  readonly #queue: { readonly bytes: Buffer; readonly dueMs: number }[] = [];
  #timer: NodeJS.Timeout | undefined;
  #hasEnded = false;

  constructor(target: Socket) {
    this.#target = target;
  }

  write(bytes: Buffer, delayMs: number): void {
    this.#queue.push({ bytes, dueMs: performance.now() + delayMs });
    this.#flush();
  }

  end(): void {
    this.#hasEnded = true;
    this.#flush();
  }

  #flush(): void {
    if (this.#timer) return;
    for (;;) {
      const next = this.#queue[0];
      if (!next) break;
      const waitMs = next.dueMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => {
          this.#timer = undefined;
          this.#flush();
        }, waitMs);
        return;
      }
      this.#queue.shift();
      if (this.#target.writable) this.#target.write(next.bytes);
    }
    if (this.#hasEnded) this.#target.end();
  }
}
