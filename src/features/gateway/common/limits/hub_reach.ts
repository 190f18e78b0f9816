/**
 * Exchanges which hubs each hub does not reach. A hub that none of them
 * reaches has ended or is cut off from all of them, so that another one may take
 * over what it granted.
 */

import type { HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import { Left, Right } from "../../../../base/common/result.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";

/** Channel for the hubs that the sender, a hub, does not reach. */
export const HUB_REACH_CHANNEL: PeerChannelSpec<readonly HostId[]> = {
  name: "hub-reach.v1",
  decode: (body) =>
    Array.isArray(body) && body.every((host) => typeof host === "string")
      ? Right(body as HostId[])
      : Left("the list of hubs is malformed"),
};

/** Dependencies of {@link HubReach}. */
export interface HubReachServices {
  readonly self: HostId;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  /** Hubs of all daemons, also those that this one does not reach. */
  readonly reach: { readonly plannedHubs: ReadonlySet<HostId> };
}

/** Hubs that are not reached, as one daemon knows them. */
export class HubReach implements Disposable {
  readonly #services: HubReachServices;
  readonly #disposables = new DisposableStore();
  readonly #channel: PeerChannel<readonly HostId[]>;
  /** Hubs that other hubs do not reach, by the hub that said so. */
  readonly #unreachedBy = new Map<HostId, ReadonlySet<HostId>>();
  #sent: readonly HostId[] = [];

  /** @param services - Dependencies of the class. */
  constructor(services: HubReachServices) {
    this.#services = services;
    const { links } = services;
    this.#channel = this.#disposables.add(links.openChannel(HUB_REACH_CHANNEL));
    this.#disposables.add(this.#channel.onDidReceive(({ from, body }) => {
      this.#unreachedBy.set(from, new Set(body));
    }));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      this.#unreachedBy.delete(host);
      this.update();
      if (isUp) this.#channel.send(host, this.#sent);
    }));
  }

  /** Notifies the other hubs if this daemon reaches other hubs than before. */
  update(): void {
    const { overlay } = this.#services;
    const missing = this.missingHubs();
    if (
      missing.length === this.#sent.length &&
      missing.every((hub, index) => hub === this.#sent[index])
    ) return;
    this.#sent = missing;
    this.#channel.multicast(overlay.linkedHubs(), missing);
  }

  /** @returns The hubs that this hub does not reach; none for other daemons. */
  missingHubs(): readonly HostId[] {
    const { overlay, reach, self } = this.#services;
    if (!overlay.isHub) return [];
    const reached = new Set([self, ...overlay.linkedHubs()]);
    return [...reach.plannedHubs].filter((hub) => !reached.has(hub));
  }

  /**
   * @param hub - A hub that this one does not reach.
   * @returns Whether none of the hubs that this one reaches reaches it either.
   * One that has not said so, as those of an earlier version, may reach it.
   */
  isUnreached(hub: HostId): boolean {
    return this.#services.overlay.linkedHubs().every((other) =>
      this.#unreachedBy.get(other)?.has(hub) === true
    );
  }

  /** Stops telling. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
