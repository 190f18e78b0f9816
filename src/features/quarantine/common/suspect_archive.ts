/** Keeps the records of quarantined requests in the store. */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import { recordSchema } from "./quarantine_messages.ts";
import { RecordArchive, type RecordArchiveServices } from "./record_archive.ts";
import type { SuspectRecord, SuspectTable } from "./suspect_table.ts";

/** Prefix of the keys of records. */
export const SUSPECT_KEY_PREFIX = "ragwort/quarantine/";

/** Dependencies of a {@link SuspectArchive}. */
export interface SuspectArchiveServices
  extends Omit<RecordArchiveServices<SuspectRecord>, "records"> {
  readonly table: SuspectTable;
}

/** Stores the records of one suspect table and reads those of other daemons. */
export class SuspectArchive implements Disposable {
  readonly #archive: RecordArchive<SuspectRecord>;

  /** @param services - Dependencies of the archive. */
  constructor({ table, ...services }: SuspectArchiveServices) {
    const { hasher } = services;
    this.#archive = new RecordArchive({
      ...services,
      records: {
        writers: "owner",
        keyPrefix: SUSPECT_KEY_PREFIX,
        subject: "quarantine",
        list: () =>
          table.listQuarantined().flatMap(
            ({ fingerprint, untilMs, workspace }) => {
              const record = table.get(workspace, fingerprint);
              return record ? [{ record, untilMs }] : [];
            },
          ),
        nameOf: ({ fingerprint, workspace }) =>
          `${hasher.hash64Hex(workspace)}-${fingerprint}`,
        parse: (value) => recordSchema.parse(value),
        merge: (record) => void table.merge(record),
        includes: (stored, record) =>
          stored.deaths.length >= record.deaths.length,
      },
    });
  }

  /** Stops reading and writing. */
  dispose(): void {
    this.#archive.dispose();
  }
}
