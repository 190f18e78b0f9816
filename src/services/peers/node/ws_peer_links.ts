/**
 * Links to the other daemons over WebSockets, one for each pair of hosts. Both
 * sides of a pair may dial; if two links are opened at the same time, both
 * sides keep the same one.
 */

import { WebSocket } from "ws";
import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Address, HostId } from "../../../base/common/ids.ts";
import { DisposableStore } from "../../../base/common/lifecycle.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import { attempt } from "../../../base/common/result.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { ServerErrorListener } from "../../http/common/port_opener.ts";
import { LogGate } from "../../log/common/log_gate.ts";
import type { LogFields, Logger } from "../../log/common/logger.ts";
import {
  encodeFrame,
  KEEPALIVE_CHANNEL,
  MAX_FRAME_BYTES,
  type PeerFrame,
} from "../common/peer_frame.ts";
import type { PeerIdentity } from "../common/peer_handshake.ts";
import type {
  PeerAddress,
  PeerChannel,
  PeerChannelSpec,
  PeerLinkChange,
  PeerLinkObserver,
  PeerLinks,
  PeerMessage,
  PeerTarget,
  PeerTraffic,
  SendRefusal,
  SendResult,
} from "../common/peer_links.ts";
import { WaitingBytes } from "../common/peer_send_queue.ts";
import { TrafficCounters } from "../common/traffic_counters.ts";
import { PeerLink } from "./peer_link.ts";
import { DialSchedule } from "./dial_schedule.ts";
import { PEER_LINK_PATH, PeerServer, type PeerTls } from "./peer_server.ts";

const TICK_MS = 500;
/** Time without a sent frame after which a keepalive is sent. */
const KEEPALIVE_IDLE_MS = 1_200;
/** Time without a received frame after which a link is closed. */
const RECEIVE_TIMEOUT_MS = 3_000;
/** A longer gap between two ticks means that this process did not run. */
const MAX_TICK_GAP_MS = 1_500;
/** Largest number of unauthenticated links; further connections are dropped. */
const MAX_PENDING_HANDSHAKES = 512;
/** Interval at which the same refusal or failure is logged again. */
const REPEATED_LINE_INTERVAL_MS = 1_000;
const KEEPALIVE_FRAME = encodeFrame(KEEPALIVE_CHANNEL, null);

/** Dependencies and settings of {@link WsPeerLinks}. */
export interface WsPeerLinksOptions extends PeerLinkObserver {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: PeerIdentity;
  /** Secret that all daemons share. */
  readonly secret: string;
  /** Seed of the random jitter of dial attempts. */
  readonly seed: number;
  readonly tls?: PeerTls | undefined;
  /**
   * Address from which links are opened, on a host that has several; the system
   * chooses one if absent.
   */
  readonly localIp?: string;
  /**
   * Returns the response body for `PEER_DISCOVERY_PATH`. A peer that starts
   * while the store is unavailable reads it to find the other daemons.
   */
  createDiscoveryResponse?(): string;
}

type FrameReceiver = (from: HostId, body: unknown) => string | undefined;

/**
 * Keeps links to the configured peers and accepts links from daemons that prove
 * knowledge of the shared secret.
 */
export class WsPeerLinks implements PeerLinks {
  readonly #options: WsPeerLinksOptions;
  readonly #disposables = new DisposableStore();
  readonly #didChangeLink = new Emitter<PeerLinkChange>();
  readonly #server: PeerServer;
  readonly #dialSchedule: DialSchedule;
  readonly #pendingLinks = new Set<PeerLink>();
  readonly #establishedLinks = new Map<HostId, PeerLink>();
  readonly #receivers = new Map<string, FrameReceiver>();
  readonly #trafficCounters = new TrafficCounters();
  readonly #totalWaiting = new WaitingBytes();
  readonly #logGate: LogGate;
  #lastTickMs: number;

  /** {@inheritDoc PeerLinks.onDidChangeLink} */
  readonly onDidChangeLink = this.#didChangeLink.event;

  /** @param options - The dependencies and settings of the links. */
  constructor(options: WsPeerLinksOptions) {
    const { clock, self, seed, tls } = options;
    this.#options = options;
    this.#lastTickMs = clock.monotonicMs();
    this.#logGate = new LogGate(clock, REPEATED_LINE_INTERVAL_MS);
    this.#dialSchedule = new DialSchedule(
      clock,
      new SeededRandom(seed),
      self.host,
    );
    this.#server = new PeerServer({
      tls,
      createDiscoveryResponse: options.createDiscoveryResponse?.bind(options),
      onSocket: (socket) => this.#accept(socket),
    });
    this.#disposables.add(runPeriodically(clock, TICK_MS, () => this.#tick()));
  }

  /**
   * Starts to accept links.
   *
   * @param address - The address to listen on; port 0 selects a free port.
   * @param onError - Called with each error while the server is listening; by
   * default they are logged.
   * @returns The address with the actual port.
   */
  listen(
    address: Address,
    onError: ServerErrorListener = (error) => this.#onServerError(error),
  ): Promise<Address> {
    return this.#server.listen(address, onError);
  }

  /** {@inheritDoc PeerLinks.connectedHosts} */
  connectedHosts(): readonly HostId[] {
    return [...this.#establishedLinks.keys()];
  }

  /** {@inheritDoc PeerLinks.setPeers} */
  setPeers(peers: readonly PeerTarget[]): void {
    this.#dialSchedule.setPeers(peers);
    this.#dialDuePeers();
  }

  /** {@inheritDoc PeerLinks.openChannel} */
  openChannel<T>(spec: PeerChannelSpec<T>): PeerChannel<T> {
    const didReceive = new Emitter<PeerMessage<T>>();
    if (this.#receivers.has(spec.name)) {
      throw new Error(`the channel ${spec.name} is already open`);
    }
    this.#receivers.set(
      spec.name,
      (from, body) =>
        spec.decode(body).caseOf<string | undefined>({
          Left: (error) => `malformed ${spec.name} message: ${error}`,
          Right: (value) => {
            didReceive.fire({ from, body: value });
            return undefined;
          },
        }),
    );
    const encode = (body: T): unknown => spec.encode?.(body) ?? body;
    return {
      onDidReceive: didReceive.event,
      send: (to, body) => this.#send(to, spec.name, encode(body)),
      multicast: (to, body) => this.#multicast(to, spec.name, encode(body)),
      broadcast: (body) =>
        this.#multicast(this.connectedHosts(), spec.name, encode(body)),
      hasWaiting: (to) =>
        this.#establishedLinks.get(to)?.hasWaiting(spec.name) === true,
      dispose: () => {
        this.#receivers.delete(spec.name);
        didReceive.dispose();
      },
    };
  }

  /** {@inheritDoc PeerLinks.traffic} */
  traffic(): PeerTraffic {
    return this.#trafficCounters.snapshot(this.#totalWaiting.bytes);
  }

  /** Closes all links and stops accepting new ones. */
  dispose(): void {
    this.#disposables.dispose();
    this.#didChangeLink.dispose();
    for (
      const link of [...this.#pendingLinks, ...this.#establishedLinks.values()]
    ) {
      link.dispose();
    }
    this.#server.dispose();
  }

  #send(to: HostId, channel: string, body: unknown): SendResult {
    const link = this.#establishedLinks.get(to);
    if (!link) return "not-connected";
    const bytes = this.#encode(channel, body);
    return bytes ? this.#sendBytes(link, channel, bytes) : "not-encodable";
  }

  #multicast(to: readonly HostId[], channel: string, body: unknown): void {
    const bytes = this.#encode(channel, body);
    if (!bytes) return;
    for (const host of to) {
      const link = this.#establishedLinks.get(host);
      if (link) this.#sendBytes(link, channel, bytes);
    }
  }

  #encode(channel: string, body: unknown): Uint8Array | undefined {
    return attempt(() => encodeFrame(channel, body), toErrorMessage)
      .caseOf<Uint8Array | undefined>({
        Left: (detail) => {
          this.#refuse(channel, "not-encodable", { detail });
          return undefined;
        },
        Right: (bytes) => bytes,
      });
  }

  #sendBytes(link: PeerLink, channel: string, bytes: Uint8Array): SendResult {
    const sizeBytes = bytes.byteLength;
    const result = link.send(channel, bytes);
    switch (result) {
      case "queued":
        this.#trafficCounters.countSent(channel, sizeBytes);
        break;
      case "not-connected":
        break;
      case "queue-full":
      case "too-large":
      case "not-encodable":
        this.#refuse(channel, result, { peer: link.host, sizeBytes });
    }
    return result;
  }

  #refuse(channel: string, reason: SendRefusal, details: LogFields): void {
    const { logger } = this.#options;
    this.#options.onMessageRefused?.(channel, reason);
    const suppressed = this.#logGate.pass(`${channel} ${reason}`);
    if (suppressed === undefined) return;
    const fields = { channel, reason, suppressed, ...details };
    logger.log("error", "peer-message-refused", fields);
  }

  #tick(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const wasPaused = nowMs - this.#lastTickMs > MAX_TICK_GAP_MS;
    this.#lastTickMs = nowMs;
    for (const link of [...this.#establishedLinks.values()]) {
      // After a pause of this process, received frames may not have been
      // read yet, so a missing frame says nothing about the peer.
      if (!wasPaused && nowMs - link.lastReceivedMs > RECEIVE_TIMEOUT_MS) {
        link.close("no frame received within the timeout");
      } else if (nowMs - link.lastSentMs >= KEEPALIVE_IDLE_MS) {
        this.#sendBytes(link, KEEPALIVE_CHANNEL, KEEPALIVE_FRAME);
      }
    }
    this.#dialDuePeers();
  }

  #dialDuePeers(): void {
    if (this.#disposables.isDisposed) return;
    const pendingHosts = new Set(
      [...this.#pendingLinks].map(({ host }) => host),
    );
    const due = this.#dialSchedule.takeDuePeers((host) =>
      this.#establishedLinks.has(host) || pendingHosts.has(host)
    );
    for (const peer of due) this.#dial(peer);
  }

  #dial({ host, address }: PeerAddress): void {
    const { localIp, tls } = this.#options;
    const scheme = tls ? "wss" : "ws";
    const socket = new WebSocket(`${scheme}://${address}${PEER_LINK_PATH}`, {
      ...tls?.clientOptions(host),
      ...(localIp !== undefined && { localAddress: localIp }),
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#startHandshake(socket, "dialer", host);
  }

  #accept(socket: WebSocket): void {
    if (this.#pendingLinks.size >= MAX_PENDING_HANDSHAKES) {
      socket.on("error", () => undefined);
      socket.terminate();
    } else this.#startHandshake(socket, "acceptor");
  }

  #startHandshake(
    socket: WebSocket,
    role: PeerLink["role"],
    host?: HostId,
  ): void {
    const { clock, self, secret } = this.#options;
    const link = new PeerLink(
      {
        clock,
        self,
        secret,
        channels: [...this.#receivers.keys()],
        totalWaiting: this.#totalWaiting,
        onUp: (opened) => this.#onLinkUp(opened),
        onFrame: (from, frame, size) => this.#onFrame(from, frame, size),
        onClosed: (closed, reason) => this.#onLinkClosed(closed, reason),
      },
      socket,
      role,
      host,
    );
    this.#pendingLinks.add(link);
  }

  #onLinkUp(link: PeerLink): void {
    this.#pendingLinks.delete(link);
    const peer = link.peer!;
    const { host } = peer;
    const current = this.#establishedLinks.get(host);
    if (current && !this.#shouldReplace(link, current)) {
      link.close("a link to this host exists already");
      return;
    }
    this.#establishedLinks.set(host, link);
    this.#dialSchedule.resetBackoff(host);
    if (current) current.close("replaced by a newer link");
    this.#didChangeLink.fire({ host, isUp: true, reason: "opened", peer });
  }

  /**
   * Determines which of two links to the same host is kept. Both sides of the
   * pair come to the same decision.
   */
  #shouldReplace(next: PeerLink, current: PeerLink): boolean {
    const nextIncarnation = next.peer!.incarnation;
    const currentIncarnation = current.peer!.incarnation;
    if (nextIncarnation !== currentIncarnation) {
      return nextIncarnation > currentIncarnation;
    }
    return next.role === current.role || this.#isDialedBySmallerName(next);
  }

  #isDialedBySmallerName(link: PeerLink): boolean {
    const isSelfSmaller = this.#options.self.host < link.peer!.host;
    return (link.role === "dialer") === isSelfSmaller;
  }

  #onFrame(link: PeerLink, frame: PeerFrame, sizeBytes: number): void {
    const { channel, body } = frame;
    if (channel === KEEPALIVE_CHANNEL) {
      this.#trafficCounters.countReceived(channel, sizeBytes);
      return;
    }
    const receive = this.#receivers.get(channel);
    if (!receive) {
      link.close("received a frame on a channel that is not open");
      return;
    }
    this.#trafficCounters.countReceived(channel, sizeBytes);
    const { host } = link.peer!;
    attempt(() => receive(host, body), toErrorMessage).caseOf({
      Left: (detail) => this.#recordFailure(channel, host, detail),
      Right: (decodeError) => {
        if (decodeError !== undefined) link.close(decodeError);
      },
    });
  }

  /** An error in the processing of one message must not end the process. */
  #recordFailure(channel: string, peer: HostId, detail: string): void {
    const { logger } = this.#options;
    this.#options.onMessageFailed?.(channel);
    const suppressed = this.#logGate.pass(`${channel} failed`);
    if (suppressed === undefined) return;
    const fields = { channel, peer, detail, suppressed };
    logger.log("error", "peer-message-failed", fields);
  }

  #onServerError(error: Error): void {
    const suppressed = this.#logGate.pass("server failed");
    if (suppressed === undefined) return;
    this.#options.logger.log("error", "port-failed", {
      purpose: "peers",
      detail: toErrorMessage(error),
      suppressed,
    });
  }

  #onLinkClosed(link: PeerLink, reason: string): void {
    const { host } = link;
    const wasPending = this.#pendingLinks.delete(link);
    const wasEstablished = host !== undefined &&
      this.#establishedLinks.get(host) === link;
    if (wasEstablished) this.#establishedLinks.delete(host);
    if (this.#disposables.isDisposed) return;
    if (link.isTransferring) this.#options.onTransferAborted?.();
    const hasFailedHandshake = wasPending &&
      (link.peer || link.role === "acceptor");
    if (wasEstablished || hasFailedHandshake) {
      this.#options.logger.log("warn", "peer-link-closed", {
        peer: host,
        step: wasEstablished ? "peers.link" : "peers.handshake",
        reason,
      });
    }
    this.#options.onLinkClosed?.();
    if (!wasEstablished) return;
    this.#dialSchedule.backOff(host);
    this.#didChangeLink.fire({ host, isUp: false, reason });
  }
}
