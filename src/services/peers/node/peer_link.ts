/**
 * One link to a peer over a WebSocket: the handshake, in which both sides prove
 * knowledge of the shared secret, followed by frames in both directions.
 */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { RawData, WebSocket } from "ws";
import type { Clock } from "../../../base/common/clock.ts";
import { onUnexpectedError } from "../../../base/common/errors.ts";
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
import { PeerSendQueue, type WaitingBytes } from "../common/peer_send_queue.ts";
import {
  decodeTransferFrame,
  encodeAcknowledgement,
  TRANSFER_CHANNEL,
  TransferAssembler,
  type TransferFrame,
} from "../common/peer_transfer.ts";

/** Time within which the handshake has to complete. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
/** Size of the random nonce in a hello frame. */
const NONCE_BYTES = 18;

/** Settings of a link and the callbacks to its owner. */
export interface PeerLinkServices {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly secret: string;
  /** Names of the channels that are open on this daemon. */
  readonly channels: readonly string[];
  /** Limit of what waits for all links. */
  readonly totalWaiting: WaitingBytes;
  /** Called once both sides have proved knowledge of the secret. */
  onUp(link: PeerLink): void;
  /** Called for each frame after the handshake. */
  onFrame(link: PeerLink, frame: PeerFrame, sizeBytes: number): void;
  /** Called at most once, as the last callback. */
  onClosed(link: PeerLink, reason: string): void;
}

/** A link to a peer from the opening of its socket until it is closed. */
export class PeerLink implements Disposable {
  readonly role: LinkRole;
  readonly #services: PeerLinkServices;
  readonly #socket: WebSocket;
  readonly #ownHello: Hello;
  readonly #expectedHost: HostId | undefined;
  #peerHello: Hello | undefined;
  #peerChannels: ReadonlySet<string> = new Set();
  #sendQueue: PeerSendQueue | undefined;
  readonly #assembler = new TransferAssembler();
  #state: "opening" | "proving" | "up" | "closed" = "opening";
  #handshakeTimer: Disposable = NOOP_DISPOSABLE;
  #lastReceivedMs: number;
  #lastSentMs: number;

  /**
   * @param services - The settings of the link and its callbacks.
   * @param socket - The WebSocket, which is open or being opened.
   * @param role - Whether this side dialed or accepted the connection.
   * @param expectedHost - The host that must answer, when this side dialed.
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
      channels: [...channels, TRANSFER_CHANNEL],
      nonce: randomBytes(NONCE_BYTES).toString("base64url"),
    };
    this.#handshakeTimer = clock.setTimer(
      HANDSHAKE_TIMEOUT_MS,
      () => this.close("the handshake timed out"),
    );
    // An error that leaves this listener would stop the receiver of the socket.
    socket.on("message", (data, isBinary) => {
      try {
        this.#receive(data, isBinary);
      } catch (thrown) {
        onUnexpectedError(thrown);
        this.close("the handling of a frame raised an unexpected error");
      }
    });
    socket.on("error", (error) => this.close(error.message));
    socket.on(
      "close",
      (code) => this.close(`the connection was closed with code ${code}`),
    );
    if (role === "dialer") socket.on("open", () => this.#sendHello());
  }

  /** The remote peer, once its hello frame was received. */
  get peer(): Hello | undefined {
    return this.#peerHello;
  }

  /** The host that was dialed or that identified itself in its hello frame. */
  get host(): HostId | undefined {
    return this.#peerHello?.host ?? this.#expectedHost;
  }

  /** Whether both sides have proved knowledge of the secret. */
  get isUp(): boolean {
    return this.#state === "up";
  }

  /** Monotonic time of the last frame received from the peer. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /** Monotonic time of the last frame sent to the peer. */
  get lastSentMs(): number {
    return this.#lastSentMs;
  }

  /** Whether a message was sent or received in part. */
  get isTransferring(): boolean {
    return this.#assembler.isIncomplete ||
      this.#sendQueue?.isSendingParts === true;
  }

  /**
   * Queues a message for sending.
   *
   * @param channel - The name of the message's channel.
   * @param bytes - The message, encoded as a frame.
   * @returns Whether the message was queued, or why it was not.
   */
  send(channel: string, bytes: Uint8Array): SendResult {
    if (this.#state !== "up" || !this.#peerChannels.has(channel)) {
      return "not-connected";
    }
    return this.#sendQueue!.add(channel, bytes);
  }

  /** Returns whether messages of a channel wait to be sent. */
  hasWaiting(channel: string): boolean {
    return this.#sendQueue?.hasWaiting(channel) === true;
  }

  /**
   * Closes the link.
   *
   * @param reason - The reason for the log.
   */
  close(reason: string): void {
    if (this.#state === "closed") return;
    this.#state = "closed";
    this.#handshakeTimer.dispose();
    this.#socket.terminate();
    this.#services.onClosed(this, reason);
    this.#sendQueue?.clear();
  }

  /** Closes the link. */
  dispose(): void {
    this.close("stopped");
  }

  #receive(data: RawData, isBinary: boolean): void {
    if (!isBinary || !(data instanceof Buffer)) {
      this.close("received a frame that is not binary");
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
          (frame) => this.#receiveFrame(frame, data.byteLength),
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

  #receiveFrame(frame: PeerFrame, sizeBytes: number): void {
    if (frame.channel !== TRANSFER_CHANNEL) {
      this.#services.onFrame(this, frame, sizeBytes);
      return;
    }
    this.#handleDecoded(
      decodeTransferFrame(frame.body),
      (transferFrame) => this.#receiveTransferFrame(transferFrame),
    );
  }

  #receiveTransferFrame(frame: TransferFrame): void {
    switch (frame.kind) {
      case "acknowledgement":
        this.#handleDecoded(
          this.#sendQueue!.acknowledge(frame.receivedBytes),
          () => undefined,
        );
        return;
      case "part":
        this.#handleDecoded(this.#assembler.addPart(frame), (message) => {
          this.#sendFrame(encodeAcknowledgement(this.#assembler.receivedBytes));
          if (message) this.#receiveMessage(message);
        });
    }
  }

  #receiveMessage(message: Uint8Array): void {
    this.#handleDecoded(
      decodeFrame(message),
      (frame) => this.#services.onFrame(this, frame, message.byteLength),
    );
  }

  #acceptHello(hello: Hello): void {
    this.#peerHello = hello;
    if (hello.host === this.#ownHello.host) {
      this.close("the peer uses the name of this host");
      return;
    }
    const expected = this.#expectedHost;
    if (expected !== undefined && hello.host !== expected) {
      this.close(`${hello.host} answered, but ${expected} was dialed`);
      return;
    }
    this.#peerChannels = new Set([KEEPALIVE_CHANNEL, ...hello.channels]);
    this.#sendQueue = this.#createSendQueue();
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
      this.close("the peer uses a different secret");
      return;
    }
    this.#handshakeTimer.dispose();
    this.#state = "up";
    this.#services.onUp(this);
  }

  #createSendQueue(): PeerSendQueue {
    const socket = this.#socket;
    return new PeerSendQueue(
      {
        get bufferedBytes() {
          return socket.bufferedAmount;
        },
        write: (frame) => this.#sendFrame(frame),
      },
      this.#peerChannels.has(TRANSFER_CHANNEL),
      this.#services.totalWaiting,
    );
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
