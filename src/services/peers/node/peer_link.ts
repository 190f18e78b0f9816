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
  proofText,
} from "../common/peer_hello.ts";
import type { SendResult } from "../common/peer_links.ts";

const HANDSHAKE_LIMIT_MS = 3_000;
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
  readonly #hello: Hello;
  readonly #expectedHost: HostId | undefined;
  #peer: Hello | undefined;
  #channels: ReadonlySet<string> = new Set();
  #state: "opening" | "proving" | "up" | "closed" = "opening";
  #limit: Disposable = NOOP_DISPOSABLE;
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
    this.#hello = {
      host: self.host,
      zone: self.zone,
      incarnation: self.incarnation,
      version: PEER_PROTOCOL_VERSION,
      channels,
      nonce: randomBytes(NONCE_BYTES).toString("base64url"),
    };
    this.#limit = clock.setTimer(
      HANDSHAKE_LIMIT_MS,
      () => this.close("the handshake took too long"),
    );
    socket.on("message", (data, isBinary) => this.#receive(data, isBinary));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", (code) => this.close(`closed with code ${code}`));
    if (role === "dialer") socket.on("open", () => this.#sendHello());
  }

  /** The other side; known once its hello came. */
  get peer(): PeerIdentity | undefined {
    return this.#peer;
  }

  /** Host that was dialled or has said hello. */
  get host(): HostId | undefined {
    return this.#peer?.host ?? this.#expectedHost;
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
    if (this.#state !== "up" || !this.#channels.has(channel)) {
      return "not-connected";
    }
    if (this.#socket.bufferedAmount + bytes.byteLength > MAX_QUEUED_BYTES) {
      return "queue-full";
    }
    this.#write(bytes);
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
    this.#limit.dispose();
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
        this.#check(decodeHello(data), (hello) => this.#acceptHello(hello));
        return;
      case "proving":
        this.#check(decodeProof(data), (mac) => this.#acceptProof(mac));
        return;
      case "up":
        this.#check(
          decodeFrame(data),
          (frame) => this.#services.onFrame(this, frame, data.byteLength),
        );
        return;
      case "closed":
        return;
    }
  }

  #check<T>(decoded: Either<string, T>, accept: (value: T) => void): void {
    decoded.caseOf({
      Left: (mistake) => this.close(mistake),
      Right: accept,
    });
  }

  #acceptHello(hello: Hello): void {
    this.#peer = hello;
    if (hello.host === this.#hello.host) {
      this.close("the other side has this host's name");
      return;
    }
    const expected = this.#expectedHost;
    if (expected !== undefined && hello.host !== expected) {
      this.close(`${hello.host} answered in place of ${expected}`);
      return;
    }
    this.#channels = new Set([KEEPALIVE_CHANNEL, ...hello.channels]);
    this.#state = "proving";
    if (this.role === "acceptor") this.#sendHello();
    const mac = this.#macOf(this.role);
    this.#write(encodeFrame(PROOF_CHANNEL, { mac }));
  }

  #acceptProof(mac: string): void {
    const otherRole = this.role === "dialer" ? "acceptor" : "dialer";
    const expected = Buffer.from(this.#macOf(otherRole));
    const given = Buffer.from(mac);
    const isProved = given.byteLength === expected.byteLength &&
      timingSafeEqual(given, expected);
    if (!isProved) {
      this.close("the peer secret is another one");
      return;
    }
    this.#limit.dispose();
    this.#state = "up";
    this.#services.onUp(this);
  }

  #macOf(role: LinkRole): string {
    const peer = this.#peer!;
    const isDialer = this.role === "dialer";
    const text = proofText({
      role,
      dialer: isDialer ? this.#hello : peer,
      acceptor: isDialer ? peer : this.#hello,
    });
    return createHmac("sha256", this.#services.secret).update(text)
      .digest("base64url");
  }

  #sendHello(): void {
    this.#write(encodeFrame(HELLO_CHANNEL, this.#hello));
  }

  #write(bytes: Uint8Array): void {
    this.#lastSentMs = this.#services.clock.monotonicMs();
    this.#socket.send(bytes, () => undefined);
  }
}
