/**
 * Member records, which daemons exchange to describe each other, their
 * encoding, and the rule that decides which of two records takes precedence.
 */

import * as z from "zod";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";
import {
  listenAddressSchema,
  nameSchema,
} from "../../settings/common/shared_schemas.ts";

/**
 * Status on which all daemons converge. Suspicion is local to each daemon and
 * is not part of a record. `leaving` means that the daemon is draining, `gone`
 * that it was removed.
 */
export type RecordStatus = "alive" | "leaving" | "gone";

/** State of one daemon as it is disseminated to the others. */
export interface MemberRecord extends PeerAddress {
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
  /**
   * Increases with each change or refutation that the daemon itself announces.
   */
  readonly version: number;
  readonly status: RecordStatus;
}

const STATUSES: readonly RecordStatus[] = ["alive", "leaving", "gone"];

/** Encoded form of a record in peer messages. */
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
  // Of a host that does not listen yet, the port is 0.
  listenAddressSchema,
  z.number().nonnegative(),
  z.number().int().nonnegative(),
  z.number().int().min(0).max(STATUSES.length - 1),
]);

/**
 * Determines which of two records of a host takes precedence: the one with the
 * higher incarnation, then the higher version, then the later status.
 *
 * @param left - A record of a host.
 * @param right - Another record of the same host.
 * @returns Whether the left record supersedes the right one. Equal records do
 * not supersede each other.
 */
export function isNewer(left: MemberRecord, right: MemberRecord): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  if (left.version !== right.version) return left.version > right.version;
  return encodeStatus(left.status) > encodeStatus(right.status);
}

/** @returns The numeric code of a status in peer messages. */
export function encodeStatus(status: RecordStatus): number {
  return STATUSES.indexOf(status);
}

/**
 * @returns The status of a numeric code, or `undefined` for an unknown code.
 */
export function decodeStatus(code: unknown): RecordStatus | undefined {
  return typeof code === "number" ? STATUSES[code] : undefined;
}

/** @returns The encoded form of a record. */
export function encodeRecord(record: MemberRecord): RecordTuple {
  const { host, zone, address, incarnation, version, status } = record;
  return [host, zone, address, incarnation, version, encodeStatus(status)];
}

/**
 * @param value - A received record.
 * @returns The decoded record, or a description of why it is invalid.
 */
export function decodeRecord(value: unknown): Either<string, MemberRecord> {
  const parsed = tupleSchema.safeParse(value);
  if (!parsed.success) return Left("malformed member record");
  const [host, zone, address, incarnation, version, code] = parsed.data;
  const status = decodeStatus(code)!;
  return Right({ host, zone, address, incarnation, version, status });
}
