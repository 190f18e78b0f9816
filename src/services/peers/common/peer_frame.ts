/**
 * Frames on a peer link. A frame consists of a channel name and a message body,
 * encoded in MessagePack.
 */

import { Packr } from "msgpackr";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  attempt,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";

/** Largest frame that a link accepts, in bytes. */
export const MAX_FRAME_BYTES = 262_144;

/**
 * Channel of frames that carry nothing but the evidence that the sender is
 * alive.
 */
export const KEEPALIVE_CHANNEL = "";

const MAX_CHANNEL_CHARACTERS = 64;

const codec = new Packr({ useRecords: false, moreTypes: false });

/** A decoded frame whose body has not been validated yet. */
export interface PeerFrame {
  readonly channel: string;
  readonly body: unknown;
}

/**
 * @param channel - The name of the channel.
 * @param body - The message body.
 * @returns The encoded frame.
 */
export function encodeFrame(channel: string, body: unknown): Uint8Array {
  return codec.pack([channel, body]);
}

/**
 * @param bytes - A received frame.
 * @returns The decoded frame, or a description of why it is invalid.
 */
export function decodeFrame(bytes: Uint8Array): Either<string, PeerFrame> {
  return attempt<string, unknown>(
    () => codec.unpack(bytes),
    (thrown) => `the frame is not valid MessagePack: ${toErrorMessage(thrown)}`,
  ).chain((value) => {
    if (!Array.isArray(value) || value.length !== 2) {
      return Left("the frame is not a pair of channel and body");
    }
    const [channel, body] = value as [unknown, unknown];
    if (typeof channel !== "string") return Left("the channel is not a string");
    if (channel.length > MAX_CHANNEL_CHARACTERS) {
      return Left("the channel name is too long");
    }
    return Right({ channel, body });
  });
}
