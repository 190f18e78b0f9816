/** One link over a WebSocket: handshake, then frames. */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { RawData, WebSocket } from "ws";
import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type { Either } from "../../../base/common/result.ts";
import {
  decodeFrame,
  encodeFrame,
  KEEPALIVE_CHANNEL,
  type PeerFrame,
} from "../common/peer_frame.ts";
import {
  decodeHello,
  decodeProof,
  type Hello,
  HELLO_CHANNEL,
  type LinkRole,
  PEER_PROTOCOL_VERSION,
  type PeerIdentity,
  PROOF_CHANNEL,
  proofPayload,
} from "../common/peer_handshake.ts";
import type { SendResult } from "../common/peer_links.ts";

const HANDSHAKE_TIMEOUT_MS = 3_000;
const MAX_QUEUED_BYTES = 1_048_576;
const NONCE_BYTES = 18;

/** What a link works with. */
export interface PeerLinkServices {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly secret: string;
  /** Channels that are open at this side. */
  readonly channels: readonly string[];
  /** Called once both sides have proved the secret. */
  onUp(link: PeerLink): void;
  /** Called for each frame after that. */
  onFrame(link: PeerLink, frame: PeerFrame, sizeBytes: number): void;
  /** Called at most once; nothing follows. */
  onClosed(link: PeerLink, reason: string): void;
}

/** A link, from its socket's opening to its close. */
export class PeerLink implements Disposable {
  readonly role: LinkRole;
  readonly #services: PeerLinkServices;
  readonly #socket: WebSocket;
  readonly #ownHello: Hello;
  readonly #expectedHost: HostId | undefined;
  #peerHello: Hello | undefined;
  #peerChannels: ReadonlySet<string> = new Set();
  #state: "opening" | "proving" | "up" | "closed" = "opening";
  #handshakeTimer: Disposable = NOOP_DISPOSABLE;
  #lastReceivedMs: number;
  #lastSentMs: number;

  /**
   * @param services - Where the link reports to.
   * @param socket - Its socket, open or opening.
   * @param role - Which side this is.
   * @param expectedHost - The host that must answer, when this side dials.
   */
  constructor(
    services: PeerLinkServices,
    socket: WebSocket,
    role: LinkRole,
    expectedHost?: HostId,
  ) {
    const { clock, self, channels } = services;
    this.#services = services;
    this.#socket = socket;
    this.role = role;
    this.#expectedHost = expectedHost;
    this.#lastReceivedMs = clock.monotonicMs();
    this.#lastSentMs = this.#lastReceivedMs;
    this.#ownHello = {
      host: self.host,
      zone: self.zone,
      incarnation: self.incarnation,
      version: PEER_PROTOCOL_VERSION,
      channels,
      nonce: randomBytes(NONCE_BYTES).toString("base64url"),
    };
    this.#handshakeTimer = clock.setTimer(
      HANDSHAKE_TIMEOUT_MS,
      () => this.close("the handshake took too long"),
    );
    socket.on("message", (data, isBinary) => this.#receive(data, isBinary));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", (code) => this.close(`closed with code ${code}`));
    if (role === "dialer") socket.on("open", () => this.#sendHello());
  }

  /** The other side; known once its hello came. */
  get peer(): PeerIdentity | undefined {
    return this.#peerHello;
  }

  /** Host that was dialled or has said hello. */
  get host(): HostId | undefined {
    return this.#peerHello?.host ?? this.#expectedHost;
  }

  /** Whether both sides have proved the secret. */
  get isUp(): boolean {
    return this.#state === "up";
  }

  /** Monotonic time of the last frame from the other side. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /** Monotonic time of the last frame to the other side. */
  get lastSentMs(): number {
    return this.#lastSentMs;
  }

  /**
   * @param channel - Name of the frame's channel.
   * @param bytes - The encoded frame.
   */
  send(channel: string, bytes: Uint8Array): SendResult {
    if (this.#state !== "up" || !this.#peerChannels.has(channel)) {
      return "not-connected";
    }
    if (this.#socket.bufferedAmount + bytes.byteLength > MAX_QUEUED_BYTES) {
      return "queue-full";
    }
    this.#sendFrame(bytes);
    return "queued";
  }

  /**
   * Closes the link.
   *
   * @param reason - Why, for the log.
   */
  close(reason: string): void {
    if (this.#state === "closed") return;
    this.#state = "closed";
    this.#handshakeTimer.dispose();
    this.#socket.terminate();
    this.#services.onClosed(this, reason);
  }

  /** Closes the link. */
  dispose(): void {
    this.close("stopped");
  }

  #receive(data: RawData, isBinary: boolean): void {
    if (!isBinary || !(data instanceof Buffer)) {
      this.close("a frame is not binary");
      return;
    }
    this.#lastReceivedMs = this.#services.clock.monotonicMs();
    switch (this.#state) {
      case "opening":
        this.#handleDecoded(
          decodeHello(data),
          (hello) => this.#acceptHello(hello),
        );
        return;
      case "proving":
        this.#handleDecoded(decodeProof(data), (mac) => this.#acceptProof(mac));
        return;
      case "up":
        this.#handleDecoded(
          decodeFrame(data),
          (frame) => this.#services.onFrame(this, frame, data.byteLength),
        );
        return;
      case "closed":
        return;
    }
  }

  #handleDecoded<T>(
    decoded: Either<string, T>,
    handle: (value: T) => void,
  ): void {
    decoded.caseOf({
      Left: (error) => this.close(error),
      Right: handle,
    });
  }

  #acceptHello(hello: Hello): void {
    this.#peerHello = hello;
    if (hello.host === this.#ownHello.host) {
      this.close("the other side has this host's name");
      return;
    }
    const expected = this.#expectedHost;
    if (expected !== undefined && hello.host !== expected) {
      this.close(`${hello.host} answered in place of ${expected}`);
      return;
    }
    this.#peerChannels = new Set([KEEPALIVE_CHANNEL, ...hello.channels]);
    this.#state = "proving";
    if (this.role === "acceptor") this.#sendHello();
    const mac = this.#computeMac(this.role);
    this.#sendFrame(encodeFrame(PROOF_CHANNEL, { mac }));
  }

  #acceptProof(mac: string): void {
    const peerRole = this.role === "dialer" ? "acceptor" : "dialer";
    const expectedMac = Buffer.from(this.#computeMac(peerRole));
    const receivedMac = Buffer.from(mac);
    const isValid = receivedMac.byteLength === expectedMac.byteLength &&
      timingSafeEqual(receivedMac, expectedMac);
    if (!isValid) {
      this.close("the peer secret is another one");
      return;
    }
    this.#handshakeTimer.dispose();
    this.#state = "up";
    this.#services.onUp(this);
  }

  #computeMac(role: LinkRole): string {
    const peer = this.#peerHello!;
    const isDialer = this.role === "dialer";
    const payload = proofPayload({
      role,
      dialer: isDialer ? this.#ownHello : peer,
      acceptor: isDialer ? peer : this.#ownHello,
    });
    return createHmac("sha256", this.#services.secret).update(payload)
      .digest("base64url");
  }

  #sendHello(): void {
    this.#sendFrame(encodeFrame(HELLO_CHANNEL, this.#ownHello));
  }

  #sendFrame(bytes: Uint8Array): void {
    this.#lastSentMs = this.#services.clock.monotonicMs();
    this.#socket.send(bytes, () => undefined);
  }
}
