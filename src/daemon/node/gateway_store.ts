/**
 * Composes how a gateway daemon follows the store: the mirror that it shares
 * with its peers, and the entry by which they find this host.
 */

import { type Clock, sleep } from "../../base/common/clock.ts";
import { type Hasher } from "../../base/common/hasher.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import type { ZoneEvacuations } from "../../features/gateway/common/endpoints/zone_evacuations.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import {
  encodeHostEntry,
  HOST_KEY_PREFIX,
} from "../../services/hosts/common/host_entry.ts";
import { HostLease } from "../../services/hosts/common/host_lease.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import { MirrorSync } from "../../services/mirror/common/mirror_sync.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import { StoreWatcher } from "../../services/mirror/common/store_watcher.ts";
import type { FleetHost } from "../../services/peers/common/link_planner.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import { MirrorChangeHandler } from "../common/mirror_change_handler.ts";
import type { GatewayPlatformAdapter } from "./gateway_platform_adapter.ts";
import type { GatewayTopology } from "./gateway_topology.ts";

const HASH_RANGE = 2 ** 32;

/** Dependencies of {@link GatewayStore}. */
export interface GatewayStoreServices {
  readonly self: FleetHost;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly adapter: GatewayPlatformAdapter;
  readonly links: PeerLinks;
  readonly topology: GatewayTopology;
  readonly mirror: StoreMirror;
  readonly state: ConfigurationState;
  readonly registry: EndpointRegistry;
  readonly evacuations: ZoneEvacuations;
}

/** Follows the store and keeps the entry of this host. */
export class GatewayStore implements Disposable {
  readonly #watcher: StoreWatcher;
  readonly #hostLease: HostLease;
  readonly #clock: Clock;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayStoreServices) {
    const { adapter, clock, hasher, links, logger, mirror, self, topology } =
      services;
    const bounds = () => topology.mirrorBounds();
    const { store } = adapter;
    this.#clock = clock;
    this.#disposables.add(
      new MirrorSync(clock, logger, links, mirror, topology, bounds),
    );
    this.#disposables.add(
      new MirrorChangeHandler({
        ...services,
        peers: topology,
        decoder: adapter,
      }),
    );
    this.#watcher = this.#disposables.add(
      new StoreWatcher({
        clock,
        logger,
        store,
        mirror,
        watchDelayMs: () => topology.watchDelayMs(),
        bounds,
      }),
    );
    this.#hostLease = this.#disposables.add(
      new HostLease(
        clock,
        logger,
        store,
        `${HOST_KEY_PREFIX}${self.host}`,
        encodeHostEntry(self),
      ),
    );
    this.#disposables.add(mirror.onDidChangeEra((era) => {
      logger.log("warn", "store-restored", { era });
      this.#hostLease.onStoreRestored(hasher.hash32(self.host) / HASH_RANGE);
    }));
  }

  /** Starts to follow the store and to register this host. */
  start(): void {
    void this.#watcher.run();
    void this.#hostLease.run();
  }

  /**
   * Removes the entry of this host.
   *
   * @param limitMs - Time to wait for the store at most, in milliseconds.
   */
  async withdraw(limitMs: number): Promise<void> {
    await Promise.race([
      this.#hostLease.withdraw(),
      sleep(this.#clock, limitMs),
    ]);
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
