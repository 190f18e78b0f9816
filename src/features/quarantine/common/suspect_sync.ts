/** Shares the records of a suspect table with the peers. */

import type { Clock } from "../../../base/common/clock.ts";
import { mapEvent } from "../../../base/common/event.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import {
  MAX_RECORDS_PER_MESSAGE,
  type QuarantineMessage,
} from "./quarantine_messages.ts";
import { type RecordRelay, RecordSync } from "./record_sync.ts";
import type { SuspectRecord, SuspectTable } from "./suspect_table.ts";

/** Dependencies of a {@link SuspectSync}. */
export interface SuspectSyncServices {
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly channel: PeerChannel<QuarantineMessage>;
  readonly table: SuspectTable;
  readonly relay: RecordRelay;
}

/** Synchronizes one suspect table. */
export class SuspectSync implements Disposable {
  readonly #sync: RecordSync<SuspectRecord>;

  /** @param services - Dependencies of the synchronization. */
  constructor({ channel, table, ...services }: SuspectSyncServices) {
    this.#sync = new RecordSync({
      ...services,
      channel: {
        onDidReceiveRecords: mapEvent(
          channel.onDidReceive,
          ({ body }) => body.kind === "records" ? body.records : [],
        ),
        maxRecords: MAX_RECORDS_PER_MESSAGE,
        sendRecords: (hosts, records) =>
          channel.multicast(hosts, { kind: "records", records }),
      },
      table: {
        onDidChangeRecord: mapEvent(table.onDidChange, ({ record }) => record),
        records: () => table.records(),
        merge: (record) => void table.merge(record),
        keyOf: ({ fingerprint, workspace }) => `${workspace} ${fingerprint}`,
      },
    });
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#sync.dispose();
  }
}
