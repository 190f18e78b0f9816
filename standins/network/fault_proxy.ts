/**
 * Loopback TCP proxy that injects network faults (delay, data loss, resets)
 * between a client and a server.
 */

import { connect, createServer, type Socket } from "node:net";
import { listenOnLoopback } from "../../platform/standins/loopback_server.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { splitAddress } from "../../src/services/settings/common/shared_schemas.ts";

/** Fault that the proxy applies to its connections. */
export type ProxyFault =
  | { readonly kind: "none" }
  | { readonly kind: "delay"; readonly delayMs: number }
  /** Discards the data of both directions, or of the responses only. */
  | { readonly kind: "silence"; readonly isOneWay: boolean }
  /** Resets new connections. */
  | { readonly kind: "reset" };

/** How one client host is cut from the server, while others reach it. */
export type SourceCut =
  /** No data passes on any connection; new ones are accepted. */
  | "silent"
  /** Open connections are reset, and so are new ones. */
  | "reset"
  /** Open connections live on; new ones are reset. */
  | "refuse-new";

interface ProxiedConnection {
  /** Address of the client host. */
  readonly source: string;
  readonly client: Socket;
  readonly server: Socket;
  /**
   * Whether a `silence` fault affected the connection. It stays affected after
   * the fault is cleared, like a connection whose state a middlebox has lost.
   */
  isDiscarding: boolean;
  /** Whether the server does not learn either that the client has closed it. */
  hidesEnd: boolean;
}

/** Forwards connections to one address and injects faults. */
export class FaultProxy {
  readonly #target: Address;
  readonly #localIp: string | undefined;
  readonly #server = createServer((client) => this.#accept(client));
  readonly #connections = new Set<ProxiedConnection>();
  readonly #sourceCuts = new Map<string, SourceCut>();
  /** Wall-clock times at which the cuts of client hosts began or ended. */
  readonly #sourceCutMs = new Map<string, number>();
  #fault: ProxyFault = { kind: "none" };
  #disturbedMs = 0;

  /**
   * @param target - Address of the server.
   * @param localIp - Address from which connections to the server are opened;
   * the system chooses one if absent.
   */
  constructor(target: Address, localIp?: string) {
    this.#target = target;
    this.#localIp = localIp;
  }

  /**
   * Starts to accept connections.
   *
   * @returns The address of the proxy.
   */
  listen(): Promise<Address> {
    return listenOnLoopback(this.#server);
  }

  /** Wall-clock time of the latest fault, in milliseconds. */
  get disturbedMs(): number {
    return this.#fault.kind === "none" ? this.#disturbedMs : Date.now();
  }

  /** Replaces the current fault. `silence` also affects open connections. */
  setFault(fault: ProxyFault): void {
    this.#fault = fault;
    this.#disturbedMs = Date.now();
    if (fault.kind !== "silence") return;
    for (const connection of this.#connections) connection.isDiscarding = true;
  }

  /** Lets the connections that are open now carry nothing more. */
  silence(): void {
    this.#disturbedMs = Date.now();
    for (const connection of this.#connections) connection.isDiscarding = true;
  }

  /**
   * Lets the connections that are open now carry nothing more, not even to the
   * server that the client has closed them.
   */
  silenceForGood(): void {
    this.silence();
    for (const connection of this.#connections) connection.hidesEnd = true;
  }

  /**
   * @param source - Address of a client host.
   * @returns Wall-clock time of its latest fault, in milliseconds.
   */
  disturbedMsOf(source: string): number {
    const sourceMs = this.#sourceCuts.has(source)
      ? Date.now()
      : this.#sourceCutMs.get(source) ?? 0;
    return Math.max(this.disturbedMs, sourceMs);
  }

  /** Cuts a client host from the server, or heals its cut. */
  cutSource(source: string, cut: SourceCut | undefined): void {
    this.#sourceCutMs.set(source, Date.now());
    if (cut === undefined) {
      this.#sourceCuts.delete(source);
      return;
    }
    this.#sourceCuts.set(source, cut);
    for (const connection of this.#connections) {
      if (connection.source !== source) continue;
      switch (cut) {
        case "silent":
          connection.isDiscarding = true;
          break;
        case "reset":
          reset(connection);
          break;
        case "refuse-new":
      }
    }
  }

  /** Resets all open connections. */
  resetConnections(): void {
    this.#disturbedMs = Date.now();
    for (const connection of this.#connections) reset(connection);
  }

  /** Ends all open connections as the server does after a whole response. */
  endConnections(): void {
    this.#disturbedMs = Date.now();
    for (const { client, server } of this.#connections) {
      client.end();
      server.destroy();
    }
  }

  /** Stops accepting connections and closes the open ones. */
  close(): void {
    this.#disturbedMs = Date.now();
    this.#server.close();
    for (const { client, server } of this.#connections) {
      client.destroy();
      server.destroy();
    }
  }

  #accept(client: Socket): void {
    const source = client.remoteAddress ?? "";
    const sourceCut = this.#sourceCuts.get(source);
    const isRefused = sourceCut === "reset" || sourceCut === "refuse-new";
    if (this.#fault.kind === "reset" || isRefused) {
      client.resetAndDestroy();
      return;
    }
    const { ip, port } = splitAddress(this.#target);
    const localIp = this.#localIp;
    const server = connect({
      host: ip,
      port,
      ...(localIp !== undefined && { localAddress: localIp }),
    });
    const connection: ProxiedConnection = {
      source,
      client,
      server,
      isDiscarding: this.#fault.kind === "silence" || sourceCut === "silent",
      hidesEnd: false,
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
    const isHidden = (): boolean => connection.hidesEnd && !isResponse;
    from.on("data", (bytes) => {
      const fault = this.#fault;
      const isOneWay = fault.kind === "silence" && fault.isOneWay;
      if (connection.isDiscarding && (isResponse || !isOneWay)) return;
      writer.write(bytes, fault.kind === "delay" ? fault.delayMs : 0);
    });
    from.on("error", () => {
      if (!isHidden()) to.resetAndDestroy();
    });
    from.on("end", () => {
      if (!connection.isDiscarding) writer.end();
    });
    from.on("close", () => {
      this.#connections.delete(connection);
      if (isHidden()) return;
      // TCP delivers no orderly end after bytes that were lost.
      if (connection.isDiscarding || from.errored) to.resetAndDestroy();
    });
  }
}

function reset({ client, server }: ProxiedConnection): void {
  client.resetAndDestroy();
  server.resetAndDestroy();
}

/** Writes data to a socket after a delay and preserves its order. */
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
