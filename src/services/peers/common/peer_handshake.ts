/** The handshake of a link: who is there, and the proof of the shared secret. */

import * as z from "zod";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import { nameSchema } from "../../settings/common/shared_schemas.ts";
import { decodeFrame } from "./peer_frame.ts";

/** Version of the handshake and of the frames; both sides must have the same. */
export const PEER_PROTOCOL_VERSION = 1;

/** Channel of the first frame of each side. */
export const HELLO_CHANNEL = "hello";
/** Channel of the proofs. */
export const PROOF_CHANNEL = "proof";

const MAX_TEXT_CHARACTERS = 128;
const MAX_CHANNELS = 64;

/** Who opened a link. */
export type LinkRole = "dialer" | "acceptor";

/** A daemon at one start of its process. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly incarnation: number;
}

/** First frame of each side. */
export interface Hello extends PeerIdentity {
  readonly version: number;
  /** Random text that the other side's proof has to cover. */
  readonly nonce: string;
  /** Channels that are open at this side; no other one is used towards it. */
  readonly channels: readonly string[];
}

/** What a proof covers. */
export interface ProofInput {
  /** Role of the side that proves. */
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
 * @param bytes - First frame of the other side.
 * @returns Its hello, or what is wrong with it.
 */
export function decodeHello(bytes: Uint8Array): Either<string, Hello> {
  return decodeFrameBody(bytes, HELLO_CHANNEL, helloSchema).chain((hello) =>
    hello.version === PEER_PROTOCOL_VERSION
      ? Right(hello)
      : Left(`protocol version ${hello.version}`)
  );
}

/**
 * @param bytes - Second frame of the other side.
 * @returns Its message authentication code, or what is wrong with it.
 */
export function decodeProof(bytes: Uint8Array): Either<string, string> {
  return decodeFrameBody(bytes, PROOF_CHANNEL, proofSchema).map(({ mac }) =>
    mac
  );
}

/**
 * @param content - What a proof covers.
 * @returns The text to sign; different contents give different texts.
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
    if (frame.channel !== channel) return Left(`no ${channel} frame`);
    const parsed = schema.safeParse(frame.body);
    return parsed.success
      ? Right(parsed.data)
      : Left(`the ${channel} frame is malformed`);
  });
}
