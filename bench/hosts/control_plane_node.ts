/**
 * Control plane of a daemon: peer links, membership and configuration, without
 * listeners for callers and without endpoints. Many of them run in one process,
 * so that a large fleet can be measured on one machine.
 */

import type { Hasher } from "../../src/base/common/hasher.ts";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { DisposableStore } from "../../src/base/common/lifecycle.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { ConfigurationSync } from "../../src/features/configuration/common/configuration_sync.ts";
import { ConfigurationReplica } from "../../src/features/configuration/common/configuration_replica.ts";
import { ConfigurationTable } from "../../src/features/configuration/common/configuration_table.ts";
import { ConfigurationWatcher } from "../../src/features/configuration/common/configuration_watcher.ts";
import { ConfiguredEndpointDirectory } from "../../src/features/endpoints/common/configured_endpoint_directory.ts";
import { DrainMarkBroadcaster } from "../../src/features/endpoints/common/drain_mark_broadcaster.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { GossipMembership } from "../../src/services/membership/common/gossip_membership.ts";
import type { PeerAddress } from "../../src/services/peers/common/peer_links.ts";
import { WsPeerLinks } from "../../src/services/peers/node/ws_peer_links.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";

/** Host name and zone of a daemon. */
export interface DaemonName {
  readonly host: string;
  readonly zone: string;
}

/** Peer links, membership and configuration of one daemon. */
export class ControlPlaneNode {
  readonly name: DaemonName;
  readonly table = new ConfigurationTable();
  readonly membership: GossipMembership;
  readonly links: WsPeerLinks;
  readonly #disposables = new DisposableStore();
  readonly #watcher: ConfigurationWatcher;

  /**
   * @param name - Host name and zone of the daemon.
   * @param hasher - Hash functions that all daemons share.
   * @param store - Address of the store.
   */
  constructor(name: DaemonName, hasher: Hasher, store: Address) {
    this.name = name;
    const clock = new SystemClock();
    const logger = NOOP_LOGGER;
    const seed = hasher.hash32(name.host);
    const random = new SeededRandom(seed);
    const self = {
      host: asId<PeerAddress["host"]>(name.host),
      zone: asId<PeerAddress["zone"]>(name.zone),
      incarnation: clock.nowMs(),
    };
    const links = new WsPeerLinks({
      ...{ clock, logger, self, seed },
      secret: "secret of the measurement",
    });
    this.links = this.#disposables.add(links);
    this.membership = this.#disposables.add(
      new GossipMembership({ clock, hasher, random, logger, links }, self),
    );
    const shared = { clock, hasher, random, logger, links };
    const { table, membership } = this;
    const replica = new ConfigurationReplica({ hasher, logger, table });
    this.#watcher = this.#disposables.add(
      new ConfigurationWatcher({
        ...shared,
        membership,
        replica,
        store: this.#disposables.add(new EtcdStoreClient([store])),
      }),
    );
    this.#disposables.add(new ConfigurationSync({ ...shared, replica }));
    const endpoints = this.#disposables.add(
      new ConfiguredEndpointDirectory(table),
    );
    this.#disposables.add(
      new DrainMarkBroadcaster({ links, logger, endpoints }),
    );
  }

  /** @returns Address at which peers can connect. */
  async listen(): Promise<Address> {
    return await this.links.listen(asId<Address>("127.0.0.1:0"));
  }

  /**
   * Joins the fleet and starts to follow the configuration.
   *
   * @param address - Address of the own listener for peers.
   * @param seeds - Peers to contact first.
   */
  join(address: Address, seeds: readonly PeerAddress[]): void {
    this.membership.start(address, seeds);
    this.#watcher.start();
  }

  /** Stops immediately without notifying peers, as in a crash. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
