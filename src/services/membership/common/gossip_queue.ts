/** Records that are new here and still have to be told. */

import type { HostId } from "../../../base/common/ids.ts";

const TRANSMISSIONS_PER_RECORD = 2;
const MAX_RECORDS_PER_HEARTBEAT = 64;

/** Each piece of news goes into a few heartbeats, a bounded number in each. */
export class GossipQueue {
  readonly #transmissionsLeft = new Map<HostId, number>();

  /** @param host - Host whose record is new. */
  add(host: HostId): void {
    this.#transmissionsLeft.set(host, TRANSMISSIONS_PER_RECORD);
  }

  /** Hosts whose records go into the next heartbeat. */
  nextBatch(): HostId[] {
    return [...this.#transmissionsLeft.keys()].slice(
      0,
      MAX_RECORDS_PER_HEARTBEAT,
    );
  }

  /** Takes note that the current news has been sent to all. */
  markBatchSent(): void {
    for (const host of this.nextBatch()) {
      const remaining = this.#transmissionsLeft.get(host)! - 1;
      if (remaining <= 0) this.#transmissionsLeft.delete(host);
      else this.#transmissionsLeft.set(host, remaining);
    }
  }
}
