/** Reads from the engines whether they are leaving. */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { ServiceId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { rightOf } from "../../../base/common/result.ts";
import type {
  EngineClient,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";
import type { Membership } from "../../../services/membership/common/membership.ts";
import type { Configuration } from "../../configuration/common/configuration.ts";
import { toServiceId } from "../../configuration/common/configuration.ts";
import type { ConfiguredEndpointDirectory } from "./configured_endpoint_directory.ts";
import type { DirectoryEndpoint } from "./endpoint_directory.ts";

const REPORT_READ_PERIOD_MS = 1_000;

/** What the watcher works with. */
export interface ReclaimNoticePollerServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly engines: EngineClient;
  readonly membership: Membership;
  readonly configuration: Configuration;
  readonly endpoints: ConfiguredEndpointDirectory;
}

/** Reads the load reports of those engines that fall to this daemon. */
export class ReclaimNoticePoller implements Disposable {
  readonly #services: ReclaimNoticePollerServices;
  readonly #disposables = new DisposableStore();

  /** @param services - What the watcher works with. */
  constructor(services: ReclaimNoticePollerServices) {
    this.#services = services;
  }

  /** Starts to read. */
  start(): void {
    this.#disposables.add(
      runPeriodically(
        this.#services.clock,
        REPORT_READ_PERIOD_MS,
        () => this.#readReports(),
      ),
    );
  }

  /** Stops reading. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #readReports(): void {
    const { configuration, endpoints } = this.#services;
    for (const { team, document } of configuration.revisions()) {
      for (const [name, config] of Object.entries(document?.services ?? {})) {
        if (config.kind !== "engine") continue;
        const service = toServiceId(team, name);
        for (const endpoint of endpoints.endpointsOf(service)) {
          if (this.#isAssignedHere(service, endpoint)) {
            void this.#readReport(service, endpoint);
          }
        }
      }
    }
  }

  /** One daemon of the endpoint's zone reads it. */
  #isAssignedHere(
    service: ServiceId,
    { id, zone }: DirectoryEndpoint,
  ): boolean {
    const { membership, hasher } = this.#services;
    if (zone !== membership.self.zone) return false;
    const zoneOwners = membership.eligibleOwnersInZone(zone).map(({ host }) =>
      host
    );
    const orderedOwners = rendezvousOrder(
      hasher,
      `reclaim/${service}/${id}`,
      zoneOwners,
    );
    return orderedOwners[0] === membership.self.host;
  }

  async #readReport(
    service: ServiceId,
    endpoint: DirectoryEndpoint,
  ): Promise<void> {
    const report = rightOf(await this.#services.engines.readLoad(endpoint));
    if (report && !this.#disposables.isDisposed) {
      this.#applyReport(service, endpoint, report);
    }
  }

  #applyReport(
    service: ServiceId,
    { id }: DirectoryEndpoint,
    { incarnation, isLeaving }: LoadReport,
  ): void {
    const { endpoints } = this.#services;
    const mark = endpoints.drainMarkOf(service, id);
    if (isLeaving) {
      if (!mark?.isLeaving || mark.incarnation !== incarnation) {
        endpoints.markDraining(service, id, "reclaim notice", incarnation);
      }
    } else if (mark?.isLeaving) {
      if (mark.incarnation === undefined) {
        endpoints.markDraining(service, id, mark.reason, incarnation);
      } else if (mark.incarnation !== incarnation) {
        endpoints.markAvailable(service, id, "new incarnation");
      }
    }
  }
}
