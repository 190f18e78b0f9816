/** One host of a world: a daemon's core over in-process clients. */

import { createHash } from "node:crypto";
import type { Hasher } from "../../src/base/common/hasher.ts";
import {
  type Address,
  asId,
  type HostId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { DaemonCore } from "../../src/daemon/common/daemon_core.ts";
import { HmacSigner } from "../../src/features/generations/node/hmac_signer.ts";
import { MemoryLogger } from "../../src/services/log/common/logger.ts";
import { GossipMembership } from "../../src/services/membership/common/gossip_membership.ts";
import { NOOP_METRICS } from "../../src/services/metrics/common/metrics.ts";
import type { PeerAddress } from "../../src/services/peers/common/peer_links.ts";
import { InProcessAppClient } from "../app/in_process_app_client.ts";
import { InProcessEngineClient } from "../engine/in_process_engine_client.ts";
import type { InProcessPeerLinks } from "../peers/in_process_links.ts";
import { InProcessStoreClient } from "../store/in_process_store_client.ts";
import { ProcessClock } from "./process_clock.ts";
import type { SimulatedDeployment } from "./simulated_deployment.ts";

/** What a host is made from. */
export interface SimulatedHostOptions {
  readonly deployment: SimulatedDeployment;
  readonly hasher: Hasher;
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly resumeWindowMs: number;
}

const SIGNING_KEY = { id: "k1", secret: "signing key of every world" };

/** One process; a restart makes a new one. */
export class SimulatedHost {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly clock: ProcessClock;
  readonly logger = new MemoryLogger();
  readonly store: InProcessStoreClient;
  readonly engines: InProcessEngineClient;
  readonly links: InProcessPeerLinks;
  readonly membership: GossipMembership;
  readonly core: DaemonCore;
  readonly #deployment: SimulatedDeployment;
  #nonceCount = 0;

  /** @param options - Where the host lives. */
  constructor(options: SimulatedHostOptions) {
    const { deployment: deployment, host, zone, hasher, resumeWindowMs } =
      options;
    this.#deployment = deployment;
    this.host = host;
    this.zone = zone;
    this.clock = new ProcessClock(deployment.clock);
    this.store = new InProcessStoreClient(this.clock, deployment.store);
    this.engines = new InProcessEngineClient(
      this.clock,
      deployment.enginesByAddress,
    );
    this.links = deployment.network.addHost(host, this.clock);
    const startedMs = deployment.clock.nowMs();
    const { clock, logger, links } = this;
    const random = new SeededRandom(hasher.hash32(host) + startedMs);
    this.membership = new GossipMembership(
      { clock, hasher, random, logger, links },
      { host, zone, incarnation: startedMs },
    );
    this.core = new DaemonCore({
      clock: this.clock,
      hasher,
      random,
      logger: this.logger,
      metrics: NOOP_METRICS,
      store: this.store,
      engines: this.engines,
      apps: new InProcessAppClient(this.clock, deployment.appsByAddress),
      links: this.links,
      membership: this.membership,
      hostList: deployment.hostList,
      signer: new HmacSigner([SIGNING_KEY]),
      createNonce: () => `${host}-${startedMs}-${this.#nonceCount++}`,
      fingerprint: (parts) => {
        const hash = createHash("sha256");
        for (const part of parts) hash.update(`${part.length}:`).update(part);
        return hash.digest("hex");
      },
    }, { host, zone, resumeWindowMs });
    this.core.start();
  }

  /** @param peers - The hosts that this one knows from the start. */
  startMembership(peers: readonly PeerAddress[]): void {
    this.membership.start(this.peerAddress.address, peers);
  }

  /** Where its peers find it; in-process, by name alone. */
  get peerAddress(): PeerAddress {
    const address = asId<Address>("127.0.0.1:1");
    return { host: this.host, zone: this.zone, address };
  }

  /** The process dies at once. */
  kill(): void {
    this.clock.kill();
    this.core.dispose();
    this.membership.dispose();
    this.#deployment.network.removeHost(this.host);
  }
}
