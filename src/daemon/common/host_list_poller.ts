/** Takes the platform's host list to the membership and to the endpoints. */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../base/common/hasher.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ConfiguredEndpointDirectory } from "../../features/endpoints/common/configured_endpoint_directory.ts";
import type {
  HostListClient,
  HostListEntry,
} from "../../services/hosts/common/host_list.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { Membership } from "../../services/membership/common/membership.ts";

const POLL_INTERVAL_MS = 1_000;
const POLLING_DAEMONS_PER_ZONE = 2;

/** What the follower works with. */
export interface HostListPollerServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly hostList: HostListClient | undefined;
  readonly membership: Membership;
  readonly endpoints: ConfiguredEndpointDirectory;
}

/** Every daemon reads the list at its start; then two of each zone do. */
export class HostListPoller implements Disposable {
  readonly #services: HostListPollerServices;
  readonly #disposables = new DisposableStore();
  readonly #drainingEndpoints = new Set<string>();

  /** @param services - What the follower works with. */
  constructor(services: HostListPollerServices) {
    this.#services = services;
  }

  /** Starts to read. */
  start(): void {
    const { clock, hostList } = this.#services;
    if (!hostList) return;
    void this.#poll(hostList);
    this.#disposables.add(runPeriodically(clock, POLL_INTERVAL_MS, () => {
      if (this.#isPollingDaemon()) void this.#poll(hostList);
    }));
  }

  /** Stops reading. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #isPollingDaemon(): boolean {
    const { membership, hasher } = this.#services;
    const { host, zone } = membership.self;
    const owners = membership.eligibleOwnersInZone(zone).map((owner) =>
      owner.host
    );
    return rendezvousOrder(hasher, `host-list/${zone}`, owners)
      .slice(0, POLLING_DAEMONS_PER_ZONE).includes(host);
  }

  async #poll(hostList: HostListClient): Promise<void> {
    const { logger, membership } = this.#services;
    const result = await hostList.read();
    if (this.#disposables.isDisposed) return;
    result.caseOf({
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
  #applyEndpoint(entry: HostListEntry): void {
    if (entry.role !== "endpoint") return;
    const { endpoints } = this.#services;
    const { service, endpoint, isLeaving } = entry;
    const key = `${service}/${endpoint}`;
    if (isLeaving === this.#drainingEndpoints.has(key)) return;
    if (isLeaving) {
      this.#drainingEndpoints.add(key);
      endpoints.markDraining(service, endpoint, "host list");
    } else {
      this.#drainingEndpoints.delete(key);
      endpoints.markAvailable(service, endpoint, "host list");
    }
  }
}
