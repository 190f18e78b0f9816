/** Composes the entry point for callers' requests on one gateway daemon. */

import type { BodyBudget } from "../../services/http/common/body_budget.ts";
import type { Clock } from "../../base/common/clock.ts";
import type { Hasher } from "../../base/common/hasher.ts";
import type { Address, HostId, ServiceId } from "../../base/common/ids.ts";
import type { Disposable } from "../../base/common/lifecycle.ts";
import type { SeededRandom } from "../../base/common/random.ts";
import type { GatewayService } from "../../features/gateway/common/configuration/gateway_configuration.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import type { CrashMonitor } from "../../features/gateway/common/crashes/crash_monitor.ts";
import type { LeavingMarks } from "../../features/gateway/common/endpoints/leaving_marks.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import { Gateway } from "../../features/gateway/common/gateway.ts";
import type { EndpointLimits } from "../../features/gateway/common/limits/endpoint_limits.ts";
import type { GatewayMetrics } from "../../features/gateway/common/metrics/gateway_metrics.ts";
import type { AnswerObserver } from "../../features/gateway/common/monitoring/answer_observer.ts";
import {
  EndpointProbe,
  type EnginePaths,
} from "../../features/gateway/common/monitoring/endpoint_probe.ts";
import { EngineReportPoller } from "../../features/gateway/common/monitoring/engine_report_poller.ts";
import type { GatewayCodec } from "../../features/gateway/common/protocol/gateway_codec.ts";
import type { GatewayServices } from "../../features/gateway/common/requests/gateway_services.ts";
import { PlannedStop } from "../../features/gateway/common/requests/planned_stop.ts";
import { OutputLengths } from "../../features/gateway/common/generations/output_lengths.ts";
import { RunMigrator } from "../../features/gateway/common/requests/run_migrator.ts";
import { RunStopper } from "../../features/gateway/common/requests/run_stopper.ts";
import type { PassThroughClient } from "../../services/http/common/pass_through_client.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { GatewayEligibility } from "./gateway_eligibility.ts";
import type { GatewayPlacement } from "./gateway_placement.ts";
import { createRetryBudget } from "./gateway_retry_budget.ts";
import type { ReloadableGatewaySettings } from "./gateway_settings.ts";
import type { GatewayStreamVersions } from "./gateway_stream_versions.ts";
import { admissionLimits } from "./settings_limits.ts";

/** Paths of requests to endpoints. */
export interface RequestPaths extends EnginePaths {
  readonly client: PassThroughClient;
  /** @returns Whether an endpoint answers on a new direct connection. */
  checkSilent(address: Address): Promise<boolean>;
}

/** Dependencies of {@link createGateway}. */
export interface GatewayFactoryServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly random: SeededRandom;
  readonly hasher: Hasher;
  readonly codec: GatewayCodec;
  readonly fingerprint: GatewayServices["fingerprint"];
  readonly state: ConfigurationState;
  readonly registry: EndpointRegistry;
  readonly eligibility: GatewayEligibility;
  readonly placement: GatewayPlacement;
  readonly paths: RequestPaths;
  readonly bodies: BodyBudget;
  readonly crashMonitor: CrashMonitor;
  readonly answers: AnswerObserver;
  readonly limits: EndpointLimits;
  readonly streamVersions: GatewayStreamVersions;
  /** @returns The current settings. */
  settings(): ReloadableGatewaySettings;
  /** @returns The number of daemons that share the budget of the fleet. */
  fleetSize(): number;
}

/** @returns The gateway, which handles requests from now on. */
export function createGateway(services: GatewayFactoryServices): Gateway {
  const { clock, hasher, limits, logger, metrics, paths, placement, random } =
    services;
  return new Gateway(
    {
      clock,
      logger,
      metrics,
      codec: services.codec,
      client: paths.client,
      bodies: services.bodies,
      registry: services.registry,
      eligibility: services.eligibility.endpoints,
      regions: services.eligibility.regions,
      loadTable: placement.loadTable,
      paces: placement.paces,
      chooser: placement.chooser,
      placer: placement.placer,
      budget: createRetryBudget({
        host: services.self,
        clock,
        random,
        hasher,
        settings: services.settings,
        fleetSize: services.fleetSize,
      }),
      outputLengths: new OutputLengths(),
      probe: new EndpointProbe(clock, logger, metrics, paths, limits),
      migrator: new RunMigrator(clock, paths.control, limits),
      runStopper: new RunStopper({
        clock,
        logger,
        metrics,
        control: paths.control,
        limits,
      }),
      crashMonitor: services.crashMonitor,
      answers: services.answers,
      limits,
      checkSilentPath: (address) => paths.checkSilent(address),
      streamVersions: services.streamVersions.table,
      softwareVersions: services.streamVersions.history,
      stop: new PlannedStop(clock),
      fingerprint: services.fingerprint,
    },
    services.state,
    () => admissionLimits(services.settings()),
    hasher,
  );
}

/** Dependencies of {@link pollEngineReports}. */
export interface EngineReportServices extends GatewayFactoryServices {
  readonly leavingMarks: LeavingMarks;
  readonly overlay: PeerOverlay;
  /** @returns The configuration of a service, if there is one. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** @returns The polls of the engines' reports, which run until disposed of. */
export function pollEngineReports(services: EngineReportServices): Disposable {
  const { clock, findService, hasher, limits, logger, paths } = services;
  return new EngineReportPoller(
    services.self,
    clock,
    hasher,
    logger,
    services.leavingMarks,
    limits,
    services.overlay,
    services.registry,
    paths.control,
    ({ announcement }) =>
      findService(announcement.service)?.engine !== undefined,
  );
}
