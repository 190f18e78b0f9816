/**
 * Transfers of messages that are larger than one part. A transfer is a series
 * of consecutive part frames; the receiver acknowledges what has arrived, so
 * that only a few parts are on the way at any time and frames of other channels
 * pass between them.
 */

import { type Either, Left, Right } from "../../../base/common/result.ts";
import { encodeFrame } from "./peer_frame.ts";

/** Channel of part and acknowledgement frames. */
export const TRANSFER_CHANNEL = "transfer.v1";
/** Largest message; a receiver holds no more than this for one sender. */
export const MAX_MESSAGE_BYTES = 8_388_608;
/** Messages up to this size are sent as one frame; larger ones in parts. */
export const PART_BYTES = 32_768;

/** A frame on the transfer channel. */
export type TransferFrame =
  | {
    readonly kind: "part";
    readonly totalBytes: number;
    readonly offsetBytes: number;
    readonly bytes: Uint8Array;
  }
  /** Bytes of parts that were received since the link was established. */
  | { readonly kind: "acknowledgement"; readonly receivedBytes: number };

/**
 * @param message - The encoded message.
 * @param offsetBytes - Start of the part.
 * @returns The encoded frame with the part of the message from the offset on.
 */
export function encodePart(
  message: Uint8Array,
  offsetBytes: number,
): Uint8Array {
  const bytes = message.subarray(offsetBytes, offsetBytes + PART_BYTES);
  return encodeFrame(TRANSFER_CHANNEL, [
    message.byteLength,
    offsetBytes,
    bytes,
  ]);
}

/**
 * @param receivedBytes - Bytes of parts received since the link was
 * established.
 * @returns The encoded frame.
 */
export function encodeAcknowledgement(receivedBytes: number): Uint8Array {
  return encodeFrame(TRANSFER_CHANNEL, [receivedBytes]);
}

/**
 * @param body - The body of a frame on the transfer channel.
 * @returns The frame, or a description of why it is invalid.
 */
export function decodeTransferFrame(
  body: unknown,
): Either<string, TransferFrame> {
  if (!Array.isArray(body)) return Left("a transfer frame is not a list");
  const [first, offsetBytes, bytes] = body as readonly unknown[];
  if (!isByteCount(first)) return Left("a transfer frame has no byte count");
  if (body.length === 1) {
    return Right({ kind: "acknowledgement", receivedBytes: first });
  }
  if (!isByteCount(offsetBytes) || !(bytes instanceof Uint8Array)) {
    return Left("a transfer frame is no part and no acknowledgement");
  }
  return Right({ kind: "part", totalBytes: first, offsetBytes, bytes });
}

/** Joins the parts that one peer sends. */
export class TransferAssembler {
  #message: Uint8Array | undefined;
  #offsetBytes = 0;
  #receivedBytes = 0;

  /** Bytes of parts received since the link was established. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Whether a message has arrived in part. */
  get isIncomplete(): boolean {
    return this.#message !== undefined;
  }

  /**
   * Adds a part.
   *
   * @param part - The part.
   * @returns The message if it is complete, `undefined` if parts are missing,
   * or why the part is refused.
   */
  addPart(
    part: Extract<TransferFrame, { kind: "part" }>,
  ): Either<string, Uint8Array | undefined> {
    const { bytes, offsetBytes, totalBytes } = part;
    if (totalBytes > MAX_MESSAGE_BYTES) {
      return Left(`a message of ${totalBytes} bytes is too large`);
    }
    if (bytes.byteLength === 0 || offsetBytes !== this.#offsetBytes) {
      return Left("a part of a message is missing or out of order");
    }
    const message = this.#message ?? new Uint8Array(totalBytes);
    const endBytes = offsetBytes + bytes.byteLength;
    if (message.byteLength !== totalBytes || endBytes > totalBytes) {
      return Left("a part does not fit the message that it belongs to");
    }
    message.set(bytes, offsetBytes);
    this.#receivedBytes += bytes.byteLength;
    const isComplete = endBytes === totalBytes;
    this.#message = isComplete ? undefined : message;
    this.#offsetBytes = isComplete ? 0 : endBytes;
    return Right(isComplete ? message : undefined);
  }
}

function isByteCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
