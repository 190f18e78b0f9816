/**
 * Composition of a daemon that passes requests on to discovered endpoints. The
 * adapter of a platform brings the store, the codec and the decoders.
 */

import {
  type Clock,
  setPeriodicTimer,
  sleep,
} from "../../base/common/clock.ts";
import { toErrorMessage } from "../../base/common/errors.ts";
import { createHasher, type Hasher } from "../../base/common/hasher.ts";
import type { Address, ServiceId } from "../../base/common/ids.ts";
import { DisposableStore } from "../../base/common/lifecycle.ts";
import { SeededRandom } from "../../base/common/random.ts";
import {
  GatewayKnowledge,
  type StoreDecoder,
} from "../common/gateway_knowledge.ts";
import type {
  GatewayDaemonSettings,
  GatewayTuning,
} from "../common/gateway_settings.ts";
import { GatewayPages } from "./gateway_pages.ts";
import { GatewayPeers } from "./gateway_peers.ts";
import { EndpointChooser } from "../../features/gateway/common/endpoint_choice.ts";
import { EndpointProbe } from "../../features/gateway/common/endpoint_probe.ts";
import { EndpointRegistry } from "../../features/gateway/common/endpoint_registry.ts";
import type { EngineControl } from "../../features/gateway/common/engine_control.ts";
import { Gateway } from "../../features/gateway/common/gateway.ts";
import type { GatewayCodec } from "../../features/gateway/common/gateway_codec.ts";
import { GatewayMetrics } from "../../features/gateway/common/gateway_metrics.ts";
import { ConfigurationState } from "../../features/gateway/common/configuration_state.ts";
import { LoadBoard } from "../../features/gateway/common/load_board.ts";
import { LoadExchange } from "../../features/gateway/common/load_exchange.ts";
import { PlacementQueue } from "../../features/gateway/common/placement_queue.ts";
import { ReportPoller } from "../../features/gateway/common/report_poller.ts";
import { RunMover } from "../../features/gateway/common/run_mover.ts";
import { ZonePlacer } from "../../features/gateway/common/zone_placer.ts";
import { RetryBudget } from "../../features/retries/common/retry_budget.ts";
import {
  encodeHostEntry,
  HOST_PREFIX,
} from "../../services/hosts/common/host_entry.ts";
import { HostLease } from "../../services/hosts/common/host_lease.ts";
import { CallerListener } from "../../services/http/node/caller_listener.ts";
import type { JsonClient } from "../../services/http/node/json_client.ts";
import { type Page, PageServer } from "../../services/http/node/page_server.ts";
import { UndiciPassThroughClient } from "../../services/http/node/undici_pass_through_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import { MirrorSync } from "../../services/mirror/common/mirror_sync.ts";
import type {
  LeaseStore,
  RevisionedStore,
} from "../../services/mirror/common/revisioned_store.ts";
import { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import { StoreWatcher } from "../../services/mirror/common/store_watcher.ts";
import type { FleetHost } from "../../services/peers/common/link_planner.ts";
import { WsPeerLinks } from "../../services/peers/node/ws_peer_links.ts";

const TICK_MS = 100;
/** Part of the revocation delay that is left for a request on its way. */
const KEY_TRUST_SHARE = 0.88;
/** Part of the configuration's delay after which it counts as possibly old. */
const UNKNOWN_TRUST_SHARE = 0.95;
/** Part of the fleet's retries that daemons claim; counts of hosts may differ. */
const RETRY_SHARE = 0.6;
/** Part of the memory that bodies of requests may fill. */
const BODY_MEMORY_SHARE = 0.15;
/** Time for balancers to stop sending new connections after readiness ends. */
const ROTATION_DELAY_MS = 2_600;
/** Time before the end in which nothing begins; calls take up to a second. */
const LAST_CALL_MS = 1_500;
/** Part of the grace that is left for closing after the last answer. */
const STOP_RESERVE_MS = 400;
const BYTES_PER_MB = 1_048_576;

/** What the adapter of a platform brings. */
export interface GatewayPlatform extends StoreDecoder {
  readonly store: RevisionedStore & LeaseStore;
  readonly codec: GatewayCodec;
  readonly control: EngineControl;
  /** Makes calls to peers that are not linked yet. */
  readonly http: JsonClient;
  /** Secret of the links between daemons. */
  readonly peerSecret: string;
}

/** A running daemon. */
export class GatewayDaemon {
  readonly #settings: GatewayDaemonSettings;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #owned = new DisposableStore();
  readonly #metrics: GatewayMetrics;
  readonly #mirror: StoreMirror;
  readonly #state: ConfigurationState;
  readonly #registry: EndpointRegistry;
  readonly #links: WsPeerLinks;
  readonly #watcher: StoreWatcher;
  readonly #lease: HostLease;
  readonly #queue: ZonePlacer;
  readonly #gateway: Gateway;
  readonly #callers: CallerListener;
  readonly #client: UndiciPassThroughClient;
  readonly #peers: GatewayPeers;
  readonly #knowledge: GatewayKnowledge;
  #tuning: GatewayTuning;
  #isStopping = false;
  #wasReady = false;

  private constructor(
    settings: GatewayDaemonSettings,
    platform: GatewayPlatform,
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
    hasher: Hasher,
  ) {
    this.#settings = settings;
    this.#tuning = settings;
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    const { host, zone } = settings;
    const random = new SeededRandom(hasher.hash32(`${host}${clock.nowMs()}`));
    this.#mirror = new StoreMirror(clock);
    this.#state = new ConfigurationState(
      logger,
      () => this.#mirror.confirmationAgeMs,
    );
    this.#registry = new EndpointRegistry(clock, logger);
    const incarnation = clock.nowMs();
    this.#links = this.#owned.add(
      new WsPeerLinks({
        clock,
        logger,
        self: { host, zone, incarnation },
        secret: platform.peerSecret,
        seed: hasher.hash32(host),
        introduce: () => this.#peers.introduction(),
      }),
    );
    const self: FleetHost = {
      host,
      zone,
      address: settings.peersAddress,
      capacity: settings.relayCapacity,
    };
    this.#peers = this.#owned.add(
      new GatewayPeers({
        clock,
        logger,
        hasher,
        http: platform.http,
        links: this.#links,
        mirror: this.#mirror,
        self,
        seedAddresses: () => this.#tuning.seedAddresses,
      }),
    );
    this.#owned.add(
      new MirrorSync(clock, logger, this.#links, this.#mirror, this.#peers),
    );
    this.#knowledge = new GatewayKnowledge({
      logger,
      mirror: this.#mirror,
      state: this.#state,
      registry: this.#registry,
      peers: this.#peers,
      decoder: platform,
    });
    this.#watcher = this.#owned.add(
      new StoreWatcher({
        clock,
        logger,
        store: platform.store,
        mirror: this.#mirror,
        shouldWatch: () => this.#peers.isRelay(),
      }),
    );
    this.#lease = this.#owned.add(
      new HostLease(
        clock,
        logger,
        platform.store,
        `${HOST_PREFIX}${host}`,
        encodeHostEntry(self),
      ),
    );
    const board = new LoadBoard(clock);
    this.#owned.add(
      new LoadExchange(host, clock, this.#links, this.#peers, board),
    );
    this.#client = new UndiciPassThroughClient(clock);
    const chooser = new EndpointChooser(
      clock,
      this.#registry,
      board,
      random,
      zone,
    );
    const findService = (id: ServiceId) =>
      this.#state.current?.configuration.services.get(id);
    this.#queue = this.#owned.add(
      new ZonePlacer({
        self: host,
        clock,
        logger,
        links: this.#links,
        overlay: this.#peers,
        registry: this.#registry,
        board,
        chooser,
        queue: this.#owned.add(new PlacementQueue(clock, chooser)),
        findService,
      }),
    );
    this.#gateway = new Gateway(
      {
        clock,
        logger,
        metrics,
        codec: platform.codec,
        client: this.#client,
        registry: this.#registry,
        board,
        chooser,
        queue: this.#queue,
        budget: new RetryBudget({
          clock,
          random,
          limits: () => this.#retryLimits(),
        }),
        probe: new EndpointProbe(clock, logger, metrics, platform.control),
        mover: new RunMover(clock, platform.control),
      },
      this.#state,
      () => ({
        keyTrustMs: this.#tuning.revocationDelayMs * KEY_TRUST_SHARE,
        unknownTrustMs: this.#tuning.configurationDelayMs * UNKNOWN_TRUST_SHARE,
        maxBodyBytesInUse: this.#tuning.memoryMb * BODY_MEMORY_SHARE *
          BYTES_PER_MB,
      }),
      hasher,
    );
    this.#callers = this.#owned.add(new CallerListener(clock));
    this.#owned.add(
      new ReportPoller(
        host,
        clock,
        hasher,
        logger,
        this.#links,
        this.#peers,
        this.#registry,
        platform.control,
        ({ announcement }) =>
          findService(announcement.service)?.engine !== undefined,
      ),
    );
  }

  /**
   * Starts a daemon; it is ready once it knows a configuration.
   *
   * @param settings - Its settings.
   * @param platform - What the adapter brings.
   * @param clock - The clock.
   * @param logger - The log.
   * @param metrics - The figures.
   * @returns The daemon, listening.
   */
  static async start(
    settings: GatewayDaemonSettings,
    platform: GatewayPlatform,
    clock: Clock,
    logger: Logger,
    metrics: GatewayMetrics,
  ): Promise<GatewayDaemon> {
    const hasher = await createHasher();
    const daemon = new GatewayDaemon(
      settings,
      platform,
      clock,
      logger,
      metrics,
      hasher,
    );
    await daemon.#listen();
    return daemon;
  }

  /** Whether new callers are welcome here. */
  get isReady(): boolean {
    if (this.#isStopping || !this.#state.current) return false;
    const trustMs = this.#tuning.revocationDelayMs * KEY_TRUST_SHARE;
    return this.#mirror.confirmationAgeMs <= trustMs;
  }

  /** Takes over settings that may change while the daemon runs. */
  tune(tuning: GatewayTuning): void {
    this.#tuning = tuning;
    this.#logger.log("info", "settings-reloaded", {
      configurationDelayMs: tuning.configurationDelayMs,
      revocationDelayMs: tuning.revocationDelayMs,
      memoryMb: tuning.memoryMb,
    });
  }

  /** Lets requests in progress end, then stops. */
  async drainAndStop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startMs = this.#clock.monotonicMs();
    const limitMs = this.#tuning.stopGraceMs - STOP_RESERVE_MS;
    this.#logger.log("info", "drain-started", {
      active: this.#gateway.activeCount,
      limitMs,
    });
    this.#gateway.beginDrain();
    this.#callers.announceClose();
    await sleep(this.#clock, ROTATION_DELAY_MS);
    // Streams whose head went out before leave their connections open.
    this.#callers.closeIdle();
    while (this.#callers.activeCount > 0) {
      const tookMs = this.#clock.monotonicMs() - startMs;
      if (tookMs > limitMs) break;
      if (tookMs > limitMs - LAST_CALL_MS) this.#gateway.stopAdmitting();
      await sleep(this.#clock, TICK_MS);
      this.#callers.closeIdle();
    }
    this.#logger.log("info", "drain-ended", {
      active: this.#gateway.activeCount,
      tookMs: Math.round(this.#clock.monotonicMs() - startMs),
    });
    await Promise.race([
      this.#lease.withdraw(),
      sleep(this.#clock, STOP_RESERVE_MS / 2),
    ]);
    this.#owned.dispose();
  }

  async #listen(): Promise<void> {
    const { settings, clock } = {
      settings: this.#settings,
      clock: this.#clock,
    };
    this.#owned.add(
      this.#mirror.onDidChange((changes) => this.#knowledge.apply(changes)),
    );
    this.#owned.add(this.#state.onDidChange(({ configuration }) => {
      this.#callers.setLimits(configuration.limits);
    }));
    this.#owned.add(this.#registry.onDidLeave(({ announcement }) => {
      this.#client.forget(announcement.address);
    }));
    this.#owned.add(this.#callers.onDidReceive((exchange) => {
      this.#gateway.handle(exchange).catch((thrown: unknown) => {
        this.#logger.log("error", "request-crashed", {
          detail: toErrorMessage(thrown),
        });
        exchange.breakOff();
      });
    }));
    this.#owned.add(this.#links.onDidChangeLink(({ host, isUp, reason }) => {
      this.#logger.log("info", isUp ? "peer-up" : "peer-down", {
        peer: host,
        reason,
      });
    }));
    this.#owned.add(setPeriodicTimer(clock, TICK_MS, () => this.#tick()));
    const pages = this.#createPages();
    await Promise.all([
      this.#links.listen(settings.peersAddress),
      this.#callers.listen(settings.callersAddress),
      this.#serve(
        settings.readyAddress,
        () => Promise.resolve(this.#readiness()),
      ),
      this.#serve(settings.metricsAddress, (path) => pages.page(path)),
    ]);
    void this.#watcher.run();
    void this.#lease.run();
    this.#peers.askSeeds();
  }

  #createPages(): GatewayPages {
    return new GatewayPages({
      metrics: this.#metrics,
      gateway: this.#gateway,
      queue: this.#queue,
      callers: this.#callers,
      client: this.#client,
      registry: this.#registry,
      links: this.#links,
      state: this.#state,
      mirror: this.#mirror,
      self: () => ({
        host: this.#settings.host,
        zone: this.#settings.zone,
        isReady: this.isReady,
        isDraining: this.#isStopping,
      }),
    });
  }

  #readiness(): Page {
    return { status: this.isReady ? 200 : 503, text: "" };
  }

  #serve(
    address: Address,
    page: (path: string) => Promise<Page>,
  ): Promise<void> {
    return this.#owned.add(new PageServer(this.#logger, page)).listen(address);
  }

  #tick(): void {
    this.#registry.tick();
    const { isReady } = this;
    if (isReady === this.#wasReady) return;
    this.#wasReady = isReady;
    this.#logger.log("info", isReady ? "ready" : "not-ready", {
      sinceStartMs: Math.round(process.uptime() * 1_000),
      confirmedAgeMs: Math.round(this.#mirror.confirmationAgeMs),
      version: this.#state.current?.configuration.version,
      endpoints: this.#registry.all.length,
      stopping: this.#isStopping,
    });
  }

  #retryLimits(): { successShare: number; minRetriesPerWindow: number } {
    const { share, extra } = this.#tuning.retries;
    const hosts = this.#peers.fleetSize;
    return {
      successShare: share * RETRY_SHARE,
      minRetriesPerWindow: extra * RETRY_SHARE / hosts,
    };
  }
}
