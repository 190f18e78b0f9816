/**
 * Composes all features of a daemon from injected dependencies: sockets and the
 * system clock in `ragwortd`, in-process test doubles in scenarios.
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
import { ConfigurationSync } from "../../features/configuration/common/configuration_sync.ts";
import { ConfigurationReplica } from "../../features/configuration/common/configuration_replica.ts";
import { ConfigurationTable } from "../../features/configuration/common/configuration_table.ts";
import { ConfigurationWatcher } from "../../features/configuration/common/configuration_watcher.ts";
import { PeerDispatcher } from "../../features/dispatch/common/peer_dispatcher.ts";
import { DecisionLog } from "../../features/explain/common/decision_log.ts";
import { RecordingDispatcher } from "../../features/explain/common/recording_dispatcher.ts";
import {
  type CallRunner,
  RecordingCallRunner,
  RecordingGenerationService,
} from "../../features/explain/common/recording_services.ts";
import { ConfiguredEndpointDirectory } from "../../features/endpoints/common/configured_endpoint_directory.ts";
import { GenerationResumeRegistry } from "../../features/generations/common/generation_resume_registry.ts";
import type { EndpointDirectory } from "../../features/endpoints/common/endpoint_directory.ts";
import { DrainMarkBroadcaster } from "../../features/endpoints/common/drain_mark_broadcaster.ts";
import { ReclaimNoticePoller } from "../../features/endpoints/common/reclaim_notice_poller.ts";
import type { Signer } from "../../features/generations/common/generation_id.ts";
import { GenerationRelayService } from "../../features/generations/common/generation_relay_service.ts";
import type { GenerationService } from "../../features/generations/common/generation_service.ts";
import { RolloutCoordinator } from "../../features/orders/common/rollout_coordinator.ts";
import { StallTimeouts } from "../../features/generations/common/stall_timeouts.ts";
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
import { HostListPoller } from "./host_list_poller.ts";

/** Dependencies of {@link DaemonCore}. */
export interface DaemonDependencies {
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
  /** Host list of the deployment, if one is configured. */
  readonly hostList: HostListClient | undefined;
  readonly signer: Signer;
  /** @returns A string that is unique over all calls on all hosts. */
  createNonce(): string;
  /** @returns A collision-resistant hash of all parts and their boundaries. */
  fingerprint(parts: readonly (string | Uint8Array)[]): string;
}

/** Identity and limits of one daemon. */
export interface DaemonCoreOptions {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly resumeWindowMs: number;
  /**
   * Time for which idempotency keys are retained, in ms; must be the same on
   * all hosts.
   */
  readonly idempotencyKeyRetentionMs?: number;
}

/** The features of one daemon. */
export class DaemonCore implements Disposable {
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly generations: GenerationService;
  readonly calls: CallRunner;
  /** Recorded decisions about recent requests. */
  readonly decisions: DecisionLog;
  readonly rollouts: RolloutCoordinator;
  /**
   * Requests suspected of crashing endpoints; operators can list and release
   * them.
   */
  readonly quarantine: Quarantine;
  readonly #disposables = new DisposableStore();
  readonly #configurationWatcher: ConfigurationWatcher;
  readonly #reclaimWatcher: ReclaimNoticePoller;
  readonly #hostListPoller: HostListPoller;
  readonly #membership: Membership;
  #isDraining = false;

  /**
   * @param dependencies - Dependencies of the features; not disposed by the
   *   core.
   * @param options - Identity and limits of the daemon.
   */
  constructor(dependencies: DaemonDependencies, options: DaemonCoreOptions) {
    const { clock } = dependencies;
    this.#membership = dependencies.membership;
    const table = new ConfigurationTable();
    this.configuration = table;
    const replica = new ConfigurationReplica({ ...dependencies, table });
    this.#configurationWatcher = this.#disposables.add(
      new ConfigurationWatcher({ ...dependencies, replica }),
    );
    this.#disposables.add(new ConfigurationSync({ ...dependencies, replica }));
    const endpoints = this.#disposables.add(
      new ConfiguredEndpointDirectory(table, () => clock.nowMs()),
    );
    this.endpoints = endpoints;
    this.#disposables.add(
      new DrainMarkBroadcaster({ ...dependencies, endpoints }),
    );
    this.#reclaimWatcher = this.#disposables.add(
      new ReclaimNoticePoller({
        ...dependencies,
        endpoints,
        configuration: table,
      }),
    );
    this.#hostListPoller = this.#disposables.add(
      new HostListPoller({ ...dependencies, endpoints }),
    );
    const seed = dependencies.hasher.hash32(`${options.host}|${clock.nowMs()}`);
    const random = new SeededRandom(seed);
    const retries = new RetryBudget({ clock, random });
    const peerDispatcher = this.#disposables.add(
      new PeerDispatcher({
        ...dependencies,
        ...options,
        endpoints,
        configuration: table,
      }),
    );
    this.rollouts = this.#disposables.add(
      new RolloutCoordinator({
        ...dependencies,
        ...options,
        configuration: table,
        endpoints,
      }),
    );
    const quarantine = this.#disposables.add(
      new Quarantine({ ...dependencies, ...options, endpoints }),
    );
    this.quarantine = quarantine;
    this.decisions = new DecisionLog(clock);
    const dispatcher = new RecordingDispatcher(peerDispatcher, this.decisions);
    const generations = new GenerationRelayService({
      ...dependencies,
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
      resumeRegistry: this.#disposables.add(
        new GenerationResumeRegistry(dependencies.links),
      ),
      stallTimeouts: new StallTimeouts(clock),
    });
    this.generations = new RecordingGenerationService(
      generations,
      this.decisions,
    );
    const calls = new CallService({
      ...dependencies,
      dispatcher,
      retries,
      quarantine,
      ledger: this.#disposables.add(
        new ShardedClaimLedger(dependencies, {
          host: options.host,
          ...(options.idempotencyKeyRetentionMs
            ? { keepMs: options.idempotencyKeyRetentionMs }
            : {}),
        }),
      ),
    });
    this.calls = new RecordingCallRunner(calls, this.decisions);
  }

  /** Whether new requests are accepted. */
  get isReady(): boolean {
    return this.configuration.isReady && !this.#isDraining;
  }

  /** Whether the daemon is draining before it stops. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Number of requests in progress. */
  get activeCount(): number {
    return this.generations.activeCount + this.calls.activeCount;
  }

  /** Starts watching the configuration and the background tasks. */
  start(): void {
    this.#configurationWatcher.start();
    this.rollouts.start();
    this.#reclaimWatcher.start();
    this.#hostListPoller.start();
  }

  /** Stops accepting new requests, and announces this to the peers. */
  startDraining(): void {
    this.#isDraining = true;
    this.#membership.announceDraining();
  }

  /** Stops and disposes all features. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
