/** Frames on a link: a channel's name and a body, in MessagePack. */

import { Packr } from "msgpackr";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  attempt,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";

/** Largest frame that a link takes, in bytes. */
export const MAX_FRAME_BYTES = 262_144;

/** Channel of frames that only show that the sender lives. */
export const KEEPALIVE_CHANNEL = "";

const MAX_CHANNEL_CHARACTERS = 64;

const codec = new Packr({ useRecords: false, moreTypes: false });

/** A decoded frame; its body has not been checked. */
export interface PeerFrame {
  readonly channel: string;
  readonly body: unknown;
}

/**
 * @param channel - Name of the channel.
 * @param body - The message.
 * @returns The frame's bytes.
 */
export function encodeFrame(channel: string, body: unknown): Uint8Array {
  return codec.pack([channel, body]);
}

/**
 * @param bytes - A received frame.
 * @returns The frame, or what is wrong with it.
 */
export function decodeFrame(bytes: Uint8Array): Either<string, PeerFrame> {
  return attempt<string, unknown>(
    () => codec.unpack(bytes),
    (thrown) => `not MessagePack: ${toErrorMessage(thrown)}`,
  ).chain((value) => {
    if (!Array.isArray(value) || value.length !== 2) {
      return Left("not a pair of channel and body");
    }
    const [channel, body] = value as [unknown, unknown];
    if (typeof channel !== "string") return Left("the channel is not a text");
    if (channel.length > MAX_CHANNEL_CHARACTERS) {
      return Left("the channel's name is too long");
    }
    return Right({ channel, body });
  });
}
