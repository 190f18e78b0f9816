/** Links between daemons of the same process; they can be cut one way. */

import type { Clock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import type { HostId } from "../../src/base/common/ids.ts";
import type {
  PeerAddress,
  PeerChannel,
  PeerChannelSpec,
  PeerLinkChange,
  PeerLinks,
  PeerMessage,
  PeerTraffic,
  SendResult,
} from "../../src/services/peers/common/peer_links.ts";

const LINK_DELAY_MS = 1;

/** All links of a process, by host. */
export class InProcessNetwork {
  readonly #hosts = new Map<HostId, InProcessPeerLinks>();
  readonly #cutDirections = new Set<string>();

  /** All hosts that are there. */
  get hosts(): ReadonlyMap<HostId, InProcessPeerLinks> {
    return this.#hosts;
  }

  /** Adds a host, in place of an earlier one of the same name. */
  addHost(host: HostId, clock: Clock): InProcessPeerLinks {
    const links = new InProcessPeerLinks(this, host, clock);
    this.#hosts.get(host)?.dispose();
    this.#hosts.set(host, links);
    this.refreshLinks();
    return links;
  }

  /** Drops a host. */
  removeHost(host: HostId): void {
    this.#hosts.delete(host);
    this.refreshLinks();
  }

  /** Drops all messages from one host to another. */
  cut(from: HostId, to: HostId): void {
    this.#cutDirections.add(`${from}>${to}`);
    this.refreshLinks();
  }

  /** Lets all messages through again. */
  heal(): void {
    this.#cutDirections.clear();
    this.refreshLinks();
  }

  /** @returns The receiver of a message, unless the way is cut. */
  findReceiver(from: HostId, to: HostId): InProcessPeerLinks | undefined {
    return this.#cutDirections.has(`${from}>${to}`)
      ? undefined
      : this.#hosts.get(to);
  }

  /** Recomputes which links are up. */
  refreshLinks(): void {
    for (const links of this.#hosts.values()) links.refreshLinks();
  }
}

/** Links of one host. */
export class InProcessPeerLinks implements PeerLinks {
  readonly #network: InProcessNetwork;
  readonly #host: HostId;
  readonly #clock: Clock;
  readonly #didChangeLink = new Emitter<PeerLinkChange>();
  readonly #receivers = new Map<
    string,
    (from: HostId, body: unknown) => void
  >();
  #peers: readonly PeerAddress[] = [];
  readonly #connected = new Set<HostId>();
  #messagesSent = 0;
  #messagesReceived = 0;

  /** {@inheritDoc PeerLinks.onDidChangeLink} */
  readonly onDidChangeLink = this.#didChangeLink.event;

  /**
   * @param network - The other hosts.
   * @param host - This host.
   * @param clock - Clock of this host's process.
   */
  constructor(network: InProcessNetwork, host: HostId, clock: Clock) {
    this.#network = network;
    this.#host = host;
    this.#clock = clock;
  }

  /** {@inheritDoc PeerLinks.connectedHosts} */
  connectedHosts(): readonly HostId[] {
    return [...this.#connected];
  }

  /** {@inheritDoc PeerLinks.setPeers} */
  setPeers(peers: readonly PeerAddress[]): void {
    this.#peers = peers;
    this.#network.refreshLinks();
  }

  /** {@inheritDoc PeerLinks.openChannel} */
  openChannel<T>(spec: PeerChannelSpec<T>): PeerChannel<T> {
    const didReceive = new Emitter<PeerMessage<T>>();
    this.#receivers.set(spec.name, (from, body) => {
      spec.decode(body).ifRight((value) =>
        didReceive.fire({ from, body: value })
      );
    });
    const send = (to: HostId, body: T): SendResult =>
      this.#send(to, spec.name, spec.encode?.(body) ?? body);
    return {
      onDidReceive: didReceive.event,
      send,
      multicast: (hosts, body) => {
        for (const to of hosts) send(to, body);
      },
      broadcast: (body) => {
        for (const to of this.#connected) send(to, body);
      },
      dispose: () => {
        this.#receivers.delete(spec.name);
        didReceive.dispose();
      },
    };
  }

  /** {@inheritDoc PeerLinks.traffic} */
  traffic(): PeerTraffic {
    return {
      messagesSent: this.#messagesSent,
      messagesReceived: this.#messagesReceived,
      bytesSent: 0,
      bytesReceived: 0,
      channels: new Map(),
    };
  }

  /** Whether this host wants a link to another one. */
  requestsLinkTo(host: HostId): boolean {
    return this.#peers.some((peer) => peer.host === host);
  }

  /** Recomputes which links are up: one side wants it, both ways are open. */
  refreshLinks(): void {
    for (const [host, other] of this.#network.hosts) {
      if (other === this) continue;
      const isRequested = this.requestsLinkTo(host) ||
        other.requestsLinkTo(this.#host);
      const isUp = isRequested &&
        this.#network.findReceiver(this.#host, host) === other &&
        this.#network.findReceiver(host, this.#host) === this;
      this.#setLinkUp(host, isUp);
    }
    for (const host of this.#connected) {
      if (!this.#network.hosts.has(host)) this.#setLinkUp(host, false);
    }
  }

  /** Hands a message to its channel after the link's delay. */
  deliver(from: HostId, channel: string, body: unknown): void {
    this.#clock.setTimer(LINK_DELAY_MS, () => {
      this.#messagesReceived++;
      this.#receivers.get(channel)?.(from, body);
    });
  }

  /** Releases the listeners. */
  dispose(): void {
    this.#receivers.clear();
    this.#didChangeLink.dispose();
  }

  #setLinkUp(host: HostId, isUp: boolean): void {
    if (isUp === this.#connected.has(host)) return;
    if (isUp) this.#connected.add(host);
    else this.#connected.delete(host);
    this.#didChangeLink.fire({ host, isUp, reason: isUp ? "opened" : "cut" });
  }

  #send(to: HostId, channel: string, body: unknown): SendResult {
    const target = this.#network.findReceiver(this.#host, to);
    if (!target || !this.#connected.has(to)) return "not-connected";
    this.#messagesSent++;
    const copy = structuredClone(body);
    // A killed process sends nothing, and a frozen one only when it is thawed.
    this.#clock.setTimer(0, () => {
      this.#network.findReceiver(this.#host, to)?.deliver(
        this.#host,
        channel,
        copy,
      );
    });
    return "queued";
  }
}
