/** Shares the records of parts of prompts with the peers and the store. */

import type { Clock } from "../../../base/common/clock.ts";
import { mapEvent } from "../../../base/common/event.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { PeerLinks } from "../../../services/peers/common/peer_links.ts";
import {
  MAX_PARTS_PER_MESSAGE,
  partRecordSchema,
  PROMPT_PART_CHANNEL,
} from "./prompt_part_messages.ts";
import type { PromptPartRecord, PromptPartTable } from "./prompt_part_table.ts";
import { RecordArchive, type RecordArchiveServices } from "./record_archive.ts";
import { type RecordRelay, RecordSync } from "./record_sync.ts";

/** Prefix of the keys of the records of accused parts. */
export const PROMPT_PART_KEY_PREFIX = "ragwort/prompt-parts/";

/** Dependencies of a {@link PromptPartSync}. */
export interface PromptPartSyncServices {
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly table: PromptPartTable;
  readonly relay: RecordRelay;
}

/** Synchronizes the parts of one daemon with those of its peers. */
export class PromptPartSync implements Disposable {
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the synchronization. */
  constructor({ clock, links, relay, table }: PromptPartSyncServices) {
    const channel = this.#disposables.add(
      links.openChannel(PROMPT_PART_CHANNEL),
    );
    this.#disposables.add(
      new RecordSync<PromptPartRecord>({
        clock,
        links,
        relay,
        channel: {
          onDidReceiveRecords: mapEvent(
            channel.onDidReceive,
            ({ body }) => body.records,
          ),
          maxRecords: MAX_PARTS_PER_MESSAGE,
          sendRecords: (hosts, records) =>
            channel.multicast(hosts, { records }),
        },
        table: {
          onDidChangeRecord: table.onDidChange,
          records: () => table.records(),
          merge: (record) => table.merge(record),
          keyOf: ({ part, service }) => `${service} ${part}`,
        },
      }),
    );
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }
}

/** Dependencies of the archive of accused parts. */
export interface PromptPartArchiveServices
  extends Omit<RecordArchiveServices<PromptPartRecord>, "records"> {
  readonly table: PromptPartTable;
}

/** @returns An archive of the parts that are refused, until it is disposed. */
export function createPromptPartArchive(
  { table, ...services }: PromptPartArchiveServices,
): RecordArchive<PromptPartRecord> {
  const { hasher } = services;
  return new RecordArchive({
    ...services,
    records: {
      writers: "owner",
      keyPrefix: PROMPT_PART_KEY_PREFIX,
      subject: "quarantine",
      list: () =>
        table.listQuarantined().flatMap(({ parts, service, untilMs }) =>
          parts.flatMap((part) => {
            const record = table.get(service, part);
            return record ? [{ record, untilMs }] : [];
          })
        ),
      nameOf: ({ part, service }) =>
        `${hasher.hash64Hex(service)}-${hasher.hash64Hex(part)}`,
      parse: (value) => partRecordSchema.parse(value),
      merge: (record) => table.merge(record),
      includes: (stored, record) =>
        stored.crashes.length >= record.crashes.length &&
        stored.accusedMs >= record.accusedMs,
    },
  });
}
