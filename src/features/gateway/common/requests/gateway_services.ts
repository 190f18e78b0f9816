/** Dependencies shared by the forwarders of calls and generations. */

import type { Clock } from "../../../../base/common/clock.ts";
import type { Address } from "../../../../base/common/ids.ts";
import type { BodyBudget } from "../../../../services/http/common/body_budget.ts";
import type { PassThroughClient } from "../../../../services/http/common/pass_through_client.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { RetryBudget } from "../../../retries/common/retry_budget.ts";
import type { AnswerObserver } from "../monitoring/answer_observer.ts";
import type { EndpointChooser } from "../placement/endpoint_chooser.ts";
import type { CrashMonitor } from "../crashes/crash_monitor.ts";
import type { EndpointProbe } from "../monitoring/endpoint_probe.ts";
import type { RegionPolicy } from "../configuration/region_policy.ts";
import type { EndpointEligibility } from "../endpoints/endpoint_eligibility.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayCodec } from "../protocol/gateway_codec.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { EndpointPaces } from "../load/endpoint_pace.ts";
import type { LoadTable } from "../load/load_table.ts";
import type { GenerationPlacer } from "../placement/placement_queue.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { RunMigrator } from "./run_migrator.ts";
import type { RunStopper } from "./run_stopper.ts";
import type { SoftwareVersionHistory } from "../versions/software_version_history.ts";
import type { StreamVersionTable } from "../versions/stream_versions.ts";

/** What a caller states of the output of its generation. */
export interface OutputLimits {
  readonly maxTokens: number;
  /** Length that it expects, if it says so. */
  readonly hintedTokens: number | undefined;
}

/** Learns and forecasts the output lengths of routes. */
export interface OutputLengthModel {
  /**
   * @param route - Name of the route.
   * @param generatedTokens - Output so far, in tokens.
   * @param limits - What the caller states.
   * @returns The expected length of the whole output in tokens, or `undefined`
   * if what the caller states is to be used.
   */
  forecast(
    route: string,
    generatedTokens: number,
    limits: OutputLimits,
  ): number | undefined;
  /**
   * Records that an output has grown.
   *
   * @param route - Name of the route.
   * @param fromTokens - Length that was recorded before, in tokens.
   * @param toTokens - Length now, in tokens.
   */
  recordProgress(route: string, fromTokens: number, toTokens: number): void;
  /**
   * Records a complete output.
   *
   * @param route - Name of the route.
   * @param tokens - Its length, in tokens.
   * @param countedTokens - Length that was recorded before, in tokens.
   * @param limits - What the caller stated.
   */
  recordCompletion(
    route: string,
    tokens: number,
    countedTokens: number,
    limits: OutputLimits,
  ): void;
}

/** Dependencies of the forwarders. */
export interface GatewayServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly codec: GatewayCodec;
  readonly client: PassThroughClient;
  /** Memory of the bodies of requests. */
  readonly bodies: BodyBudget;
  readonly registry: EndpointRegistry;
  /** Decides which endpoints may serve a request. */
  readonly eligibility: EndpointEligibility;
  /** Regions to which requests are restricted. */
  readonly regions: RegionPolicy;
  readonly loadTable: LoadTable;
  readonly paces: EndpointPaces;
  readonly chooser: EndpointChooser;
  readonly budget: RetryBudget;
  /**
   * Assigns endpoints to generations and queues those that wait for capacity.
   */
  readonly placer: GenerationPlacer;
  readonly outputLengths: OutputLengthModel;
  readonly probe: EndpointProbe;
  readonly migrator: RunMigrator;
  readonly runStopper: RunStopper;
  readonly crashMonitor: CrashMonitor;
  /** Applies what answers say of their endpoints. */
  readonly answers: AnswerObserver;
  readonly limits: EndpointLimits;
  /**
   * Checks the direct path on which a request got no response.
   *
   * @returns Whether the endpoint answers on a new connection.
   */
  checkSilentPath(address: Address): Promise<boolean>;
  readonly streamVersions: StreamVersionTable;
  readonly softwareVersions: SoftwareVersionHistory;
  readonly stop: PlannedStop;
  /** @returns A collision-resistant hash of the parts. */
  fingerprint(parts: readonly (string | Uint8Array)[]): string;
}
