/**
 * Composes the paths of a gateway daemon to its endpoints: its own connections,
 * and peers that pass requests on where these fail.
 */

import type { Clock } from "../../base/common/clock.ts";
import type {
  Address,
  HostId,
  ServiceId,
  ZoneName,
} from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { GatewayService } from "../../features/gateway/common/configuration/gateway_configuration.ts";
import type { EndpointHolds } from "../../features/gateway/common/endpoints/endpoint_holds.ts";
import type { EndpointLimits } from "../../features/gateway/common/limits/endpoint_limits.ts";
import type { EnginePaths } from "../../features/gateway/common/monitoring/endpoint_probe.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
  UnreachableSince,
} from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import {
  EndpointSurvival,
  type LivenessQuestion,
} from "../../features/gateway/common/monitoring/endpoint_survival.ts";
import type { EngineControl } from "../../features/gateway/common/protocol/engine_control.ts";
import type { OwnPaths } from "../../features/gateway/common/relay/relay_gate.ts";
import type { GatewayMetrics } from "../../features/gateway/common/metrics/gateway_metrics.ts";
import {
  type DirectPathChange,
  DirectPaths,
} from "../../features/paths/common/direct_paths.ts";
import { FleetPaths } from "../../features/paths/common/fleet_paths.ts";
import { PathClient } from "../../features/paths/common/path_client.ts";
import { PathJsonCaller } from "../../features/paths/common/path_json_caller.ts";
import { PathProber } from "../../features/paths/common/path_prober.ts";
import {
  type ChoiceRandom,
  RelayChooser,
} from "../../features/paths/common/relay_chooser.ts";
import { RelayedJsonCaller } from "../../features/paths/common/relayed_json_caller.ts";
import type { EndCheck } from "../../features/paths/common/verified_response.ts";
import { VerifyingClient } from "../../features/paths/common/verifying_client.ts";
import type { JsonCaller } from "../../services/http/common/json_caller.ts";
import type { RelayInstructions } from "../../services/http/common/pass_through_client.ts";
import { JsonClient } from "../../services/http/node/json_client.ts";
import type { SocketConnector } from "../../services/http/node/socket_connector.ts";
import { UndiciPassThroughClient } from "../../services/http/node/undici_pass_through_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";
import {
  HttpRelaySender,
  type RelayableRequest,
  type RelayPeer,
} from "../../services/relay/common/relay_sender.ts";
import type { RelaySigner } from "../../services/relay/common/relay_signer.ts";

/** Dependencies of {@link GatewayPaths}. */
export interface GatewayPathsServices {
  readonly self: { readonly host: HostId; readonly zone: ZoneName };
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly random: ChoiceRandom;
  readonly registry: EndpointRegistry;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly signer: RelaySigner;
  readonly holds: Pick<EndpointHolds, "hold">;
  /** Opens the connections to endpoints. */
  readonly connector: SocketConnector;
  /** @returns The control of engines, which calls them by a client. */
  createControl(http: JsonCaller): EngineControl;
  /** @returns The configuration of a service, if there is one. */
  findService(id: ServiceId): GatewayService | undefined;
  /** @returns The other hosts that pass requests on. */
  relayPeers(): readonly RelayPeer[];
  /** Limits of the endpoints, which probes count against. */
  limits(): Pick<EndpointLimits, "isLimited" | "take">;
}

/** Clients for requests to endpoints and the state of the paths to them. */
export class GatewayPaths implements EnginePaths, OwnPaths, Disposable {
  readonly direct: DirectPaths;
  /** Client that sends only directly. */
  readonly directClient: VerifyingClient;
  /** Client that chooses the path. */
  readonly client: PathClient;
  /** Control of engines, on any path. */
  readonly control: EngineControl;
  readonly #services: GatewayPathsServices;
  readonly #connections: UndiciPassThroughClient;
  readonly #prober: PathProber;
  /** Verifies the ends of responses that end with their connection. */
  readonly #survival: EndpointSurvival;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the paths. */
  constructor(services: GatewayPathsServices) {
    const { clock, connector, createControl, registry } = services;
    this.#services = services;
    this.direct = new DirectPaths(clock);
    const fleet = this.#disposables.add(
      new FleetPaths({
        ...services,
        self: services.self.host,
        direct: this.direct,
      }),
    );
    const chooser = new RelayChooser({
      clock,
      random: services.random,
      zone: services.self.zone,
      peers: () => services.relayPeers(),
      hasLost: (host, address) => fleet.hasLost(host, address),
      zoneOf: (address) => this.#endpointAt(address)?.announcement.zone,
    });
    this.#connections = new UndiciPassThroughClient(clock, {
      observer: this.direct,
      connector,
    });
    this.directClient = new VerifyingClient(
      clock,
      this.#connections,
      (endpoint) => this.#createEndCheck(registry.get(endpoint)),
    );
    const directHttp = this.#disposables.add(
      new JsonClient(clock, undefined, connector, this.direct),
    );
    const probeHttp = this.#disposables.add(
      new JsonClient(clock, undefined, connector, this.direct),
    );
    this.#prober = this.#disposables.add(this.#createProber(probeHttp));
    this.client = this.#createClient(chooser);
    const controlHttp = new PathJsonCaller({
      clock,
      directCaller: directHttp,
      pathClient: this.client,
      chooser,
      direct: this.direct,
      groupOf: (address) => this.#groupOf(address),
      relayInstructions: (address, deadlineMs) =>
        this.#instructPeers(address, deadlineMs),
      checkSilent: (address) => void this.checkSilent(address),
    });
    this.control = createControl(controlHttp);
    // Copies of runs may use up the other connections to one that leaves.
    const leavingHttp = this.#disposables.add(
      new JsonClient(clock, undefined, connector, this.direct),
    );
    const [ask, askLeaving] = [directHttp, leavingHttp].map((http) =>
      this.#askBy(createControl(http))
    );
    this.#survival = new EndpointSurvival({
      ...services,
      askDirectly: (endpoint, kind) =>
        (endpoint.wasLeaving ? askLeaving! : ask!)(endpoint, kind),
      askThroughPeers: this.#askBy(createControl(controlHttp.throughPeer)),
      // A connection that is reset may be one too many for a living process.
      isRefused: ({ announcement }) =>
        this.direct.lossOf(announcement.address) === "refused",
    });
    this.#disposables.add(
      this.direct.onDidChange((change) => this.#onChanged(change)),
    );
    this.#disposables.add(registry.onDidRetire(({ announcement }) => {
      this.directClient.closeIdleConnections(announcement.address);
      this.direct.forget(announcement.address);
    }));
  }

  /** Since when neither this host nor a peer reaches an endpoint. */
  readonly unreachableSinceMs: UnreachableSince = ({ announcement }) =>
    this.client.unreachableSinceMs(announcement.address);

  /** @returns Whether this host cannot connect to an endpoint itself. */
  isLost({ announcement }: RegisteredEndpoint): boolean {
    return this.direct.isLost(announcement.address);
  }

  /** {@inheritDoc OwnPaths.recordTimeout} */
  recordTimeout({ announcement }: RegisteredEndpoint): void {
    this.direct.onOpenFailed(announcement.address, "timed-out");
  }

  /** {@inheritDoc EndpointSurvival.recordAnswer} */
  recordAnswer(endpoint: RegisteredEndpoint, sentMs: number): void {
    this.#survival.recordAnswer(endpoint, sentMs);
  }

  /** {@inheritDoc EnginePaths.recheck} */
  recheck({ announcement }: RegisteredEndpoint): Promise<boolean> {
    return this.#prober.recheck(announcement.address);
  }

  /** {@inheritDoc EnginePaths.isRefused} */
  isRefused({ announcement }: RegisteredEndpoint): boolean {
    const loss = this.direct.lossOf(announcement.address);
    return loss === "refused" || loss === "reset";
  }

  /**
   * Checks a path on which a request got no response.
   *
   * @returns Whether the endpoint answers on a new connection.
   */
  checkSilent(address: Address): Promise<boolean> {
    return this.#endpointAt(address)
      ? this.#prober.checkSilent(address)
      : Promise.resolve(false);
  }

  /** Number of connections to endpoints that this host has opened. */
  get openedCount(): number {
    return this.#connections.openedCount;
  }

  /** Stops probing and sharing. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #createClient(chooser: RelayChooser): PathClient {
    const { clock, holds, logger, metrics, self, signer } = this.#services;
    const relayClient = new UndiciPassThroughClient(clock);
    return new PathClient({
      clock,
      client: this.directClient,
      createRelayCheck: (peer, request) =>
        this.#createRelayCheck(peer, request),
      relays: new HttpRelaySender({
        self: self.host,
        clock,
        signer,
        client: relayClient,
      }),
      chooser,
      direct: this.direct,
      groupOf: (address) => this.#groupOf(address),
      probe: (address) => this.#prober.probe(address),
      onHeld: (address, retryAfterMs) => {
        const endpoint = this.#endpointAt(address);
        if (endpoint) holds.hold(endpoint, retryAfterMs);
      },
      onRelayed: (result) => metrics.count("requests_relayed", result),
      onRelayFailed: ({ request, tookMs, ...failed }) =>
        logger.log("info", "relay-failed", {
          request: request.requestId,
          endpoint: request.relay.endpoint,
          ...failed,
          tookMs: Math.round(tookMs),
        }),
    });
  }

  /** @param http - Client that no other requests use. */
  #createProber(http: JsonClient): PathProber {
    const { clock, createControl, limits } = this.#services;
    const control = createControl(http);
    return new PathProber({
      clock,
      direct: this.direct,
      trial: {
        openConnection: (address) => this.#connections.openConnection(address),
        requestAnswer: async (address) => {
          // Only a new connection shows whether the path works.
          http.closePool(address);
          const { kind } = await control.checkLiveness(address);
          return kind === "answered";
        },
        mayRequest: (address) => {
          const endpoint = this.#endpointAt(address);
          return endpoint !== undefined && !limits().isLimited(endpoint) &&
            !endpoint.isHeld(clock.monotonicMs());
        },
      },
    });
  }

  #onChanged({ address, loss, lostForMs }: DirectPathChange): void {
    const { logger, metrics } = this.#services;
    const endpoint = this.#endpointAt(address)?.id;
    if (loss === undefined) {
      logger.log("info", "direct-path-back", {
        endpoint,
        address,
        lostForMs: Math.round(lostForMs),
      });
      return;
    }
    // Connections opened earlier may no longer carry data.
    this.directClient.closeIdleConnections(address);
    metrics.count("direct_paths_lost", loss);
    logger.log("warn", "direct-path-lost", { endpoint, address, loss });
  }

  /**
   * @param endpoint - The process that writes the response; without one, its
   * end cannot be verified.
   * @param askOnPath - Asks on the path of the response, if it is not direct.
   */
  #createEndCheck(
    endpoint: RegisteredEndpoint | undefined,
    askOnPath?: LivenessQuestion,
  ): EndCheck {
    return async (endedSince, isCancelled) => {
      const survival = endpoint
        ? await this.#survival.check({
          endpoint,
          endedSince,
          askOnPath,
          isCancelled,
        })
        : "unknown";
      return survival === "outlived"
        ? undefined
        : `the connection ended with the response, the endpoint is ${survival}`;
    };
  }

  #createRelayCheck(peer: RelayPeer, { relay }: RelayableRequest): EndCheck {
    const { clock, createControl, registry } = this.#services;
    const { endpoint } = relay;
    const control = createControl(
      new RelayedJsonCaller(
        clock,
        (_address, deadlineMs) => ({
          endpoint,
          purpose: "control",
          deadlineMs,
        }),
        (request, listener) => this.client.sendThrough(peer, request, listener),
      ),
    );
    return this.#createEndCheck(registry.get(endpoint), this.#askBy(control));
  }

  /** @returns What peers have to know to pass a control request on. */
  #instructPeers(
    address: Address,
    deadlineMs: number,
  ): RelayInstructions | undefined {
    const endpoint = this.#endpointAt(address)?.id;
    return endpoint &&
      { endpoint, purpose: "control", deadlineMs };
  }

  #endpointAt(address: Address): RegisteredEndpoint | undefined {
    const { registry } = this.#services;
    // An address may be used again while its previous endpoint is still listed.
    return registry.all.findLast(({ announcement, isPresent }) =>
      isPresent && announcement.address === address
    );
  }

  #askBy(control: EngineControl): LivenessQuestion {
    return ({ announcement, id }, kind) => {
      const { address, service } = announcement;
      const healthPath = this.#services.findService(service)?.healthPath;
      return kind === "liveness" || healthPath === undefined
        ? control.checkLiveness(address)
        : control.identify(address, id, healthPath);
    };
  }

  #groupOf(address: Address): readonly Address[] {
    const { registry } = this.#services;
    const service = this.#endpointAt(address)?.announcement.service;
    if (service === undefined) return [];
    return registry.usable(service).map(({ announcement }) =>
      announcement.address
    );
  }
}
