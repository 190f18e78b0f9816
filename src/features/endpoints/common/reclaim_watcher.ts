/** Reads from the engines whether they are leaving. */

import { type Clock, setPeriodicTimer } from "../../../base/common/clock.ts";
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
import type { ConfiguredEndpoints } from "./configured_endpoints.ts";
import type { KnownEndpoint } from "./endpoint_directory.ts";

const READ_PERIOD_MS = 1_000;

/** What the watcher works with. */
export interface ReclaimWatcherServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly engines: EngineClient;
  readonly membership: Membership;
  readonly configuration: Configuration;
  readonly endpoints: ConfiguredEndpoints;
}

/** Reads the load reports of those engines that fall to this daemon. */
export class ReclaimWatcher implements Disposable {
  readonly #services: ReclaimWatcherServices;
  readonly #owned = new DisposableStore();

  /** @param services - What the watcher works with. */
  constructor(services: ReclaimWatcherServices) {
    this.#services = services;
  }

  /** Starts to read. */
  start(): void {
    this.#owned.add(
      setPeriodicTimer(
        this.#services.clock,
        READ_PERIOD_MS,
        () => this.#readAll(),
      ),
    );
  }

  /** Stops reading. */
  dispose(): void {
    this.#owned.dispose();
  }

  #readAll(): void {
    const { configuration, endpoints } = this.#services;
    for (const { team, document } of configuration.revisions()) {
      for (const [name, config] of Object.entries(document?.services ?? {})) {
        if (config.kind !== "engine") continue;
        const service = toServiceId(team, name);
        for (const endpoint of endpoints.endpointsOf(service)) {
          if (this.#isOwn(service, endpoint)) {
            void this.#read(service, endpoint);
          }
        }
      }
    }
  }

  /** One daemon of the endpoint's zone reads it. */
  #isOwn(service: ServiceId, { id, zone }: KnownEndpoint): boolean {
    const { membership, hasher } = this.#services;
    if (zone !== membership.self.zone) return false;
    const owners = membership.ownersOfZone(zone).map(({ host }) => host);
    const order = rendezvousOrder(hasher, `reclaim/${service}/${id}`, owners);
    return order[0] === membership.self.host;
  }

  async #read(service: ServiceId, endpoint: KnownEndpoint): Promise<void> {
    const report = rightOf(await this.#services.engines.readLoad(endpoint));
    if (report && !this.#owned.isDisposed) {
      this.#note(service, endpoint, report);
    }
  }

  #note(
    service: ServiceId,
    { id }: KnownEndpoint,
    { incarnation, isLeaving }: LoadReport,
  ): void {
    const { endpoints } = this.#services;
    const mark = endpoints.markOf(service, id);
    if (isLeaving) {
      if (!mark?.isLeaving || mark.incarnation !== incarnation) {
        endpoints.markLeaving(service, id, "reclaim notice", incarnation);
      }
    } else if (mark?.isLeaving) {
      if (mark.incarnation === undefined) {
        endpoints.markLeaving(service, id, mark.reason, incarnation);
      } else if (mark.incarnation !== incarnation) {
        endpoints.markReturned(service, id, "new incarnation");
      }
    }
  }
}
