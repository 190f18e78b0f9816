/** All records that a daemon holds; joining two tables gives the same on both. */

import type { Hasher } from "../../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import { isNewer, type MemberRecord, statusCode } from "./member_record.ts";

const TOMBSTONE_KEPT_MS = 600_000;

/** Newest record of each host, with a digest that costs nothing to read. */
export class MemberTable {
  readonly #hasher: Hasher;
  readonly #records = new Map<HostId, MemberRecord>();
  readonly #goneAtMs = new Map<HostId, number>();
  readonly #present = new Map<ZoneName, Map<HostId, MemberRecord>>();
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
    for (const zone of this.#present.values()) count += zone.size;
    return count;
  }

  /** Zones with a member that is not gone. */
  get zones(): readonly ZoneName[] {
    return [...this.#present.keys()];
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
  presentIn(zone: ZoneName): IterableIterator<MemberRecord> {
    return (this.#present.get(zone) ?? new Map<HostId, MemberRecord>())
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
    const known = this.#records.get(record.host);
    if (known && !isNewer(record, known)) return false;
    if (known) this.#drop(known);
    this.#records.set(record.host, record);
    if (record.status === "gone") this.#goneAtMs.set(record.host, nowMs);
    else this.#add(record);
    return true;
  }

  /** Forgets hosts that have been gone for long. */
  purge(nowMs: number): void {
    for (const [host, goneAtMs] of this.#goneAtMs) {
      if (nowMs - goneAtMs < TOMBSTONE_KEPT_MS) return;
      this.#goneAtMs.delete(host);
      this.#records.delete(host);
    }
  }

  #add(record: MemberRecord): void {
    this.#digest = (this.#digest ^ this.#hashOf(record)) >>> 0;
    const zone = this.#present.get(record.zone) ?? new Map();
    zone.set(record.host, record);
    this.#present.set(record.zone, zone);
  }

  #drop(record: MemberRecord): void {
    this.#goneAtMs.delete(record.host);
    if (record.status === "gone") return;
    this.#digest = (this.#digest ^ this.#hashOf(record)) >>> 0;
    const zone = this.#present.get(record.zone);
    zone?.delete(record.host);
    if (zone?.size === 0) this.#present.delete(record.zone);
  }

  #hashOf(record: MemberRecord): number {
    const { host, incarnation, version, status } = record;
    return this.#hasher.hash32(
      `${host}|${incarnation}|${version}|${statusCode(status)}`,
    );
  }
}
