/**
 * Composes a gateway daemon, which forwards requests to endpoints discovered in
 * the store. The adapter of the platform provides the store client, the header
 * codec, the engine client and the document decoders.
 */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { createHasher, type Hasher } from "../../base/common/hasher.ts";
import { fingerprint } from "../../base/node/fingerprint.ts";
import type { ServiceId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { SeededRandom } from "../../base/common/random.ts";
import {
  admissionLimits,
  chooserSettings,
  createBodyBudget,
} from "../common/settings_limits.ts";
import { GatewayEligibility } from "../common/gateway_eligibility.ts";
import { GatewayEndpointLimits } from "../common/gateway_endpoint_limits.ts";
import { GatewayPlacement } from "../common/gateway_placement.ts";
import { GatewayQuarantine } from "../common/gateway_quarantine.ts";
import {
  createGateway,
  type GatewayFactoryServices,
  pollEngineReports,
} from "../common/gateway_factory.ts";
import { GatewayStreamVersions } from "../common/gateway_stream_versions.ts";
import { peerLinkCounters } from "../common/peer_link_counters.ts";
import { ReadinessLog } from "../common/readiness_log.ts";
import {
  type GatewayDaemonSettings,
  type ReloadableGatewaySettings,
  toFleetHost,
} from "../common/gateway_settings.ts";
import { GatewayOperatorPages } from "./gateway_operator_pages.ts";
import type { GatewayPlatformAdapter } from "./gateway_platform_adapter.ts";
import { openGatewayPorts } from "./gateway_ports.ts";
import { GatewayPaths } from "./gateway_paths.ts";
import { GatewayRelay } from "./gateway_relay.ts";
import { GatewayStore } from "./gateway_store.ts";
import { GatewayTopology } from "./gateway_topology.ts";
import { drainRequests } from "./request_drain.ts";
import { AnswerObserver } from "../../features/gateway/common/monitoring/answer_observer.ts";
import { EndpointHolds } from "../../features/gateway/common/endpoints/endpoint_holds.ts";
import { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import { Gateway } from "../../features/gateway/common/gateway.ts";
import { GatewayMetrics } from "../../features/gateway/common/metrics/gateway_metrics.ts";
import { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import { LeavingMarks } from "../../features/gateway/common/endpoints/leaving_marks.ts";
import { PortOpener } from "../../services/http/common/port_opener.ts";
import { CallerServer } from "../../services/http/node/caller_server.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import { WsPeerLinks } from "../../services/peers/node/ws_peer_links.ts";
import { splitAddress } from "../../services/settings/common/shared_schemas.ts";
import { HmacRelaySigner } from "../../services/relay/node/hmac_relay_signer.ts";

const TICK_MS = 100;
/** Part of the grace period reserved for closing after the drain deadline. */
const SHUTDOWN_RESERVE_MS = 400;

/** A running gateway daemon. */
export class GatewayDaemon implements Disposable {
  readonly #settings: GatewayDaemonSettings;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #disposables = new DisposableStore();
  readonly #metrics: GatewayMetrics;
  readonly #mirror: StoreMirror;
  readonly #state: ConfigurationState;
  readonly #registry: EndpointRegistry;
  readonly #eligibility: GatewayEligibility;
  readonly #links: WsPeerLinks;
  readonly #store: GatewayStore;
  readonly #placement: GatewayPlacement;
  readonly #quarantine: GatewayQuarantine;
  readonly #limits: GatewayEndpointLimits;
  readonly #gateway: Gateway;
  readonly #callers: CallerServer;
  readonly #paths: GatewayPaths;
  readonly #relay: GatewayRelay;
  readonly #topology: GatewayTopology;
  #activeSettings: ReloadableGatewaySettings;
  /** Resolves once the daemon has stopped; set when it begins to stop. */
  #stopped: Promise<void> | undefined;
  readonly #readinessLog: ReadinessLog;

  private constructor(
    settings: GatewayDaemonSettings,
    adapter: GatewayPlatformAdapter,
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
    hasher: Hasher,
  ) {
    this.#settings = settings;
    this.#activeSettings = settings;
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    const { host, zone } = settings;
    const random = new SeededRandom(hasher.hash32(`${host}${clock.nowMs()}`));
    this.#mirror = new StoreMirror(clock, settings.announcementIntervalMs);
    this.#state = new ConfigurationState(
      logger,
      () => this.#mirror.confirmationAgeMs,
    );
    this.#registry = new EndpointRegistry(
      clock,
      logger,
      (endpoint) => this.#paths.unreachableSinceMs(endpoint),
    );
    const findService = (id: ServiceId) =>
      this.#state.current?.configuration.services.get(id);
    this.#eligibility = new GatewayEligibility({
      clock,
      logger,
      registry: this.#registry,
      state: this.#state,
      zone,
      settings: () => this.#activeSettings,
      findService,
    });
    this.#disposables.add(this.#eligibility);
    const { cold } = this.#eligibility;
    this.#readinessLog = new ReadinessLog({
      logger,
      mirror: this.#mirror,
      state: this.#state,
      registry: this.#registry,
    });
    const incarnation = clock.nowMs();
    this.#links = this.#disposables.add(
      new WsPeerLinks({
        clock,
        logger,
        self: { host, zone, incarnation },
        secret: adapter.peerSecret,
        seed: hasher.hash32(host),
        localIp: splitAddress(settings.peersAddress).ip,
        createDiscoveryResponse: () => this.#topology.formatHostList(),
        ...peerLinkCounters(metrics),
      }),
    );
    const self = toFleetHost(settings);
    this.#topology = this.#disposables.add(
      new GatewayTopology({
        clock,
        logger,
        hasher,
        http: adapter.http,
        links: this.#links,
        mirror: this.#mirror,
        self,
        settings: () => this.#activeSettings,
      }),
    );
    this.#store = this.#disposables.add(
      new GatewayStore({
        self,
        clock,
        logger,
        hasher,
        adapter,
        links: this.#links,
        topology: this.#topology,
        mirror: this.#mirror,
        state: this.#state,
        registry: this.#registry,
        evacuations: this.#eligibility.evacuations,
      }),
    );
    const holds = new EndpointHolds(clock, logger, metrics, random);
    const signer = new HmacRelaySigner(adapter.peerSecret);
    this.#paths = this.#disposables.add(
      new GatewayPaths({
        self,
        clock,
        logger,
        metrics,
        random,
        registry: this.#registry,
        links: this.#links,
        overlay: this.#topology,
        signer,
        holds,
        connector: adapter.connector,
        createControl: (http) => adapter.createControl(http),
        findService,
        relayPeers: () => this.#topology.relayPeers,
        limits: () => this.#limits.endpoints,
      }),
    );
    const placement = this.#disposables.add(
      new GatewayPlacement({
        self: host,
        zone,
        clock,
        logger,
        random,
        links: this.#links,
        overlay: this.#topology,
        registry: this.#registry,
        eligibility: this.#eligibility.endpoints,
        cold,
        chooserSettings: () => chooserSettings(this.#activeSettings),
        findService,
      }),
    );
    this.#placement = placement;
    const leavingMarks = this.#disposables.add(
      new LeavingMarks(this.#links, this.#topology, this.#registry),
    );
    const shared = {
      clock,
      logger,
      metrics,
      hasher,
      links: this.#links,
      overlay: this.#topology,
      registry: this.#registry,
      mirror: this.#mirror,
      bodies: createBodyBudget(() => this.#activeSettings),
    };
    this.#limits = this.#disposables.add(
      new GatewayEndpointLimits({
        ...shared,
        self: host,
        reach: this.#topology,
        cold,
        loadTable: placement.loadTable,
      }),
    );
    const limits = this.#limits.endpoints;
    const paths = this.#paths;
    const answers = new AnswerObserver({
      holds,
      leavingMarks,
      limits,
      loads: placement.paces,
      paths,
    });
    this.#relay = this.#disposables.add(
      new GatewayRelay({
        ...shared,
        self: host,
        signer,
        eligibility: this.#eligibility.endpoints,
        codec: adapter.codec,
        client: this.#paths.directClient,
        observer: answers,
        paths,
      }),
    );
    const streamVersions = this.#disposables.add(
      new GatewayStreamVersions({
        ...shared,
        host,
        incarnation,
        relay: this.#topology,
        state: this.#state,
        store: adapter.store,
      }),
    );
    this.#quarantine = this.#disposables.add(
      new GatewayQuarantine({
        ...shared,
        host,
        control: this.#paths.control,
        isRefused: (endpoint) => this.#paths.isRefused(endpoint),
        store: adapter.store,
      }),
    );
    const parts: GatewayFactoryServices = {
      ...shared,
      self: host,
      random,
      codec: adapter.codec,
      fingerprint,
      state: this.#state,
      eligibility: this.#eligibility,
      placement,
      paths: this.#paths,
      crashMonitor: this.#quarantine.monitor,
      answers,
      limits,
      streamVersions,
      settings: () => this.#activeSettings,
      fleetSize: () => this.#topology.largestFleetSize,
    };
    this.#gateway = createGateway(parts);
    this.#callers = this.#disposables.add(new CallerServer(clock));
    this.#disposables.add(
      pollEngineReports({
        ...parts,
        leavingMarks,
        overlay: this.#topology,
        findService,
      }),
    );
  }

  /**
   * Starts a daemon. It becomes ready once it has received a configuration.
   *
   * @param settings - Settings of the daemon.
   * @param adapter - Platform-specific dependencies.
   * @param clock - Clock for timers and deadlines.
   * @param logger - Logger for events of the daemon.
   * @param metrics - Metrics to record into.
   * @returns The daemon, once it listens to callers. Waits for ports that are
   * taken; rejects if one without which it cannot serve can never be opened.
   */
  static async start(
    settings: GatewayDaemonSettings,
    adapter: GatewayPlatformAdapter,
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
  ): Promise<GatewayDaemon> {
    const daemon = new GatewayDaemon(
      settings,
      adapter,
      clock,
      logger,
      metrics,
      await createHasher(),
    );
    await daemon.#listen();
    return daemon;
  }

  /**
   * Whether new requests are accepted: the daemon is not stopping, and its
   * configuration was confirmed recently enough to check keys.
   */
  get isReady(): boolean {
    if (this.#stopped || !this.#state.current) return false;
    const limits = admissionLimits(this.#activeSettings);
    return this.#mirror.confirmationAgeMs <= limits.maxConfirmationAgeForKeysMs;
  }

  /** Applies settings that were reloaded while the daemon is running. */
  updateSettings(newSettings: ReloadableGatewaySettings): void {
    this.#activeSettings = newSettings;
    this.#logger.log("info", "settings-reloaded", {
      configurationDelayMs: newSettings.configurationDelayMs,
      revocationDelayMs: newSettings.revocationDelayMs,
      memoryMb: newSettings.memoryMb,
      hedging: JSON.stringify(newSettings.operator?.hedging),
    });
  }

  /**
   * Waits for requests in progress, up to the grace period, and stops.
   *
   * @returns Once the daemon has stopped, also if it was stopping before.
   */
  drainAndStop(): Promise<void> {
    return this.#stopped ??= this.#runStop();
  }

  /** Stops at once and cuts the requests in progress. */
  dispose(): void {
    this.#stopped ??= Promise.resolve();
    this.#disposables.dispose();
  }

  async #runStop(): Promise<void> {
    await drainRequests(
      {
        clock: this.#clock,
        logger: this.#logger,
        gateway: this.#gateway,
        callers: this.#callers,
        relay: this.#relay,
      },
      this.#activeSettings.stopGraceMs - SHUTDOWN_RESERVE_MS,
    );
    await this.#store.withdraw(SHUTDOWN_RESERVE_MS / 2);
    this.dispose();
  }

  async #listen(): Promise<void> {
    const settings = this.#settings;
    this.#disposables.add(this.#state.onDidChange(({ configuration }) => {
      this.#callers.setLimits(configuration.limits);
    }));
    this.#disposables.add(this.#callers.onDidReceive((exchange) => {
      void this.#gateway.handle(exchange);
    }));
    this.#disposables.add(
      runPeriodically(this.#clock, TICK_MS, () => {
        this.#registry.expirePhases();
        this.#readinessLog.update(this.isReady, this.#stopped !== undefined);
      }),
    );
    const pages = this.#disposables.add(this.#createPages());
    const ports = this.#disposables.add(
      new PortOpener(this.#clock, this.#logger),
    );
    await openGatewayPorts(ports, settings, {
      callers: this.#callers,
      links: this.#links,
      pages,
      relay: this.#relay,
    });
    this.#store.start();
    this.#topology.querySeeds();
  }

  #createPages(): GatewayOperatorPages {
    return new GatewayOperatorPages({
      logger: this.#logger,
      metrics: this.#metrics,
      gateway: this.#gateway,
      crashMonitor: this.#quarantine.monitor,
      cold: this.#eligibility.cold,
      limitRights: this.#limits.rights,
      roomPermits: this.#limits.rooms,
      queue: this.#placement.placer,
      paces: this.#placement.paces,
      callers: this.#callers,
      paths: this.#paths,
      registry: this.#registry,
      evacuations: this.#eligibility.evacuations,
      links: this.#links,
      state: this.#state,
      mirror: this.#mirror,
      settings: () => this.#activeSettings,
      daemonState: () => ({
        host: this.#settings.host,
        zone: this.#settings.zone,
        isReady: this.isReady,
        isDraining: this.#stopped !== undefined,
      }),
    });
  }
}
