/**
 * Serves the pages of a gateway: its readiness, and at the metrics address
 * Prometheus metrics and the status for the `ragwort` command line.
 */

import type { Address } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { RoomPermits } from "../../features/brittle/common/room_permits.ts";
import type { CrashMonitor } from "../../features/gateway/common/crashes/crash_monitor.ts";
import {
  DEFAULT_OPERATOR_SETTINGS,
  type HedgingSettings,
} from "../../features/gateway/common/configuration/operator_settings.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import type { ColdEndpoints } from "../../features/gateway/common/endpoints/cold_endpoints.ts";
import type { ZoneEvacuations } from "../../features/gateway/common/endpoints/zone_evacuations.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import type { Gateway } from "../../features/gateway/common/gateway.ts";
import type {
  EndpointPaces,
  EndpointPaceStatus,
} from "../../features/gateway/common/load/endpoint_pace.ts";
import type { LimitRights } from "../../features/gateway/common/limits/limit_rights.ts";
import type { GatewayMetrics } from "../../features/gateway/common/metrics/gateway_metrics.ts";
import type { GenerationPlacer } from "../../features/gateway/common/placement/placement_queue.ts";
import type { Gauges } from "../../features/gateway/node/gateway_metrics_text.ts";
import type { CallerServer } from "../../services/http/node/caller_server.ts";
import type { PortOpener } from "../../services/http/common/port_opener.ts";
import { type Page, PageServer } from "../../services/http/node/page_server.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { ReloadableGatewaySettings } from "../common/gateway_settings.ts";
import type { GatewayPaths } from "./gateway_paths.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import type { WsPeerLinks } from "../../services/peers/node/ws_peer_links.ts";

const HTTP_OK = 200;
const HTTP_NOT_IMPLEMENTED = 501;
const HTTP_UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;
/** Speed below which an endpoint counts as slow. */
const SLOW_SPEED = 0.67;

/** Status of a gateway, as shown by `ragwort status`. */
export interface GatewayStatus {
  readonly host: string;
  readonly zone: string;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly active: number;
  /** Always empty: a gateway has no team documents. */
  readonly teams: readonly [];
  readonly configurationVersion: number | undefined;
  /** Load and speed of the endpoints, as this host knows them. */
  readonly endpoints: readonly EndpointPaceStatus[];
  /** Limits of hedged calls in force. */
  readonly hedging: HedgingSettings;
}

/** Dependencies of {@link GatewayOperatorPages}. */
export interface GatewayOperatorPagesServices {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly gateway: Gateway;
  readonly crashMonitor: CrashMonitor;
  readonly cold: ColdEndpoints;
  readonly limitRights: LimitRights;
  readonly roomPermits: RoomPermits;
  readonly queue: GenerationPlacer;
  readonly paces: EndpointPaces;
  readonly callers: CallerServer;
  readonly paths: GatewayPaths;
  readonly registry: EndpointRegistry;
  readonly evacuations: ZoneEvacuations;
  readonly links: WsPeerLinks;
  readonly state: ConfigurationState;
  readonly mirror: StoreMirror;
  /** @returns The settings in force. */
  settings(): ReloadableGatewaySettings;
  /** @returns Identity and state of the daemon. */
  daemonState(): Pick<
    GatewayStatus,
    "host" | "zone" | "isReady" | "isDraining"
  >;
}

/** Serves the pages of one gateway. */
export class GatewayOperatorPages implements Disposable {
  readonly #services: GatewayOperatorPagesServices;
  readonly #disposables = new DisposableStore();

  /** @param services - Sources of the metrics and the status. */
  constructor(services: GatewayOperatorPagesServices) {
    this.#services = services;
  }

  /**
   * Starts to serve the readiness and the other pages.
   *
   * @param ports - Opens the ports.
   * @param readiness - Address of the readiness.
   * @param metrics - Address of the other pages.
   * @returns Once the readiness is served; the other pages may follow later.
   */
  async listen(
    ports: PortOpener,
    readiness: Address,
    metrics: Address,
  ): Promise<void> {
    const { daemonState, logger } = this.#services;
    const serve = (page: (path: string) => Promise<Page>): PageServer =>
      this.#disposables.add(new PageServer(logger, page));
    const readinessPage = serve(() => {
      const status = daemonState().isReady ? HTTP_OK : HTTP_UNAVAILABLE;
      return Promise.resolve({ status, text: "" });
    });
    const otherPages = serve((path) => this.#render(path));
    ports.openInBackground({
      purpose: "metrics",
      address: metrics,
      listen: (address, onError) => otherPages.listen(address, onError),
    });
    await ports.open({
      purpose: "readiness",
      address: readiness,
      listen: (address, onError) => readinessPage.listen(address, onError),
    });
  }

  /** Stops serving. */
  dispose(): void {
    this.#disposables.dispose();
  }

  /**
   * Renders a page.
   *
   * @param target - Requested path, with its query.
   * @returns The page, or status 501 for a path that a gateway does not
   *   support.
   */
  async #render(target: string): Promise<Page> {
    const path = target.split("?", 1)[0];
    if (path === "/metrics") {
      return { status: HTTP_OK, text: await this.#metricsText() };
    }
    if (path === "/status") {
      return { status: HTTP_OK, text: JSON.stringify(this.#status()) };
    }
    if (path === "/quarantine") {
      const { host } = this.#services.daemonState();
      const { crashMonitor } = this.#services;
      const requests = crashMonitor.list();
      const promptParts = crashMonitor.prompts.list();
      const text = JSON.stringify({ host, requests, promptParts });
      return { status: HTTP_OK, text };
    }
    if (path === "/limits") {
      const { host } = this.#services.daemonState();
      const limits = this.#services.limitRights.list();
      const brittle = this.#services.roomPermits.list();
      const text = JSON.stringify({ host, limits, brittle });
      return { status: HTTP_OK, text };
    }
    if (path === "/evacuations") {
      const { host } = this.#services.daemonState();
      const evacuations = this.#services.evacuations.list();
      return { status: HTTP_OK, text: JSON.stringify({ host, evacuations }) };
    }
    const error =
      `a gateway has no ${path}; it serves /status, /metrics, /quarantine, /limits ` +
      "and /evacuations, and logs each decision with the request ID (see docs/OPERATIONS.md)";
    return { status: HTTP_NOT_IMPLEMENTED, text: JSON.stringify({ error }) };
  }

  #status(): GatewayStatus {
    const { gateway, daemonState, paces, state, settings } = this.#services;
    const operator = settings().operator ?? DEFAULT_OPERATOR_SETTINGS;
    return {
      ...daemonState(),
      active: gateway.activeCount,
      teams: [],
      configurationVersion: state.current?.configuration.version,
      endpoints: paces.list(),
      hedging: operator.hedging,
    };
  }

  async #metricsText(): Promise<string> {
    // Loaded on the first scrape, so that a restarted daemon is ready sooner.
    const { formatGatewayMetrics } = await import(
      "../../features/gateway/node/gateway_metrics_text.ts"
    );
    const { host, zone } = this.#services.daemonState();
    const { metrics } = this.#services;
    return formatGatewayMetrics({ host, zone }, metrics, this.#gauges());
  }

  #gauges(): Gauges {
    const services = this.#services;
    const traffic = services.links.traffic();
    return {
      active_requests: services.gateway.activeCount,
      waiting_generations: services.queue.length,
      urgent_reserve_tokens: services.queue.reserveTokens,
      caller_connections: services.callers.connectionCount,
      endpoint_connections_opened: services.paths.openedCount,
      endpoints: services.registry.all.length,
      slow_endpoints:
        services.paces.list().filter(({ speed }) => speed < SLOW_SPEED).length,
      lost_direct_paths: services.paths.direct.lostAddresses.length,
      evacuated_zones: services.evacuations.list().length,
      limited_endpoints:
        services.limitRights.list().filter(({ source }) => source === "stated")
          .length,
      cold_endpoints: services.cold.count,
      brittle_endpoints: services.roomPermits.list().length,
      quarantined_requests: services.crashMonitor.list().length,
      peers: services.links.connectedHosts().length,
      peer_bytes_sent: traffic.bytesSent,
      peer_bytes_received: traffic.bytesReceived,
      peer_bytes_waiting: traffic.waitingBytes,
      configuration_version: services.state.current?.configuration.version ?? 0,
      configuration_age_seconds: services.mirror.confirmationAgeMs /
        MS_PER_SECOND,
      memory_bytes: process.memoryUsage().rss,
    };
  }
}
