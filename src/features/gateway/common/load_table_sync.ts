/**
 * Tells peers what this daemon uses of endpoints, and learns theirs. Hubs pass
 * rows on: those of their reporters to all, those of other hubs to their
 * reporters. Rows are numbered at their origin, so that none goes in circles.
 */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";
import type { LoadTable } from "./load_table.ts";
import {
  LOAD_CHANNEL,
  type LoadMessage,
  UsageRowBatch,
  type UsageRowGroup,
} from "./load_message.ts";

/** Changes of a few milliseconds share a message towards the hubs. */
const HUB_BATCH_DELAY_MS = 5;
/**
 * Changes towards reporters share a message for longer, as each goes to all of
 * them; reading a prompt takes some ten times as long.
 */
const LEAF_BATCH_DELAY_MS = 25;
/** Lost messages are made good by a whole table. */
const FULL_TABLE_PERIOD_MS = 4_000;
/** Reporters that have missed two whole tables are gone. */
const REPORT_LIFETIME_MS = 10_000;

/** Shares one board. */
export class LoadTableSync implements Disposable {
  readonly #self: HostId;
  readonly #clock: Clock;
  readonly #overlay: PeerOverlay;
  readonly #table: LoadTable;
  readonly #channel: PeerChannel<LoadMessage>;
  readonly #disposables = new DisposableStore();
  /** Own rows that peers do not know yet. */
  readonly #changedEndpoints = new Set<EndpointId>();
  readonly #hubBatch: UsageRowBatch;
  readonly #leafBatch: UsageRowBatch;
  /** Daemons that report here, with the time of their last report. */
  readonly #leafReportMs = new Map<HostId, number>();
  /** Hosts whose rows came by a report. */
  readonly #reportedHostMs = new Map<HostId, number>();
  #revision = 0;
  #hadRows = false;

  /**
   * @param self - This host.
   * @param clock - Clock of the messages.
   * @param links - Links to the peers.
   * @param overlay - Who passes rows on.
   * @param loadTable - The board.
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
      runPeriodically(clock, FULL_TABLE_PERIOD_MS, () => this.#sendFullTable()),
    );
  }

  /** Stops the messages. */
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
      const { host, revision, rows, isFull: isFull } = group;
      if (isReport) this.#reportedHostMs.set(host, nowMs);
      if (!this.#table.applyPeerRows(host, revision, rows, isFull)) continue;
      if (isReport) this.#hubBatch.add(group);
      if (this.#leafReportMs.size > 0) this.#leafBatch.add(group);
    }
  }

  /** Brings another hub, or what may become one, up to date. */
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

  /** @returns Own rows that have changed, which reporters are told of as well. */
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
    // The time keeps numbers growing over restarts.
    this.#revision = Math.max(this.#revision + 1, this.#clock.nowMs());
    return { host: this.#self, revision: this.#revision, isFull: isFull, rows };
  }

  /** Whole rows of this daemon and of those that report here. */
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
