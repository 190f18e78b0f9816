/**
 * Shares with the peers which direct paths each host has lost, so that a host
 * asks only those peers to pass a request on that reach the endpoint.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Address, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";
import type { DirectPaths } from "./direct_paths.ts";
import { LOST_PATH_CHANNEL, type LostPathRow } from "./lost_path_messages.ts";

/** Changes within this time share one message: cuts lose many paths at once. */
const BATCH_DELAY_MS = 20;
const MAX_HOSTS = 2_000;

/** Dependencies of {@link FleetPaths}. */
export interface FleetPathsServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly overlay: Pick<PeerOverlay, "isHub" | "linkedHubs" | "linkedLeaves">;
  readonly direct: DirectPaths;
}

/** Lost paths of all hosts, as one host knows them. */
export class FleetPaths implements Disposable {
  readonly #services: FleetPathsServices;
  readonly #channel: PeerChannel<readonly LostPathRow[]>;
  readonly #rows = new BoundedMap<HostId, LostPathRow>(MAX_HOSTS);
  readonly #disposables = new DisposableStore();
  #batchTimer: Disposable = NOOP_DISPOSABLE;
  #isBatchPending = false;
  #revision = 0;

  /** @param services - Dependencies of the sharing. */
  constructor(services: FleetPathsServices) {
    const { direct, links } = services;
    this.#services = services;
    this.#channel = this.#disposables.add(links.openChannel(LOST_PATH_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ body }) => this.#merge(body)),
    );
    this.#disposables.add(direct.onDidChange(() => this.#scheduleOwnRow()));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#channel.send(host, this.#allRows());
    }));
  }

  /** @returns Whether a host has stated that it cannot reach an address. */
  hasLost(host: HostId, address: Address): boolean {
    return this.#rows.get(host)?.lost.includes(address) ?? false;
  }

  /** Stops sharing. */
  dispose(): void {
    this.#batchTimer.dispose();
    this.#disposables.dispose();
  }

  #scheduleOwnRow(): void {
    if (this.#isBatchPending) return;
    this.#isBatchPending = true;
    this.#batchTimer = this.#services.clock.setTimer(BATCH_DELAY_MS, () => {
      this.#isBatchPending = false;
      this.#send([this.#ownRow(true)]);
    });
  }

  /** @param isChanged - Whether the row differs from the one sent before. */
  #ownRow(isChanged: boolean): LostPathRow {
    const { clock, direct, self } = this.#services;
    // The wall clock keeps revisions increasing across restarts.
    if (isChanged || this.#revision === 0) {
      this.#revision = Math.max(this.#revision + 1, clock.nowMs());
    }
    return {
      host: self,
      revision: this.#revision,
      lost: direct.lostAddresses,
    };
  }

  #allRows(): readonly LostPathRow[] {
    return [
      this.#ownRow(false),
      ...this.#rows.values.filter(({ lost }) => lost.length > 0),
    ];
  }

  #merge(rows: readonly LostPathRow[]): void {
    const newer = rows.filter(({ host, revision }) =>
      host !== this.#services.self &&
      revision > (this.#rows.get(host)?.revision ?? -1)
    );
    for (const row of newer) this.#rows.set(row.host, row);
    if (newer.length > 0 && this.#services.overlay.isHub) this.#send(newer);
  }

  #send(rows: readonly LostPathRow[]): void {
    const { overlay } = this.#services;
    const hosts = [...overlay.linkedHubs(), ...overlay.linkedLeaves()];
    this.#channel.multicast(hosts, rows);
  }
}
