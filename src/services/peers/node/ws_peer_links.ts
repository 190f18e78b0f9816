/** Links to the other daemons over WebSockets, one for each pair of hosts. */

import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import {
  createServer as createHttpsServer,
  type ServerOptions,
} from "node:https";
import type { ConnectionOptions, Server as TlsServer } from "node:tls";
import { WebSocket, WebSocketServer } from "ws";
import { type Clock, setPeriodicTimer } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Address, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import type { Logger } from "../../log/common/logger.ts";
import { listenAt } from "../../http/node/listen.ts";
import {
  encodeFrame,
  KEEPALIVE_CHANNEL,
  MAX_FRAME_BYTES,
  type PeerFrame,
} from "../common/peer_frame.ts";
import type { PeerIdentity } from "../common/peer_hello.ts";
import type {
  PeerAddress,
  PeerChannel,
  PeerChannelSpec,
  PeerLinkChange,
  PeerLinks,
  PeerMessage,
  PeerTarget,
  PeerTraffic,
  SendResult,
} from "../common/peer_links.ts";
import { TrafficCounters } from "../common/traffic_counters.ts";
import { PeerLink } from "./peer_link.ts";
import { DialSchedule } from "./peer_dialer.ts";

const PATH = "/peers";
/** Path of the introduction. */
export const INTRODUCTION_PATH = "/hosts";
const TICK_MS = 500;
/** Pause in sending after which a keepalive follows. */
const KEEPALIVE_AFTER_MS = 1_200;
/** Silence of the other side after which a link is closed. */
const SILENCE_LIMIT_MS = 3_000;
/** A longer pause between two ticks means that this process did not run. */
const PAUSED_AFTER_MS = 1_500;
const MAX_UNPROVED_LINKS = 512;
const KEEPALIVE_FRAME = encodeFrame(KEEPALIVE_CHANNEL, null);

/** Certificates of the links, when they are encrypted. */
export interface PeerTls {
  /** @returns Options of the side that accepts. */
  serverOptions(): ServerOptions;
  /** @returns Options of the side that dials, which must reach this host. */
  clientOptions(host: HostId): ConnectionOptions;
  /** Keeps a server at the newest certificates. */
  follow(server: TlsServer): Disposable;
}

/** What the links are made from. */
export interface WsPeerLinksOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: PeerIdentity;
  /** Secret that all daemons share. */
  readonly secret: string;
  /** Seed of the jitter. */
  readonly seed: number;
  readonly tls?: PeerTls | undefined;
  /**
   * Text for whoever asks over HTTP who is there, such as a peer that starts
   * while the store is away.
   */
  introduce?(): string;
  /** Called when a link closes, for the metrics. */
  onLinkClosed?(): void;
}

type Receiver = (from: HostId, body: unknown) => string | undefined;

/** Keeps links to the peers, and accepts those of daemons that know the secret. */
export class WsPeerLinks implements PeerLinks {
  readonly #options: WsPeerLinksOptions;
  readonly #owned = new DisposableStore();
  readonly #didChangeLink = new Emitter<PeerLinkChange>();
  readonly #http: HttpServer;
  readonly #accepting: WebSocketServer;
  readonly #schedule: DialSchedule;
  readonly #unproved = new Set<PeerLink>();
  readonly #links = new Map<HostId, PeerLink>();
  readonly #receivers = new Map<string, Receiver>();
  readonly #counters = new TrafficCounters();
  #lastTickMs: number;

  /** {@inheritDoc PeerLinks.onDidChangeLink} */
  readonly onDidChangeLink = this.#didChangeLink.event;

  /** @param options - What the links are made from. */
  constructor(options: WsPeerLinksOptions) {
    const { clock, self, seed, tls } = options;
    this.#options = options;
    this.#lastTickMs = clock.monotonicMs();
    this.#schedule = new DialSchedule(clock, new SeededRandom(seed), self.host);
    this.#http = tls ? this.#createTlsServer(tls) : createHttpServer();
    this.#http.on("request", (request: IncomingMessage, response) => {
      this.#introduce(request, response as ServerResponse);
    });
    this.#accepting = new WebSocketServer({
      server: this.#http,
      path: PATH,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#accepting.on("connection", (socket) => this.#accept(socket));
    this.#accepting.on("error", () => undefined);
    this.#owned.add(setPeriodicTimer(clock, TICK_MS, () => this.#tick()));
  }

  /**
   * Starts to accept links.
   *
   * @param address - Where to listen; port 0 takes a free one.
   * @returns The address with its port.
   */
  listen(address: Address): Promise<Address> {
    return listenAt(this.#http, address);
  }

  /** {@inheritDoc PeerLinks.connectedHosts} */
  connectedHosts(): readonly HostId[] {
    return [...this.#links.keys()];
  }

  /** {@inheritDoc PeerLinks.setPeers} */
  setPeers(peers: readonly PeerTarget[]): void {
    this.#schedule.setPeers(peers);
    this.#dialDue();
  }

  /** {@inheritDoc PeerLinks.openChannel} */
  openChannel<T>(spec: PeerChannelSpec<T>): PeerChannel<T> {
    const received = new Emitter<PeerMessage<T>>();
    if (this.#receivers.has(spec.name)) {
      throw new Error(`the channel ${spec.name} is open already`);
    }
    this.#receivers.set(
      spec.name,
      (from, body) =>
        spec.decode(body).caseOf<string | undefined>({
          Left: (mistake) => `malformed ${spec.name} message: ${mistake}`,
          Right: (value) => {
            received.fire({ from, body: value });
            return undefined;
          },
        }),
    );
    const encode = (body: T): unknown => spec.encode?.(body) ?? body;
    return {
      onDidReceive: received.event,
      send: (to, body) => this.#send(to, spec.name, encode(body)),
      multicast: (to, body) => this.#multicast(to, spec.name, encode(body)),
      broadcast: (body) =>
        this.#multicast(this.connectedHosts(), spec.name, encode(body)),
      dispose: () => {
        this.#receivers.delete(spec.name);
        received.dispose();
      },
    };
  }

  /** {@inheritDoc PeerLinks.traffic} */
  traffic(): PeerTraffic {
    return this.#counters.snapshot();
  }

  /** Closes all links and stops accepting. */
  dispose(): void {
    this.#owned.dispose();
    this.#didChangeLink.dispose();
    for (const link of [...this.#unproved, ...this.#links.values()]) {
      link.dispose();
    }
    this.#accepting.close();
    this.#http.close();
    this.#http.closeAllConnections();
  }

  #send(to: HostId, channel: string, body: unknown): SendResult {
    const link = this.#links.get(to);
    if (!link) return "not-connected";
    return this.#sendBytes(link, channel, encodeFrame(channel, body));
  }

  #multicast(to: readonly HostId[], channel: string, body: unknown): void {
    const bytes = encodeFrame(channel, body);
    for (const host of to) {
      const link = this.#links.get(host);
      if (link) this.#sendBytes(link, channel, bytes);
    }
  }

  #sendBytes(link: PeerLink, channel: string, bytes: Uint8Array): SendResult {
    if (bytes.byteLength > MAX_FRAME_BYTES) {
      throw new RangeError(`a ${channel} message is larger than a frame`);
    }
    const result = link.send(channel, bytes);
    if (result === "queued") {
      this.#counters.countSent(channel, bytes.byteLength);
    }
    return result;
  }

  #tick(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const wasPaused = nowMs - this.#lastTickMs > PAUSED_AFTER_MS;
    this.#lastTickMs = nowMs;
    for (const link of [...this.#links.values()]) {
      // After a pause of this process, unread frames may still wait here.
      if (!wasPaused && nowMs - link.lastReceivedMs > SILENCE_LIMIT_MS) {
        link.close("the other side went silent");
      } else if (nowMs - link.lastSentMs >= KEEPALIVE_AFTER_MS) {
        this.#sendBytes(link, KEEPALIVE_CHANNEL, KEEPALIVE_FRAME);
      }
    }
    this.#dialDue();
  }

  #dialDue(): void {
    if (this.#owned.isDisposed) return;
    const dialled = new Set([...this.#unproved].map(({ host }) => host));
    const due = this.#schedule.takeDue((host) =>
      this.#links.has(host) || dialled.has(host)
    );
    for (const peer of due) this.#dial(peer);
  }

  #introduce(request: IncomingMessage, response: ServerResponse): void {
    const text = this.#options.introduce?.();
    const isKnown = text !== undefined && request.url === INTRODUCTION_PATH;
    response.writeHead(isKnown ? 200 : 404, { connection: "close" });
    response.end(isKnown ? text : undefined);
  }

  #createTlsServer(tls: PeerTls): HttpServer {
    const server = createHttpsServer(tls.serverOptions());
    this.#owned.add(tls.follow(server));
    return server;
  }

  #dial({ host, address }: PeerAddress): void {
    const { tls } = this.#options;
    const scheme = tls ? "wss" : "ws";
    const socket = new WebSocket(`${scheme}://${address}${PATH}`, {
      ...tls?.clientOptions(host),
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#open(socket, "dialer", host);
  }

  #accept(socket: WebSocket): void {
    if (this.#unproved.size >= MAX_UNPROVED_LINKS) socket.terminate();
    else this.#open(socket, "acceptor");
  }

  #open(socket: WebSocket, role: PeerLink["role"], host?: HostId): void {
    const { clock, self, secret } = this.#options;
    const link = new PeerLink(
      {
        clock,
        self,
        secret,
        channels: [...this.#receivers.keys()],
        onUp: (opened) => this.#onUp(opened),
        onFrame: (from, frame, size) => this.#onFrame(from, frame, size),
        onClosed: (closed, reason) => this.#onClosed(closed, reason),
      },
      socket,
      role,
      host,
    );
    this.#unproved.add(link);
  }

  #onUp(link: PeerLink): void {
    this.#unproved.delete(link);
    const { host } = link.peer!;
    const current = this.#links.get(host);
    if (current && !this.#replaces(link, current)) {
      link.close("there is a link to this host already");
      return;
    }
    this.#links.set(host, link);
    this.#schedule.reset(host);
    if (current) current.close("a newer link took its place");
    this.#didChangeLink.fire({ host, isUp: true, reason: "opened" });
  }

  /** Both sides come to the same decision about two links of one pair. */
  #replaces(next: PeerLink, current: PeerLink): boolean {
    const nextIncarnation = next.peer!.incarnation;
    const currentIncarnation = current.peer!.incarnation;
    if (nextIncarnation !== currentIncarnation) {
      return nextIncarnation > currentIncarnation;
    }
    return next.role === current.role || this.#isDialledBySmaller(next);
  }

  #isDialledBySmaller(link: PeerLink): boolean {
    const isSelfSmaller = this.#options.self.host < link.peer!.host;
    return (link.role === "dialer") === isSelfSmaller;
  }

  #onFrame(link: PeerLink, frame: PeerFrame, sizeBytes: number): void {
    const { channel, body } = frame;
    if (channel === KEEPALIVE_CHANNEL) {
      this.#counters.countReceived(channel, sizeBytes);
      return;
    }
    const receive = this.#receivers.get(channel);
    if (!receive) {
      link.close("a frame of a channel that is not open here");
      return;
    }
    this.#counters.countReceived(channel, sizeBytes);
    const mistake = receive(link.peer!.host, body);
    if (mistake !== undefined) link.close(mistake);
  }

  #onClosed(link: PeerLink, reason: string): void {
    const { host } = link;
    const wasUnproved = this.#unproved.delete(link);
    const isCurrent = host !== undefined && this.#links.get(host) === link;
    if (isCurrent) this.#links.delete(host);
    if (this.#owned.isDisposed) return;
    const isForeign = wasUnproved && (link.peer || link.role === "acceptor");
    if (isCurrent || isForeign) {
      this.#options.logger.log("warn", "peer-link-closed", {
        peer: host,
        step: isCurrent ? "peers.link" : "peers.handshake",
        reason,
      });
    }
    this.#options.onLinkClosed?.();
    if (!isCurrent) return;
    this.#schedule.postpone(host);
    this.#didChangeLink.fire({ host, isUp: false, reason });
  }
}
