/**
 * Queue of member records that changed recently and still have to be
 * disseminated in heartbeats.
 */

import type { HostId } from "../../../base/common/ids.ts";

/** Number of heartbeats that carry each changed record. */
const TRANSMISSIONS_PER_RECORD = 2;
/** Largest number of changed records in one heartbeat. */
const MAX_RECORDS_PER_HEARTBEAT = 64;

/**
 * Selects the changed records for each heartbeat. Each record is included in a
 * fixed number of heartbeats, and the number of records in one heartbeat is
 * bounded.
 */
export class GossipQueue {
  readonly #transmissionsLeft = new Map<HostId, number>();

  /**
   * Queues a record for dissemination; a record that is queued already starts
   * over.
   *
   * @param host - The host whose record changed.
   */
  add(host: HostId): void {
    this.#transmissionsLeft.set(host, TRANSMISSIONS_PER_RECORD);
  }

  /** Returns the hosts whose records go into the next heartbeat. */
  nextBatch(): HostId[] {
    return [...this.#transmissionsLeft.keys()].slice(
      0,
      MAX_RECORDS_PER_HEARTBEAT,
    );
  }

  /**
   * Records that the current batch was sent to all peers, and drops the records
   * that have been sent often enough.
   */
  markBatchSent(): void {
    for (const host of this.nextBatch()) {
      const remaining = this.#transmissionsLeft.get(host)! - 1;
      if (remaining <= 0) this.#transmissionsLeft.delete(host);
      else this.#transmissionsLeft.set(host, remaining);
    }
  }
}
