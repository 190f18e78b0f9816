/**
 * The links between one host, its peers and the store. Cuts the host from all or
 * some of them, while callers and endpoints still reach it.
 */

import type { Address } from "../../src/base/common/ids.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { FaultProxy, type ProxyFault } from "./fault_proxy.ts";

const SILENCE: ProxyFault = { kind: "silence", isOneWay: false };

/** Proxies in front of a host's link server and of the store as it sees it. */
export class HostPartition implements Disposable {
  /** Address from which the host connects. */
  readonly ip: string;
  readonly #peerProxy: FaultProxy;
  readonly #storeProxy: FaultProxy;
  /** Address at which the peers of the host reach it. */
  readonly peersAddress: Address;
  /** Address at which the host reaches the store. */
  readonly storeAddress: Address;

  private constructor(
    ip: string,
    peer: { readonly proxy: FaultProxy; readonly address: Address },
    store: { readonly proxy: FaultProxy; readonly address: Address },
  ) {
    this.ip = ip;
    this.#peerProxy = peer.proxy;
    this.#storeProxy = store.proxy;
    this.peersAddress = peer.address;
    this.storeAddress = store.address;
  }

  /**
   * @param ip - Address from which the host opens links.
   * @param peersAddress - Address at which it listens for its peers.
   * @param storeAddress - Address of the store.
   */
  static async create(
    ip: string,
    peersAddress: Address,
    storeAddress: Address,
  ): Promise<HostPartition> {
    const peer = new FaultProxy(peersAddress);
    const store = new FaultProxy(storeAddress, ip);
    return new HostPartition(
      ip,
      { proxy: peer, address: await peer.listen() },
      { proxy: store, address: await store.listen() },
    );
  }

  /** Proxy between the host and the store. */
  get storeProxy(): FaultProxy {
    return this.#storeProxy;
  }

  /** Cuts the host from the store; by default no data passes. */
  cutFromStore(fault: ProxyFault = SILENCE): void {
    this.#storeProxy.setFault(fault);
  }

  /** Ends the cut from the store. */
  rejoinStore(): void {
    this.#storeProxy.setFault({ kind: "none" });
    this.#storeProxy.resetConnections();
  }

  /** Cuts the links that its peers have opened to this host, silently. */
  cutLinksOfPeers(): void {
    this.#peerProxy.setFault(SILENCE);
  }

  /** Lets the open links that its peers have opened carry nothing more. */
  silenceLinksOfPeers(): void {
    this.#peerProxy.silence();
  }

  /**
   * Ends the cut of the links that peers open. All links that they have opened
   * end, so that they open others.
   */
  rejoinPeers(): void {
    this.#peerProxy.setFault({ kind: "none" });
    this.#peerProxy.resetConnections();
  }

  /** Cuts this host and another one from each other, silently. */
  cutFrom(other: HostPartition): void {
    this.#peerProxy.cutSource(other.ip, "silent");
    other.#peerProxy.cutSource(this.ip, "silent");
  }

  /** Ends the cut between this host and another one. */
  rejoin(other: HostPartition): void {
    this.#peerProxy.cutSource(other.ip, undefined);
    other.#peerProxy.cutSource(this.ip, undefined);
  }

  /** Ends the links between this host and another one. */
  endLinks(other: HostPartition): void {
    this.#peerProxy.cutSource(other.ip, "reset");
    other.#peerProxy.cutSource(this.ip, "reset");
    this.rejoin(other);
  }

  /** Closes all connections. */
  dispose(): void {
    this.#peerProxy.close();
    this.#storeProxy.close();
  }
}
