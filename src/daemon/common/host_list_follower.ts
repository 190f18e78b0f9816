/** Takes the platform's host list to the membership and to the endpoints. */

import { type Clock, setPeriodicTimer } from "../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../base/common/hasher.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ConfiguredEndpoints } from "../../features/endpoints/common/configured_endpoints.ts";
import type {
  HostListClient,
  ListedHostEntry,
} from "../../services/hosts/common/host_list.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { Membership } from "../../services/membership/common/membership.ts";

const READ_PERIOD_MS = 1_000;
const READERS_PER_ZONE = 2;

/** What the follower works with. */
export interface HostListFollowerServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly hostList: HostListClient | undefined;
  readonly membership: Membership;
  readonly endpoints: ConfiguredEndpoints;
}

/** Every daemon reads the list at its start; then two of each zone do. */
export class HostListFollower implements Disposable {
  readonly #services: HostListFollowerServices;
  readonly #owned = new DisposableStore();
  readonly #leaving = new Set<string>();

  /** @param services - What the follower works with. */
  constructor(services: HostListFollowerServices) {
    this.#services = services;
  }

  /** Starts to read. */
  start(): void {
    const { clock, hostList } = this.#services;
    if (!hostList) return;
    void this.#read(hostList);
    this.#owned.add(setPeriodicTimer(clock, READ_PERIOD_MS, () => {
      if (this.#isReader()) void this.#read(hostList);
    }));
  }

  /** Stops reading. */
  dispose(): void {
    this.#owned.dispose();
  }

  #isReader(): boolean {
    const { membership, hasher } = this.#services;
    const { host, zone } = membership.self;
    const owners = membership.ownersOfZone(zone).map((owner) => owner.host);
    return rendezvousOrder(hasher, `host-list/${zone}`, owners)
      .slice(0, READERS_PER_ZONE).includes(host);
  }

  async #read(hostList: HostListClient): Promise<void> {
    const { logger, membership } = this.#services;
    const read = await hostList.read();
    if (this.#owned.isDisposed) return;
    read.caseOf({
      Left: ({ detail }) =>
        logger.log("warn", "host-list-unreadable", { detail }),
      Right: (entries) => {
        membership.applyHostList(
          entries.flatMap((entry) => entry.role === "entry" ? [entry] : []),
        );
        for (const entry of entries) this.#applyEndpoint(entry);
      },
    });
  }

  /** Only a change of the list counts: it lags behind other words. */
  #applyEndpoint(entry: ListedHostEntry): void {
    if (entry.role !== "endpoint") return;
    const { endpoints } = this.#services;
    const { service, endpoint, isLeaving } = entry;
    const key = `${service}/${endpoint}`;
    if (isLeaving === this.#leaving.has(key)) return;
    if (isLeaving) {
      this.#leaving.add(key);
      endpoints.markLeaving(service, endpoint, "host list");
    } else {
      this.#leaving.delete(key);
      endpoints.markReturned(service, endpoint, "host list");
    }
  }
}
