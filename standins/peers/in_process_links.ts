/**
 * In-process peer links for tests. Messages can be dropped in one direction.
 */

import type { Clock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import type { HostId } from "../../src/base/common/ids.ts";
import type {
  ChannelTraffic,
  PeerAddress,
  PeerChannel,
  PeerChannelSpec,
  PeerLinkChange,
  PeerLinks,
  PeerMessage,
  PeerProcess,
  PeerTraffic,
  SendResult,
} from "../../src/services/peers/common/peer_links.ts";

/** Delay of each message. */
const LINK_DELAY_MS = 1;

/** The links of all simulated hosts, by host. */
export class InProcessNetwork {
  readonly #hosts = new Map<HostId, InProcessPeerLinks>();
  readonly #cutDirections = new Set<string>();

  /** All connected hosts. */
  get hosts(): ReadonlyMap<HostId, InProcessPeerLinks> {
    return this.#hosts;
  }

  /** Adds a host, replacing an earlier one of the same name. */
  addHost(host: HostId, clock: Clock): InProcessPeerLinks {
    const links = new InProcessPeerLinks(this, host, clock);
    this.#hosts.get(host)?.dispose();
    this.#hosts.set(host, links);
    this.refreshLinks();
    return links;
  }

  /** Removes a host. */
  removeHost(host: HostId): void {
    this.#hosts.delete(host);
    this.refreshLinks();
  }

  /** Drops all messages from one host to another until `heal` is called. */
  cut(from: HostId, to: HostId): void {
    this.#cutDirections.add(`${from}>${to}`);
    this.refreshLinks();
  }

  /** Delivers all messages again. */
  heal(): void {
    this.#cutDirections.clear();
    this.refreshLinks();
  }

  /**
   * @returns The links of the receiver, or `undefined` if messages to it are
   * dropped.
   */
  findReceiver(from: HostId, to: HostId): InProcessPeerLinks | undefined {
    return this.#cutDirections.has(`${from}>${to}`)
      ? undefined
      : this.#hosts.get(to);
  }

  /** Recomputes which links are up on all hosts. */
  refreshLinks(): void {
    for (const links of this.#hosts.values()) links.refreshLinks();
  }
}

/** The links of one host. */
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
  readonly #incarnation: number;
  #messagesSent = 0;
  #messagesReceived = 0;
  /** Channels that the program of this host does not have. */
  missingChannels: ReadonlySet<string> = new Set();
  /** Messages received by channel, with their size as JSON. */
  readonly #channelTraffic = new Map<string, ChannelTraffic>();
  /** Channel whose messages are measured. */
  measuredChannel: string | undefined;

  /** {@inheritDoc PeerLinks.onDidChangeLink} */
  readonly onDidChangeLink = this.#didChangeLink.event;

  /**
   * @param network - The network with the other hosts.
   * @param host - This host.
   * @param clock - The clock of this host's process.
   */
  constructor(network: InProcessNetwork, host: HostId, clock: Clock) {
    this.#network = network;
    this.#host = host;
    this.#clock = clock;
    this.#incarnation = clock.nowMs();
  }

  /** The process of this host, as it introduces itself. */
  get process(): PeerProcess {
    const channels = [...this.#receivers.keys()].filter((channel) =>
      !this.missingChannels.has(channel)
    );
    return { incarnation: this.#incarnation, channels };
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
      hasWaiting: () => false,
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
      channels: this.#channelTraffic,
      waitingBytes: 0,
    };
  }

  /** Whether this host requests a link to another one. */
  requestsLinkTo(host: HostId): boolean {
    return this.#peers.some((peer) => peer.host === host);
  }

  /**
   * Recomputes which links are up: one side requests the link, and messages are
   * delivered in both directions.
   */
  refreshLinks(): void {
    for (const [host, other] of this.#network.hosts) {
      if (other === this) continue;
      const isRequested = this.requestsLinkTo(host) ||
        other.requestsLinkTo(this.#host);
      const isUp = isRequested &&
        this.#network.findReceiver(this.#host, host) === other &&
        this.#network.findReceiver(host, this.#host) === this;
      this.#setLinkUp(host, isUp, other);
    }
    for (const host of this.#connected) {
      if (!this.#network.hosts.has(host)) this.#setLinkUp(host, false);
    }
  }

  /** Delivers a message to its channel after the link delay. */
  deliver(from: HostId, channel: string, body: unknown): void {
    this.#clock.setTimer(LINK_DELAY_MS, () => {
      this.#messagesReceived++;
      if (channel === this.measuredChannel) this.#measure(channel, body);
      if (this.missingChannels.has(channel)) return;
      this.#receivers.get(channel)?.(from, body);
    });
  }

  #measure(channel: string, body: unknown): void {
    const known = this.#channelTraffic.get(channel);
    this.#channelTraffic.set(channel, {
      messagesSent: 0,
      bytesSent: 0,
      messagesReceived: (known?.messagesReceived ?? 0) + 1,
      bytesReceived: (known?.bytesReceived ?? 0) + JSON.stringify(body).length,
    });
  }

  /** Releases all listeners. */
  dispose(): void {
    this.#receivers.clear();
    this.#didChangeLink.dispose();
  }

  #setLinkUp(host: HostId, isUp: boolean, other?: InProcessPeerLinks): void {
    if (isUp === this.#connected.has(host)) return;
    if (isUp) this.#connected.add(host);
    else this.#connected.delete(host);
    this.#didChangeLink.fire({
      host,
      isUp,
      reason: isUp ? "opened" : "cut",
      ...(isUp && other && { peer: other.process }),
    });
  }

  #send(to: HostId, channel: string, body: unknown): SendResult {
    const target = this.#network.findReceiver(this.#host, to);
    if (!target || !this.#connected.has(to)) return "not-connected";
    if (this.missingChannels.has(channel)) return "queued";
    this.#messagesSent++;
    const copy = structuredClone(body);
    // Sending waits for the host's clock: a killed process sends nothing,
    // and a frozen one sends only after it is thawed.
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
