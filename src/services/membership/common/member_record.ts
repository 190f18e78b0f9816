/** What daemons tell each other about a daemon, and which of two records counts. */

import * as z from "zod";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";
import {
  addressSchema,
  nameSchema,
} from "../../settings/common/shared_schemas.ts";

/** State that all daemons agree on in the end; suspicion stays local. */
export type RecordStatus = "alive" | "leaving" | "gone";

/** One daemon as rumours describe it. */
export interface MemberRecord extends PeerAddress {
  /** Grows with each start of the daemon. */
  readonly incarnation: number;
  /** Grows with each correction that the daemon itself makes. */
  readonly version: number;
  readonly status: RecordStatus;
}

const STATUSES: readonly RecordStatus[] = ["alive", "leaving", "gone"];

/** A record on the wire. */
export type RecordTuple = readonly [
  host: string,
  zone: string,
  address: string,
  incarnation: number,
  version: number,
  status: number,
];

const tupleSchema = z.tuple([
  nameSchema.transform((text) => text as HostId),
  nameSchema.transform((text) => text as ZoneName),
  addressSchema,
  z.number().nonnegative(),
  z.number().int().nonnegative(),
  z.number().int().min(0).max(STATUSES.length - 1),
]);

/**
 * @param left - A record of a host.
 * @param right - Another record of the same host.
 * @returns Whether the left one counts more; equal records do not.
 */
export function isNewer(left: MemberRecord, right: MemberRecord): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  if (left.version !== right.version) return left.version > right.version;
  return encodeStatus(left.status) > encodeStatus(right.status);
}

/** @returns The status as a number on the wire. */
export function encodeStatus(status: RecordStatus): number {
  return STATUSES.indexOf(status);
}

/** @returns The status of a number, if there is one. */
export function decodeStatus(code: unknown): RecordStatus | undefined {
  return typeof code === "number" ? STATUSES[code] : undefined;
}

/** @returns The record on the wire. */
export function encodeRecord(record: MemberRecord): RecordTuple {
  const { host, zone, address, incarnation, version, status } = record;
  return [host, zone, address, incarnation, version, encodeStatus(status)];
}

/**
 * @param value - A received record.
 * @returns The record, or what is wrong with it.
 */
export function decodeRecord(value: unknown): Either<string, MemberRecord> {
  const parsed = tupleSchema.safeParse(value);
  if (!parsed.success) return Left("a member's record is malformed");
  const [host, zone, address, incarnation, version, code] = parsed.data;
  const status = decodeStatus(code)!;
  return Right({ host, zone, address, incarnation, version, status });
}
