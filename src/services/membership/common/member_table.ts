/**
 * Table of the member records that a daemon holds. Merging the records of two
 * tables into each other yields the same records in both, in any order.
 */

import type { Hasher } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { encodeStatus, isNewer, type MemberRecord } from "./member_record.ts";

/**
 * Time for which the record of a removed host is kept, so that a stale record
 * does not bring the host back.
 */
const TOMBSTONE_RETENTION_MS = 600_000;

/**
 * Holds the newest record of each host. A digest of the present members is
 * updated with each change, so that two daemons can compare their tables
 * cheaply.
 */
export class MemberTable {
  readonly #hasher: Hasher;
  readonly #records = new Map<HostId, MemberRecord>();
  readonly #removedAtMs = new Map<HostId, number>();
  readonly #presentByZone = new Map<ZoneName, Map<HostId, MemberRecord>>();
  #digest = 0;

  /**
   * @param hasher - The hash function, which must be the same for all daemons.
   */
  constructor(hasher: Hasher) {
    this.#hasher = hasher;
  }

  /**
   * Digest of all present members. It is equal for two daemons that hold the
   * same present members.
   */
  get digest(): number {
    return this.#digest;
  }

  /** Number of members that have not been removed. */
  get presentCount(): number {
    let count = 0;
    for (const zone of this.#presentByZone.values()) count += zone.size;
    return count;
  }

  /** Zones with at least one member that has not been removed. */
  get zones(): readonly ZoneName[] {
    return [...this.#presentByZone.keys()];
  }

  /** @returns The record of a host, including that of a removed host. */
  get(host: HostId): MemberRecord | undefined {
    return this.#records.get(host);
  }

  /** Returns all records, including those of removed hosts. */
  records(): IterableIterator<MemberRecord> {
    return this.#records.values();
  }

  /** @returns The members of a zone that have not been removed. */
  presentInZone(zone: ZoneName): IterableIterator<MemberRecord> {
    return (this.#presentByZone.get(zone) ?? new Map<HostId, MemberRecord>())
      .values();
  }

  /**
   * Stores a record if it supersedes the stored record of the same host.
   *
   * @param record - The record.
   * @param nowMs - The current monotonic time in milliseconds, from which the
   * retention of a tombstone is measured.
   * @returns Whether the record was stored.
   */
  merge(record: MemberRecord, nowMs: number): boolean {
    const current = this.#records.get(record.host);
    if (current && !isNewer(record, current)) return false;
    if (current) this.#removeFromIndex(current);
    this.#records.set(record.host, record);
    if (record.status === "gone") this.#removedAtMs.set(record.host, nowMs);
    else this.#addToIndex(record);
    return true;
  }

  /**
   * Deletes the records of hosts that were removed more than
   * `TOMBSTONE_RETENTION_MS` ago.
   */
  purgeTombstones(nowMs: number): void {
    for (const [host, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs < TOMBSTONE_RETENTION_MS) return;
      this.#removedAtMs.delete(host);
      this.#records.delete(host);
    }
  }

  #addToIndex(record: MemberRecord): void {
    this.#digest = (this.#digest ^ this.#hashOf(record)) >>> 0;
    const zone = this.#presentByZone.get(record.zone) ?? new Map();
    zone.set(record.host, record);
    this.#presentByZone.set(record.zone, zone);
  }

  #removeFromIndex(record: MemberRecord): void {
    this.#removedAtMs.delete(record.host);
    if (record.status === "gone") return;
    this.#digest = (this.#digest ^ this.#hashOf(record)) >>> 0;
    const zone = this.#presentByZone.get(record.zone);
    zone?.delete(record.host);
    if (zone?.size === 0) this.#presentByZone.delete(record.zone);
  }

  #hashOf(record: MemberRecord): number {
    const { host, incarnation, version, status } = record;
    return this.#hasher.hash32(
      `${host}|${incarnation}|${version}|${encodeStatus(status)}`,
    );
  }
}
