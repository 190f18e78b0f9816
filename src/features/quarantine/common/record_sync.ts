/**
 * Shares the records of a table with the peers. Each change is sent on until no
 * peer learns anything new from it, and all records are sent over each new
 * link.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Event } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { runReporting } from "../../../base/common/rounds.ts";
import type { PeerLinks } from "../../../services/peers/common/peer_links.ts";

/** The records of one crash share a message. */
const BATCH_DELAY_MS = 5;

/** Selects the hosts to which changed records are sent. */
export interface RecordRelay {
  /**
   * @param isLocal - Whether the record was changed by this daemon itself, not
   * by a message of a peer.
   */
  targets(isLocal: boolean): readonly HostId[];
}

/** Table whose records can be merged in any order. */
export interface SyncedTable<R> {
  /** Fires with each record that has changed. */
  readonly onDidChangeRecord: Event<R>;
  /** @returns All records that have not expired. */
  records(): readonly R[];
  /** Merges a record received from another daemon. */
  merge(record: R): void;
  /** @returns The key under which newer states replace older ones. */
  keyOf(record: R): string;
}

/** Channel that carries records. */
export interface RecordChannel<R> {
  /** Fires with the records of each message. */
  readonly onDidReceiveRecords: Event<readonly R[]>;
  /** Maximum number of records per message. */
  readonly maxRecords: number;
  sendRecords(hosts: readonly HostId[], records: readonly R[]): void;
}

/** Dependencies of a {@link RecordSync}. */
export interface RecordSyncServices<R> {
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly channel: RecordChannel<R>;
  readonly table: SyncedTable<R>;
  readonly relay: RecordRelay;
}

/** Synchronizes one table. */
export class RecordSync<R> implements Disposable {
  readonly #services: RecordSyncServices<R>;
  readonly #disposables = new DisposableStore();
  readonly #localChanges = new Map<string, R>();
  readonly #peerChanges = new Map<string, R>();
  #isScheduled = false;
  #isApplyingPeerRecord = false;

  /** @param services - Dependencies of the synchronization. */
  constructor(services: RecordSyncServices<R>) {
    this.#services = services;
    const { channel, links, table } = services;
    this.#disposables.add(
      channel.onDidReceiveRecords((records) => this.#applyPeerRecords(records)),
    );
    this.#disposables.add(
      table.onDidChangeRecord((record) => this.#addChange(record)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#send([host], table.records());
    }));
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #applyPeerRecords(records: readonly R[]): void {
    this.#isApplyingPeerRecord = true;
    for (const record of records) {
      runReporting(() => this.#services.table.merge(record));
    }
    this.#isApplyingPeerRecord = false;
  }

  #addChange(record: R): void {
    const changes = this.#isApplyingPeerRecord
      ? this.#peerChanges
      : this.#localChanges;
    changes.set(this.#services.table.keyOf(record), record);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#services.clock.setTimer(BATCH_DELAY_MS, () => this.#flush());
  }

  #flush(): void {
    this.#isScheduled = false;
    const { relay } = this.#services;
    this.#send(relay.targets(true), [...this.#localChanges.values()]);
    this.#send(relay.targets(false), [...this.#peerChanges.values()]);
    this.#localChanges.clear();
    this.#peerChanges.clear();
  }

  #send(hosts: readonly HostId[], records: readonly R[]): void {
    const { channel } = this.#services;
    for (let start = 0; start < records.length; start += channel.maxRecords) {
      const page = records.slice(start, start + channel.maxRecords);
      channel.sendRecords(hosts, page);
    }
  }
}
