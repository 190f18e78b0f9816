/**
 * All features of a daemon, wired over the platform that it is given: sockets
 * and the system clock in `ragwortd`, in-process stand-ins in scenarios.
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Hasher } from "../../base/common/hasher.ts";
import type { HostId, ZoneName } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { SeededRandom } from "../../base/common/random.ts";
import { CallService } from "../../features/calls/common/call_service.ts";
import type { Configuration } from "../../features/configuration/common/configuration.ts";
import { ConfigurationExchange } from "../../features/configuration/common/configuration_exchange.ts";
import { ConfigurationReplica } from "../../features/configuration/common/configuration_replica.ts";
import { ConfigurationTable } from "../../features/configuration/common/configuration_table.ts";
import { ConfigurationWatcher } from "../../features/configuration/common/configuration_watcher.ts";
import { PeerDispatcher } from "../../features/dispatch/common/peer_dispatcher.ts";
import { DecisionLog } from "../../features/explain/common/decision_log.ts";
import { ExplainedDispatcher } from "../../features/explain/common/explained_dispatcher.ts";
import {
  type Calls,
  ExplainedCalls,
  ExplainedGenerations,
} from "../../features/explain/common/explained_services.ts";
import { ConfiguredEndpointDirectory } from "../../features/endpoints/common/configured_endpoint_directory.ts";
import { GenerationFollowers } from "../../features/generations/common/generation_followers.ts";
import type { EndpointDirectory } from "../../features/endpoints/common/endpoint_directory.ts";
import { DrainMarkBroadcaster } from "../../features/endpoints/common/drain_mark_broadcaster.ts";
import { ReclaimNoticePoller } from "../../features/endpoints/common/reclaim_notice_poller.ts";
import type { Signer } from "../../features/generations/common/generation_id.ts";
import { GenerationRelayService } from "../../features/generations/common/generation_relay_service.ts";
import type { GenerationService } from "../../features/generations/common/generation_service.ts";
import { OrderService } from "../../features/orders/common/order_service.ts";
import { SilenceLimits } from "../../features/generations/common/silence_limits.ts";
import { IsolatedAdmission } from "../../features/quarantine/common/isolated_admission.ts";
import { Quarantine } from "../../features/quarantine/common/quarantine.ts";
import { RetryBudget } from "../../features/retries/common/retry_budget.ts";
import { ShardedClaimLedger } from "../../features/ledger/common/sharded_claim_ledger.ts";
import type { AppClient } from "../../services/endpoints/common/app_client.ts";
import type { EngineClient } from "../../services/endpoints/common/engine_client.ts";
import type { HostListClient } from "../../services/hosts/common/host_list.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { Membership } from "../../services/membership/common/membership.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { StoreClient } from "../../services/store/common/store_client.ts";
import { HostListFollower } from "./host_list_follower.ts";

/** What a daemon stands on. */
export interface DaemonPlatform {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly random: SeededRandom;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: StoreClient;
  readonly engines: EngineClient;
  readonly apps: AppClient;
  readonly links: PeerLinks;
  readonly membership: Membership;
  /** The platform's host list, when there is one. */
  readonly hostList: HostListClient | undefined;
  readonly signer: Signer;
  /** @returns A text that no two calls return, on any host. */
  createNonce(): string;
  /** @returns A collision-resistant hash of all parts and their borders. */
  fingerprint(parts: readonly (string | Uint8Array)[]): string;
}

/** Limits and names of one daemon. */
export interface DaemonCoreOptions {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly resumeWindowMs: number;
  /** How long idempotency keys are known; the same at all hosts. */
  readonly keyKeepMs?: number;
}

/** The features of one daemon. */
export class DaemonCore implements Disposable {
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly generations: GenerationService;
  readonly calls: Calls;
  /** What was decided about the newest requests. */
  readonly decisions: DecisionLog;
  readonly orders: OrderService;
  /** Requests that kill endpoints; operators may list and release them. */
  readonly quarantine: Quarantine;
  readonly #owned = new DisposableStore();
  readonly #watcher: ConfigurationWatcher;
  readonly #reclaims: ReclaimNoticePoller;
  readonly #hostList: HostListFollower;
  readonly #membership: Membership;
  #isDraining = false;

  /**
   * @param platform - What the features stand on; not owned.
   * @param options - Limits and names.
   */
  constructor(platform: DaemonPlatform, options: DaemonCoreOptions) {
    const { clock } = platform;
    this.#membership = platform.membership;
    const table = new ConfigurationTable();
    this.configuration = table;
    const replica = new ConfigurationReplica({ ...platform, table });
    this.#watcher = this.#owned.add(
      new ConfigurationWatcher({ ...platform, replica }),
    );
    this.#owned.add(new ConfigurationExchange({ ...platform, replica }));
    const endpoints = this.#owned.add(
      new ConfiguredEndpointDirectory(table, () => clock.nowMs()),
    );
    this.endpoints = endpoints;
    this.#owned.add(new DrainMarkBroadcaster({ ...platform, endpoints }));
    this.#reclaims = this.#owned.add(
      new ReclaimNoticePoller({ ...platform, endpoints, configuration: table }),
    );
    this.#hostList = this.#owned.add(
      new HostListFollower({ ...platform, endpoints }),
    );
    const seed = platform.hasher.hash32(`${options.host}|${clock.nowMs()}`);
    const random = new SeededRandom(seed);
    const retries = new RetryBudget({ clock, random });
    const peerDispatcher = this.#owned.add(
      new PeerDispatcher({
        ...platform,
        ...options,
        endpoints,
        configuration: table,
      }),
    );
    this.orders = this.#owned.add(
      new OrderService({
        ...platform,
        ...options,
        configuration: table,
        endpoints,
      }),
    );
    const quarantine = this.#owned.add(
      new Quarantine({ ...platform, ...options, endpoints }),
    );
    this.quarantine = quarantine;
    this.decisions = new DecisionLog(clock);
    const dispatcher = new ExplainedDispatcher(peerDispatcher, this.decisions);
    const generations = new GenerationRelayService({
      ...platform,
      ...options,
      configuration: table,
      dispatcher,
      retries,
      quarantine,
      admission: new IsolatedAdmission({
        clock,
        dispatcher,
        endpoints,
        quarantine,
      }),
      followers: this.#owned.add(new GenerationFollowers(platform.links)),
      silenceLimits: new SilenceLimits(clock),
    });
    this.generations = new ExplainedGenerations(generations, this.decisions);
    const calls = new CallService({
      ...platform,
      dispatcher,
      retries,
      ledger: this.#owned.add(
        new ShardedClaimLedger(platform, {
          host: options.host,
          ...(options.keyKeepMs ? { keepMs: options.keyKeepMs } : {}),
        }),
      ),
    });
    this.calls = new ExplainedCalls(calls, this.decisions);
  }

  /** Whether new requests are taken. */
  get isReady(): boolean {
    return this.configuration.isReady && !this.#isDraining;
  }

  /** Whether a stop was asked for. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Requests that have not ended. */
  get activeCount(): number {
    return this.generations.activeCount + this.calls.activeCount;
  }

  /** Starts to follow the configuration. */
  start(): void {
    this.#watcher.start();
    this.orders.start();
    this.#reclaims.start();
    this.#hostList.start();
  }

  /** Takes no new requests from now on. */
  startDraining(): void {
    this.#isDraining = true;
    this.#membership.announceLeaving();
  }

  /** Stops all features. */
  dispose(): void {
    this.#owned.dispose();
  }
}
