/**
 * Tells peers what this daemon uses of endpoints, and learns theirs. Hubs pass
 * rows on: those of their reporters to all, those of other hubs to their
 * reporters. Rows are numbered at their origin, so that none goes in circles.
 */

import { type Clock, setPeriodicTimer } from "../../../base/common/clock.ts";
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
import type { LoadBoard } from "./load_board.ts";
import {
  LOAD_CHANNEL,
  type LoadMessage,
  RowBatch,
  type RowGroup,
} from "./load_message.ts";

/** Changes of a few milliseconds share a message towards the hubs. */
const UP_COALESCE_MS = 5;
/**
 * Changes towards reporters share a message for longer, as each goes to all of
 * them; reading a prompt takes some ten times as long.
 */
const DOWN_COALESCE_MS = 25;
/** Lost messages are made good by a whole table. */
const WHOLE_PERIOD_MS = 4_000;
/** Reporters that have missed two whole tables are gone. */
const REPORTER_LIFETIME_MS = 10_000;

/** Shares one board. */
export class LoadExchange implements Disposable {
  readonly #self: HostId;
  readonly #clock: Clock;
  readonly #overlay: PeerOverlay;
  readonly #board: LoadBoard;
  readonly #channel: PeerChannel<LoadMessage>;
  readonly #owned = new DisposableStore();
  /** Own rows that peers do not know yet. */
  readonly #changed = new Set<EndpointId>();
  readonly #up: RowBatch;
  readonly #down: RowBatch;
  /** Daemons that report here, with the time of their last report. */
  readonly #reporters = new Map<HostId, number>();
  /** Hosts whose rows came by a report. */
  readonly #reported = new Map<HostId, number>();
  #revision = 0;
  #hadRows = false;

  /**
   * @param self - This host.
   * @param clock - Clock of the messages.
   * @param links - Links to the peers.
   * @param overlay - Who passes rows on.
   * @param board - The board.
   */
  constructor(
    self: HostId,
    clock: Clock,
    links: PeerLinks,
    overlay: PeerOverlay,
    board: LoadBoard,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#overlay = overlay;
    this.#board = board;
    this.#up = new RowBatch(clock, UP_COALESCE_MS, () => this.#flushUp());
    this.#down = new RowBatch(clock, DOWN_COALESCE_MS, () => this.#flushDown());
    this.#channel = this.#owned.add(links.openChannel(LOAD_CHANNEL));
    this.#owned.add(
      this.#channel.onDidReceive(({ from, body }) =>
        this.#onMessage(from, body)
      ),
    );
    this.#owned.add(board.onDidChangeOwn((endpoint) => {
      this.#changed.add(endpoint);
      this.#up.schedule();
    }));
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#greet(host);
      else this.#reporters.delete(host);
    }));
    this.#owned.add(overlay.onDidChangeHome(() => {
      const home = overlay.home();
      if (home !== undefined) this.#report(home);
    }));
    this.#owned.add(
      setPeriodicTimer(clock, WHOLE_PERIOD_MS, () => this.#tellWhole()),
    );
  }

  /** Stops the messages. */
  dispose(): void {
    this.#owned.dispose();
  }

  #onMessage(from: HostId, { isReport, groups }: LoadMessage): void {
    const nowMs = this.#clock.monotonicMs();
    if (isReport) {
      const isNew = !this.#reporters.has(from);
      this.#reporters.set(from, nowMs);
      if (isNew) {
        this.#channel.send(from, { isReport: false, groups: this.#all() });
      }
    }
    for (const group of groups) {
      if (group.host === this.#self) continue;
      const { host, revision, rows, isWhole } = group;
      if (isReport) this.#reported.set(host, nowMs);
      if (!this.#board.applyPeerRows(host, revision, rows, isWhole)) continue;
      if (isReport) this.#up.add(group);
      if (this.#reporters.size > 0) this.#down.add(group);
    }
  }

  /** Brings another hub, or what may become one, up to date. */
  #greet(host: HostId): void {
    const home = this.#overlay.home();
    if (host === home) this.#report(home);
    else if (home === undefined) {
      this.#channel.send(host, {
        isReport: false,
        groups: this.#represented(),
      });
    }
  }

  #report(home: HostId): void {
    const groups = this.#represented();
    this.#channel.send(home, { isReport: true, groups });
  }

  #flushUp(): void {
    const groups = [...this.#up.take(), ...this.#takeOwnChanges()];
    const home = this.#overlay.home();
    if (home === undefined) {
      const hubs = this.#overlay.linkedHubs();
      this.#channel.multicast(hubs, { isReport: false, groups });
    } else this.#channel.send(home, { isReport: true, groups });
  }

  /** @returns Own rows that have changed, which reporters are told of as well. */
  #takeOwnChanges(): readonly RowGroup[] {
    if (this.#changed.size === 0) return [];
    const rows = [...this.#changed].map((id) => this.#board.ownRow(id));
    this.#changed.clear();
    const group = this.#ownGroup(rows, false);
    if (this.#reporters.size > 0) this.#down.add(group);
    return [group];
  }

  #flushDown(): void {
    const groups = this.#down.take();
    const reporters = [...this.#reporters.keys()];
    this.#channel.multicast(reporters, { isReport: false, groups });
  }

  #tellWhole(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const times of [this.#reporters, this.#reported]) {
      for (const [host, heardMs] of times) {
        if (nowMs - heardMs > REPORTER_LIFETIME_MS) times.delete(host);
      }
    }
    const rows = this.#board.ownRows();
    const isReporter = this.#overlay.home() !== undefined;
    if (rows.length === 0 && !this.#hadRows && !isReporter) return;
    this.#hadRows = rows.length > 0;
    const group = this.#ownGroup(rows, true);
    this.#up.add(group);
    if (this.#reporters.size > 0) this.#down.add(group);
  }

  #ownGroup(rows: RowGroup["rows"], isWhole: boolean): RowGroup {
    // The time keeps numbers growing over restarts.
    this.#revision = Math.max(this.#revision + 1, this.#clock.nowMs());
    return { host: this.#self, revision: this.#revision, isWhole, rows };
  }

  /** Whole rows of this daemon and of those that report here. */
  #represented(): readonly RowGroup[] {
    return this.#all().filter(({ host }) =>
      host === this.#self || this.#reported.has(host)
    );
  }

  #all(): readonly RowGroup[] {
    return [
      this.#ownGroup(this.#board.ownRows(), true),
      ...this.#board.peerRows().map((peer) => ({ ...peer, isWhole: true })),
    ];
  }
}
