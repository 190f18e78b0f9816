/**
 * Frames of the link handshake. Both sides exchange hello frames with their
 * identity and then prove knowledge of the shared secret.
 */

import * as z from "zod";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import { nameSchema } from "../../settings/common/shared_schemas.ts";
import { decodeFrame } from "./peer_frame.ts";

/**
 * Version of the handshake and of the frame format, which must be equal on both
 * sides.
 */
export const PEER_PROTOCOL_VERSION = 1;

/** Channel of the first frame that each side sends. */
export const HELLO_CHANNEL = "hello";
/** Channel of the frames that prove knowledge of the secret. */
export const PROOF_CHANNEL = "proof";

const MAX_TEXT_CHARACTERS = 128;
const MAX_CHANNELS = 64;

/**
 * The side of a link: `dialer` opened the connection, `acceptor` accepted it.
 */
export type LinkRole = "dialer" | "acceptor";

/** Identity of a daemon process. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly incarnation: number;
}

/** First frame that each side sends. */
export interface Hello extends PeerIdentity {
  readonly version: number;
  /**
   * Random text that the proof of the peer has to cover, which prevents
   * replays.
   */
  readonly nonce: string;
  /**
   * Channels that are open on the sender. The peer sends frames on no other
   * channel.
   */
  readonly channels: readonly string[];
}

/** Values that are covered by a proof. */
export interface ProofInput {
  /** Role of the side that creates the proof. */
  readonly role: LinkRole;
  readonly dialer: Hello;
  readonly acceptor: Hello;
}

const helloSchema = z.strictObject({
  version: z.number().int(),
  host: nameSchema.transform((text) => text as HostId),
  zone: nameSchema.transform((text) => text as ZoneName),
  incarnation: z.number().nonnegative(),
  nonce: z.string().min(16).max(MAX_TEXT_CHARACTERS),
  channels: z.array(z.string().max(MAX_TEXT_CHARACTERS)).max(MAX_CHANNELS),
});

const proofSchema = z.strictObject({
  mac: z.string().min(1).max(MAX_TEXT_CHARACTERS),
});

/**
 * @param bytes - The first frame received from the peer.
 * @returns The hello of the peer, or a description of why the frame is invalid.
 */
export function decodeHello(bytes: Uint8Array): Either<string, Hello> {
  return decodeFrameBody(bytes, HELLO_CHANNEL, helloSchema).chain((hello) =>
    hello.version === PEER_PROTOCOL_VERSION
      ? Right(hello)
      : Left(`unsupported protocol version ${hello.version}`)
  );
}

/**
 * @param bytes - The second frame received from the peer.
 * @returns The message authentication code, or a description of why the frame
 * is invalid.
 */
export function decodeProof(bytes: Uint8Array): Either<string, string> {
  return decodeFrameBody(bytes, PROOF_CHANNEL, proofSchema).map(({ mac }) =>
    mac
  );
}

/**
 * @param input - The values to cover.
 * @returns The text to authenticate. Different values yield different texts.
 */
export function proofPayload({ role, dialer, acceptor }: ProofInput): string {
  return JSON.stringify([
    "ragwort-peer",
    role,
    signedFields(dialer),
    signedFields(acceptor),
  ]);
}

function signedFields(hello: Hello): readonly unknown[] {
  const { version, host, zone, incarnation, nonce, channels } = hello;
  return [version, host, zone, incarnation, nonce, channels];
}

function decodeFrameBody<T>(
  bytes: Uint8Array,
  channel: string,
  schema: z.ZodType<T>,
): Either<string, T> {
  return decodeFrame(bytes).chain((frame) => {
    if (frame.channel !== channel) return Left(`expected a ${channel} frame`);
    const parsed = schema.safeParse(frame.body);
    return parsed.success
      ? Right(parsed.data)
      : Left(`malformed ${channel} frame`);
  });
}
