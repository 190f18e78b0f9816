/**
 * Synchronizes the load table with the peers. A leaf reports its rows to its
 * home hub. Hubs forward rows: those of their leaves to everyone, those of
 * other hubs to their leaves. Each row group carries a revision set at its
 * origin, which stops it from circulating.
 */

import { type Clock, runPeriodically } from "../../../../base/common/clock.ts";
import type { EndpointId, HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type { LoadTable } from "./load_table.ts";
import {
  LOAD_CHANNEL,
  type LoadMessage,
  UsageRowBatch,
  type UsageRowGroup,
} from "./load_message.ts";

/** Changes within a few milliseconds share one message to the hubs. */
const HUB_BATCH_DELAY_MS = 5;
/**
 * Changes share a message to the leaves for longer, as each message goes to all
 * of them; the prefill of a prompt takes about ten times as long.
 */
const LEAF_BATCH_DELAY_MS = 25;
/** A full table is sent this often, to repair lost messages. */
const FULL_TABLE_PERIOD_MS = 4_000;
/** A leaf that has missed two full tables counts as disconnected. */
const REPORT_LIFETIME_MS = 10_000;

/** Synchronizes one load table. */
export class LoadTableSync implements Disposable {
  readonly #self: HostId;
  readonly #clock: Clock;
  readonly #overlay: PeerOverlay;
  readonly #table: LoadTable;
  readonly #channel: PeerChannel<LoadMessage>;
  readonly #disposables = new DisposableStore();
  /** Endpoints whose local rows have changed since they were last sent. */
  readonly #changedEndpoints = new Set<EndpointId>();
  readonly #hubBatch: UsageRowBatch;
  readonly #leafBatch: UsageRowBatch;
  /**
   * Leaves that report to this daemon, with the monotonic time of their last
   * report.
   */
  readonly #leafReportMs = new Map<HostId, number>();
  /**
   * Hosts whose rows arrived in a report, with the monotonic time of the last
   * one.
   */
  readonly #reportedHostMs = new Map<HostId, number>();
  #revision = 0;
  #hadRows = false;

  /**
   * @param self - Id of this host.
   * @param clock - Clock for batches and periodic messages.
   * @param links - Links to the peers.
   * @param overlay - Determines which daemons relay updates.
   * @param loadTable - The load table.
   */
  constructor(
    self: HostId,
    clock: Clock,
    links: PeerLinks,
    overlay: PeerOverlay,
    loadTable: LoadTable,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#overlay = overlay;
    this.#table = loadTable;
    this.#hubBatch = new UsageRowBatch(
      clock,
      HUB_BATCH_DELAY_MS,
      () => this.#flushToHubs(),
    );
    this.#leafBatch = new UsageRowBatch(
      clock,
      LEAF_BATCH_DELAY_MS,
      () => this.#flushToLeaves(),
    );
    this.#channel = this.#disposables.add(links.openChannel(LOAD_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) =>
        this.#onMessage(from, body)
      ),
    );
    this.#disposables.add(loadTable.onDidChangeLocalUsage((endpoint) => {
      this.#changedEndpoints.add(endpoint);
      this.#hubBatch.schedule();
    }));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#sendInitialRows(host);
      else this.#leafReportMs.delete(host);
    }));
    this.#disposables.add(overlay.onDidChangeHomeHub(() => {
      const home = overlay.homeHub();
      if (home !== undefined) this.#sendReport(home);
    }));
    this.#disposables.add(
      runPeriodically(
        clock,
        FULL_TABLE_PERIOD_MS,
        () => this.#sendFullTable(),
      ),
    );
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onMessage(from: HostId, { isReport, groups }: LoadMessage): void {
    const nowMs = this.#clock.monotonicMs();
    if (isReport) {
      const isNewLeaf = !this.#leafReportMs.has(from);
      this.#leafReportMs.set(from, nowMs);
      if (isNewLeaf) {
        this.#channel.send(from, {
          isReport: false,
          groups: this.#allGroups(),
        });
      }
    }
    for (const group of groups) {
      if (group.host === this.#self) continue;
      const { host, revision, rows, isFull } = group;
      if (isReport) this.#reportedHostMs.set(host, nowMs);
      if (!this.#table.applyPeerRows(host, revision, rows, isFull)) continue;
      if (isReport) this.#hubBatch.add(group);
      if (this.#leafReportMs.size > 0) this.#leafBatch.add(group);
    }
  }

  /**
   * Sends the current rows to a hub, or a daemon that may become one, on a new
   * link.
   */
  #sendInitialRows(host: HostId): void {
    const home = this.#overlay.homeHub();
    if (host === home) this.#sendReport(home);
    else if (home === undefined) {
      this.#channel.send(host, {
        isReport: false,
        groups: this.#representedGroups(),
      });
    }
  }

  #sendReport(home: HostId): void {
    const groups = this.#representedGroups();
    this.#channel.send(home, { isReport: true, groups });
  }

  #flushToHubs(): void {
    const groups = [...this.#hubBatch.take(), ...this.#takeLocalChanges()];
    const home = this.#overlay.homeHub();
    if (home === undefined) {
      const hubs = this.#overlay.linkedHubs();
      this.#channel.multicast(hubs, { isReport: false, groups });
    } else this.#channel.send(home, { isReport: true, groups });
  }

  /**
   * @returns The local rows that have changed; they are also queued for the
   * leaves.
   */
  #takeLocalChanges(): readonly UsageRowGroup[] {
    if (this.#changedEndpoints.size === 0) return [];
    const rows = [...this.#changedEndpoints].map((id) =>
      this.#table.localRow(id)
    );
    this.#changedEndpoints.clear();
    const group = this.#localGroup(rows, false);
    if (this.#leafReportMs.size > 0) this.#leafBatch.add(group);
    return [group];
  }

  #flushToLeaves(): void {
    const groups = this.#leafBatch.take();
    const leaves = [...this.#leafReportMs.keys()];
    this.#channel.multicast(leaves, { isReport: false, groups });
  }

  #sendFullTable(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const times of [this.#leafReportMs, this.#reportedHostMs]) {
      for (const [host, receivedMs] of times) {
        if (nowMs - receivedMs > REPORT_LIFETIME_MS) times.delete(host);
      }
    }
    const rows = this.#table.localRows();
    const isLeaf = this.#overlay.homeHub() !== undefined;
    if (rows.length === 0 && !this.#hadRows && !isLeaf) return;
    this.#hadRows = rows.length > 0;
    const group = this.#localGroup(rows, true);
    this.#hubBatch.add(group);
    if (this.#leafReportMs.size > 0) this.#leafBatch.add(group);
  }

  #localGroup(rows: UsageRowGroup["rows"], isFull: boolean): UsageRowGroup {
    // The wall clock keeps revisions increasing across restarts.
    this.#revision = Math.max(this.#revision + 1, this.#clock.nowMs());
    return { host: this.#self, revision: this.#revision, isFull, rows };
  }

  /** All rows of this daemon and of the hosts that report to it. */
  #representedGroups(): readonly UsageRowGroup[] {
    return this.#allGroups().filter(({ host }) =>
      host === this.#self || this.#reportedHostMs.has(host)
    );
  }

  #allGroups(): readonly UsageRowGroup[] {
    return [
      this.#localGroup(this.#table.localRows(), true),
      ...this.#table.peerRows().map((peer) => ({ ...peer, isFull: true })),
    ];
  }
}
