/** Messages between daemons about who is there. */

import type { HostId } from "../../../base/common/ids.ts";
import { asId } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../peers/common/peer_links.ts";
import {
  decodeRecord,
  decodeStatus,
  encodeRecord,
  encodeStatus,
  type MemberRecord,
  type RecordStatus,
  type RecordTuple,
} from "./member_record.ts";

const MAX_RECORDS_PER_MESSAGE = 1_024;

/** A message about members. */
export type MembershipMessage =
  /** The sender lives; sent to every linked host once a second. */
  | {
    readonly kind: "heartbeat";
    readonly incarnation: number;
    readonly version: number;
    readonly status: RecordStatus;
    /** Digest of all records that the sender holds. */
    readonly digest: number;
    /** Records that are new to the sender. */
    readonly updates: readonly MemberRecord[];
  }
  /** All records of the sender, or those that the other side lacked. */
  | {
    readonly kind: "sync";
    readonly isReply: boolean;
    readonly records: readonly MemberRecord[];
  }
  /** Asks whether the other side hears a host. */
  | { readonly kind: "probe"; readonly host: HostId }
  /** Says that the sender hears a host. */
  | { readonly kind: "vouch"; readonly host: HostId };

const KIND_CODES = { heartbeat: 0, sync: 1, probe: 2, probeAck: 3 } as const;

/** A message as it is sent. */
export type MembershipTuple =
  | readonly [
    kind: 0,
    incarnation: number,
    version: number,
    status: number,
    digest: number,
    news: readonly RecordTuple[],
  ]
  | readonly [kind: 1, isReply: boolean, records: readonly RecordTuple[]]
  | readonly [kind: 2, host: string]
  | readonly [kind: 3, host: string];

/** @returns The message as it is sent. */
export function encodeMembershipMessage(
  message: MembershipMessage,
): MembershipTuple {
  switch (message.kind) {
    case "heartbeat":
      return [
        KIND_CODES.heartbeat,
        message.incarnation,
        message.version,
        encodeStatus(message.status),
        message.digest,
        message.updates.map(encodeRecord),
      ];
    case "sync":
      return [
        KIND_CODES.sync,
        message.isReply,
        message.records.map(encodeRecord),
      ];
    case "probe":
      return [KIND_CODES.probe, message.host];
    case "vouch":
      return [KIND_CODES.probeAck, message.host];
  }
}

/** The channel; bodies are sent as tuples and received as messages. */
export const MEMBERSHIP_CHANNEL: PeerChannelSpec<MembershipMessage> = {
  name: "members.v1",
  encode: encodeMembershipMessage,
  decode: decodeMembershipMessage,
};

function decodeMembershipMessage(
  body: unknown,
): Either<string, MembershipMessage> {
  if (!Array.isArray(body)) return Left("not a list");
  const fields = body as readonly unknown[];
  switch (fields[0]) {
    case KIND_CODES.heartbeat:
      return decodeHeartbeat(fields);
    case KIND_CODES.sync:
      return decodeRecords(fields[2]).map((records) => ({
        kind: "sync",
        isReply: fields[1] === true,
        records,
      }));
    case KIND_CODES.probe:
      return decodeHost(fields[1]).map((host) => ({ kind: "probe", host }));
    case KIND_CODES.probeAck:
      return decodeHost(fields[1]).map((host) => ({ kind: "vouch", host }));
    default:
      return Left("unknown kind");
  }
}

function decodeHeartbeat(
  fields: readonly unknown[],
): Either<string, MembershipMessage> {
  const [, incarnation, version, statusCode, digest, news] = fields;
  const status = decodeStatus(statusCode);
  const isValid = typeof incarnation === "number" && status !== undefined &&
    typeof version === "number" && typeof digest === "number";
  if (!isValid) return Left("the heartbeat is malformed");
  return decodeRecords(news).map((records) => ({
    kind: "heartbeat",
    incarnation,
    version,
    status,
    digest,
    news: records,
  }));
}

function decodeRecords(
  value: unknown,
): Either<string, readonly MemberRecord[]> {
  if (!Array.isArray(value) || value.length > MAX_RECORDS_PER_MESSAGE) {
    return Left("not a list of records");
  }
  const records: MemberRecord[] = [];
  for (const item of value as readonly unknown[]) {
    const record = decodeRecord(item);
    if (record.isLeft()) return Left(record.extract() as string);
    record.ifRight((valid) => records.push(valid));
  }
  return Right(records);
}

function decodeHost(value: unknown): Either<string, HostId> {
  return typeof value === "string"
    ? Right(asId<HostId>(value))
    : Left("no host");
}
