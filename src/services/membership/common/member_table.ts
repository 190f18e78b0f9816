/** All records that a daemon holds; joining two tables gives the same on both. */

import type { Hasher } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { encodeStatus, isNewer, type MemberRecord } from "./member_record.ts";

const TOMBSTONE_RETENTION_MS = 600_000;

/** Newest record of each host, with a digest that costs nothing to read. */
export class MemberTable {
  readonly #hasher: Hasher;
  readonly #records = new Map<HostId, MemberRecord>();
  readonly #removedAtMs = new Map<HostId, number>();
  readonly #presentByZone = new Map<ZoneName, Map<HostId, MemberRecord>>();
  #digest = 0;

  /** @param hasher - Hash that all daemons use. */
  constructor(hasher: Hasher) {
    this.#hasher = hasher;
  }

  /** Equal at two daemons that hold the same present members. */
  get digest(): number {
    return this.#digest;
  }

  /** Number of members that are not gone. */
  get presentCount(): number {
    let count = 0;
    for (const zone of this.#presentByZone.values()) count += zone.size;
    return count;
  }

  /** Zones with a member that is not gone. */
  get zones(): readonly ZoneName[] {
    return [...this.#presentByZone.keys()];
  }

  /** @returns The record of a host, gone ones included. */
  get(host: HostId): MemberRecord | undefined {
    return this.#records.get(host);
  }

  /** All records, gone ones included. */
  records(): IterableIterator<MemberRecord> {
    return this.#records.values();
  }

  /** @returns The members of a zone that are not gone. */
  presentInZone(zone: ZoneName): IterableIterator<MemberRecord> {
    return (this.#presentByZone.get(zone) ?? new Map<HostId, MemberRecord>())
      .values();
  }

  /**
   * Takes a record when it is newer than the one that is held.
   *
   * @param record - The record.
   * @param nowMs - Monotonic time, for the age of a tombstone.
   * @returns Whether it was newer.
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

  /** Forgets hosts that have been gone for long. */
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
