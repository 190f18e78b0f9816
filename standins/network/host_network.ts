/**
 * The network between one host and the endpoints. Cuts this host from some or
 * all of them, while other hosts reach them.
 */

import { Socket } from "node:net";
import type { Address } from "../../src/base/common/ids.ts";
import {
  createTcpConnector,
  type SocketConnector,
} from "../../src/services/http/node/socket_connector.ts";
import type { FaultProxy, SourceCut } from "./fault_proxy.ts";

/**
 * How a host is cut from an endpoint. With `hang`, no data passes on open
 * connections, and new ones are neither accepted nor refused.
 */
export type HostCut = "hang" | SourceCut;

/** Finds the proxy in front of the endpoint at an address. */
export type FindProxy = (address: Address) => FaultProxy | undefined;

/** Network of one host. */
export class HostNetwork {
  readonly #ip: string;
  readonly #findProxy: FindProxy;
  readonly #connect: SocketConnector;
  readonly #cuts = new Map<Address, HostCut>();

  /**
   * @param ip - Address from which the host opens connections.
   * @param findProxy - Finds the proxies that apply the cuts.
   */
  constructor(ip: string, findProxy: FindProxy) {
    this.#ip = ip;
    this.#findProxy = findProxy;
    this.#connect = createTcpConnector(ip);
  }

  /** Opens connections of the host. */
  readonly connector: SocketConnector = (address) =>
    this.#cuts.get(address) === "hang" ? new Socket() : this.#connect(address);

  /** Cuts the host from the endpoints at some addresses. */
  cut(addresses: readonly Address[], kind: HostCut): void {
    for (const address of addresses) {
      this.#cuts.set(address, kind);
      const sourceCut = kind === "hang" ? "silent" : kind;
      this.#findProxy(address)?.cutSource(this.#ip, sourceCut);
    }
  }

  /** Ends all cuts. Connections that went silent stay so. */
  heal(): void {
    for (const address of this.#cuts.keys()) {
      this.#findProxy(address)?.cutSource(this.#ip, undefined);
    }
    this.#cuts.clear();
  }
}
