/**
 * Decides in which order and at what pace messages go out on one link. Small
 * messages go out at once. Larger ones wait for each other and are sent in
 * parts, of which only a few are on the way at a time, so that a small message
 * is never far behind on a slow link. Messages of one channel keep their order.
 */

import { type Either, Left, Right } from "../../../base/common/result.ts";
import { MAX_FRAME_BYTES } from "./peer_frame.ts";
import type { SendResult } from "./peer_links.ts";
import { encodePart, MAX_MESSAGE_BYTES, PART_BYTES } from "./peer_transfer.ts";

/** Largest number of bytes of parts that are sent and not yet acknowledged. */
const MAX_UNACKNOWLEDGED_BYTES = 2 * PART_BYTES;
/** Largest number of bytes that may wait in the socket's send buffer. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Largest number of bytes that may wait for one link. */
const MAX_WAITING_BYTES = 2 * MAX_MESSAGE_BYTES;
/** Largest number of bytes that may wait for all links of a daemon. */
const MAX_TOTAL_WAITING_BYTES = 50_331_648;

/** Where the queue writes its frames. */
export interface FrameSink {
  /** Bytes that were written and not yet taken by the network. */
  readonly bufferedBytes: number;
  /** Writes a frame. */
  write(frame: Uint8Array): void;
}

/** Limits the bytes that wait for all links of a daemon together. */
export class WaitingBytes {
  #bytes = 0;

  /** Number of bytes that wait. */
  get bytes(): number {
    return this.#bytes;
  }

  /** @returns Whether the bytes were added, which the limit may forbid. */
  tryAdd(bytes: number): boolean {
    if (this.#bytes + bytes > MAX_TOTAL_WAITING_BYTES) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Removes bytes that were added. */
  remove(bytes: number): void {
    this.#bytes -= bytes;
  }
}

interface WaitingMessage {
  readonly channel: string;
  readonly bytes: Uint8Array;
}

/** The messages that wait to be sent on one link. */
export class PeerSendQueue {
  readonly #sink: FrameSink;
  readonly #acceptsParts: boolean;
  readonly #totalWaiting: WaitingBytes;
  readonly #messages: WaitingMessage[] = [];
  #waitingBytes = 0;
  /** Bytes of the first message that were sent already. */
  #offsetBytes = 0;
  #sentBytes = 0;
  #acknowledgedBytes = 0;

  /**
   * @param sink - Receives the frames.
   * @param acceptsParts - Whether the peer joins parts; one of an earlier
   * version does not.
   * @param totalWaiting - Limit of what waits for all links.
   */
  constructor(
    sink: FrameSink,
    acceptsParts: boolean,
    totalWaiting: WaitingBytes,
  ) {
    this.#sink = sink;
    this.#acceptsParts = acceptsParts;
    this.#totalWaiting = totalWaiting;
  }

  /** Whether a message has been sent in part. */
  get isSendingParts(): boolean {
    return this.#offsetBytes > 0;
  }

  /**
   * @param channel - The name of a channel.
   * @returns Whether messages of the channel wait to be sent.
   */
  hasWaiting(channel: string): boolean {
    return this.#messages.some((message) => message.channel === channel);
  }

  /**
   * Sends a message, or queues it behind others.
   *
   * @param channel - The channel of the message.
   * @param bytes - The encoded frame of the message.
   * @returns Whether the message will be sent, or why not.
   */
  add(channel: string, bytes: Uint8Array): SendResult {
    const sizeBytes = bytes.byteLength;
    const limitBytes = this.#acceptsParts ? MAX_MESSAGE_BYTES : MAX_FRAME_BYTES;
    if (sizeBytes > limitBytes) return "too-large";
    const isSentWhole = !this.#acceptsParts || sizeBytes <= PART_BYTES;
    if (isSentWhole && !this.hasWaiting(channel)) {
      if (this.#sink.bufferedBytes + sizeBytes > MAX_BUFFERED_BYTES) {
        return "queue-full";
      }
      this.#sink.write(bytes);
      return "queued";
    }
    if (
      this.#waitingBytes + sizeBytes > MAX_WAITING_BYTES ||
      !this.#totalWaiting.tryAdd(sizeBytes)
    ) return "queue-full";
    this.#waitingBytes += sizeBytes;
    this.#messages.push({ channel, bytes });
    this.#sendWaiting();
    return "queued";
  }

  /**
   * Records what the peer has received, and sends more.
   *
   * @param receivedBytes - Bytes of parts that the peer has received since the
   * link was established.
   * @returns Why the acknowledgement is refused, if it is.
   */
  acknowledge(receivedBytes: number): Either<string, void> {
    if (
      receivedBytes < this.#acknowledgedBytes || receivedBytes > this.#sentBytes
    ) return Left("the peer acknowledges parts that were not sent");
    this.#acknowledgedBytes = receivedBytes;
    this.#sendWaiting();
    return Right(undefined);
  }

  /** Discards what waits, after the link was closed. */
  clear(): void {
    this.#totalWaiting.remove(this.#waitingBytes);
    this.#waitingBytes = 0;
    this.#messages.length = 0;
    this.#offsetBytes = 0;
  }

  #sendWaiting(): void {
    for (;;) {
      const message = this.#messages[0];
      if (!message) return;
      const { bytes } = message;
      if (bytes.byteLength <= PART_BYTES) this.#sink.write(bytes);
      else if (!this.#sendParts(bytes)) return;
      this.#offsetBytes = 0;
      this.#messages.shift();
      this.#waitingBytes -= bytes.byteLength;
      this.#totalWaiting.remove(bytes.byteLength);
    }
  }

  /** @returns Whether all parts of the message were sent. */
  #sendParts(message: Uint8Array): boolean {
    while (this.#offsetBytes < message.byteLength) {
      const partBytes = Math.min(
        PART_BYTES,
        message.byteLength - this.#offsetBytes,
      );
      const unacknowledgedBytes = this.#sentBytes - this.#acknowledgedBytes;
      if (unacknowledgedBytes + partBytes > MAX_UNACKNOWLEDGED_BYTES) {
        return false;
      }
      this.#sink.write(encodePart(message, this.#offsetBytes));
      this.#offsetBytes += partBytes;
      this.#sentBytes += partBytes;
    }
    return true;
  }
}
