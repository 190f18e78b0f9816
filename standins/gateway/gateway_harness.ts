/**
 * Test harness: one gateway on a manual clock in front of scripted endpoints.
 */

import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { createHasher } from "../../src/base/common/hasher.ts";
import { fingerprint } from "../../src/base/node/fingerprint.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { AnswerObserver } from "../../src/features/gateway/common/monitoring/answer_observer.ts";
import { EndpointChooser } from "../../src/features/gateway/common/placement/endpoint_chooser.ts";
import { CrashMonitor } from "../../src/features/gateway/common/crashes/crash_monitor.ts";
import { EndpointEligibility } from "../../src/features/gateway/common/endpoints/endpoint_eligibility.ts";
import { ZoneEvacuations } from "../../src/features/gateway/common/endpoints/zone_evacuations.ts";
import { ColdEndpoints } from "../../src/features/gateway/common/endpoints/cold_endpoints.ts";
import { RegionPolicy } from "../../src/features/gateway/common/configuration/region_policy.ts";
import { EndpointHolds } from "../../src/features/gateway/common/endpoints/endpoint_holds.ts";
import { EndpointLimits } from "../../src/features/gateway/common/limits/endpoint_limits.ts";
import { LimitRights } from "../../src/features/gateway/common/limits/limit_rights.ts";
import { LimitTable } from "../../src/features/gateway/common/limits/limit_table.ts";
import { NOOP_DISPOSABLE } from "../../src/base/common/lifecycle.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { EndpointProbe } from "../../src/features/gateway/common/monitoring/endpoint_probe.ts";
import {
  EndpointRegistry,
  type RegisteredEndpoint,
} from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { Gateway } from "../../src/features/gateway/common/gateway.ts";
import { GatewayMetrics } from "../../src/features/gateway/common/metrics/gateway_metrics.ts";
import { ConfigurationState } from "../../src/features/gateway/common/configuration/configuration_state.ts";
import { EndpointPaces } from "../../src/features/gateway/common/load/endpoint_pace.ts";
import { LoadTable } from "../../src/features/gateway/common/load/load_table.ts";
import {
  type GenerationPlacer,
  PlacementQueue,
} from "../../src/features/gateway/common/placement/placement_queue.ts";
import { OutputLengths } from "../../src/features/gateway/common/generations/output_lengths.ts";
import { RunMigrator } from "../../src/features/gateway/common/requests/run_migrator.ts";
import { RunStopper } from "../../src/features/gateway/common/requests/run_stopper.ts";
import type { PassThroughClient } from "../../src/services/http/common/pass_through_client.ts";
import { PromptPartMonitor } from "../../src/features/gateway/common/crashes/prompt_part_monitor.ts";
import { PromptPartTable } from "../../src/features/quarantine/common/prompt_part_table.ts";
import { PlannedStop } from "../../src/features/gateway/common/requests/planned_stop.ts";
import { SoftwareVersionHistory } from "../../src/features/gateway/common/versions/software_version_history.ts";
import { StreamVersionTable } from "../../src/features/gateway/common/versions/stream_versions.ts";
import { SuspectTable } from "../../src/features/quarantine/common/suspect_table.ts";
import { BrittleTable } from "../../src/features/brittle/common/brittle_table.ts";
import { RoomPermits } from "../../src/features/brittle/common/room_permits.ts";
import type { PeerOverlay } from "../../src/services/peers/common/peer_overlay.ts";
import {
  type HedgeLimits,
  RetryBudget,
} from "../../src/features/retries/common/retry_budget.ts";
import type {
  LogFields,
  Logger,
  LogLevel,
} from "../../src/services/log/common/logger.ts";
import {
  APP,
  configuration,
  KEY,
  REGION_SETTINGS,
  ZONE,
} from "./harness_configuration.ts";
import { BodyBudget } from "../../src/services/http/common/body_budget.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { FakeEngineControl } from "./fake_engine_control.ts";
import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { FakeGatewayCodec } from "./fake_gateway_codec.ts";

/** Records log lines with their fields. */
export class RecordingLogger implements Logger {
  readonly lines: { level: LogLevel; event: string; fields: LogFields }[] = [];

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.lines.push({ level, event, fields });
  }

  /** @returns The fields of the latest line of an event. */
  lastFields(event: string): LogFields | undefined {
    return this.lines.findLast((line) => line.event === event)?.fields;
  }
}

/** Parts of a harness that a test may replace. */
export interface GatewayHarnessOptions {
  /** Clock shared by several gateways. */
  readonly clock?: ManualClock;
  /** Seed of the random choice between equal endpoints. */
  readonly seed?: number;
  /** Client that replaces the scripted endpoints. */
  readonly client?: PassThroughClient;
  /** Whether other processes have served before this one. */
  readonly hasPredecessor?: boolean;
  /** Whether endpoints are chosen without regard to their speeds. */
  readonly ignoresPaces?: boolean;
  /** Limits of hedges; without them, no call is hedged. */
  readonly hedgeLimits?: HedgeLimits;
  readonly createPlacer?: (
    harness: GatewayHarness,
    chooser: EndpointChooser,
  ) => GenerationPlacer;
}

const HOST = "host-1" as HostId;
const LONE_OVERLAY: PeerOverlay = {
  onDidChangeHomeHub: () => NOOP_DISPOSABLE,
  isHub: true,
  homeHub: () => undefined,
  zoneHubFor: () => HOST,
  linkedHubs: () => [],
  linkedLeaves: () => [],
};

/** A gateway with its dependencies. */
export class GatewayHarness {
  readonly clock: ManualClock;
  readonly logger = new RecordingLogger();
  readonly endpoints = new FakeEndpoints();
  readonly engineControl = new FakeEngineControl();
  readonly metrics = new GatewayMetrics();
  readonly registry: EndpointRegistry;
  readonly eligibility: EndpointEligibility;
  readonly evacuations: ZoneEvacuations;
  readonly regions: RegionPolicy;
  readonly loadTable: LoadTable;
  readonly paces: EndpointPaces;
  readonly suspects: SuspectTable;
  readonly promptParts: PromptPartTable;
  readonly limitTable: LimitTable;
  readonly streamVersions: StreamVersionTable;
  readonly softwareVersions: SoftwareVersionHistory;
  /** Whether the registry can be confirmed to contain all endpoints. */
  canConfirmView = true;
  /** Called when the registry is to be confirmed. */
  onConfirmView: () => void = () => undefined;
  readonly stop: PlannedStop;
  readonly state = new ConfigurationState(
    this.logger,
    () => this.confirmationAgeMs,
  );
  confirmationAgeMs = 0;
  /** Addresses to which this host cannot connect itself. */
  readonly lostPaths = new Set<Address>();
  /** Addresses whose direct path was to be checked. */
  readonly silentPaths: Address[] = [];
  readonly gateway: Gateway;
  #requestCount = 0;

  private constructor(
    hasher: Awaited<ReturnType<typeof createHasher>>,
    { client, createPlacer, ...options }: GatewayHarnessOptions,
  ) {
    this.clock = options.clock ?? new ManualClock();
    this.registry = new EndpointRegistry(this.clock, this.logger);
    this.evacuations = new ZoneEvacuations(this.clock, this.logger);
    this.eligibility = new EndpointEligibility(this.clock, this.registry, {
      isEvacuated: (zone) => this.evacuations.isEvacuated(zone),
      regionOf: (zone) => this.regions.regionOf(zone),
    });
    this.regions = new RegionPolicy({
      logger: this.logger,
      state: this.state,
      zone: ZONE,
      settings: () => REGION_SETTINGS,
    });
    this.loadTable = new LoadTable(this.clock);
    this.paces = new EndpointPaces(this.clock, this.loadTable);
    this.suspects = new SuspectTable(this.clock);
    this.stop = new PlannedStop(this.clock);
    this.streamVersions = new StreamVersionTable(this.clock);
    this.softwareVersions = new SoftwareVersionHistory(
      this.clock,
      this.registry,
      { ageMs: 0, confirm: () => this.#confirmView() },
    );
    this.state.onDidChange(({ configuration }) => {
      this.softwareVersions.setRoutes(configuration.routes);
    });
    if (!options.hasPredecessor) this.softwareVersions.markComplete();
    this.promptParts = new PromptPartTable(
      this.clock,
      () => this.suspects.listQuarantined().map(({ endpoints }) => endpoints),
    );
    const { clock, logger, metrics, registry, loadTable, engineControl } = this;
    const { paces } = this;
    const random = new SeededRandom(options.seed ?? 1);
    const isRefused = ({ announcement }: RegisteredEndpoint): boolean =>
      engineControl.offline.has(announcement.address);
    const cold = new ColdEndpoints({
      clock,
      registry,
      findService: (id) => this.state.current?.configuration.services.get(id),
    });
    const chooser = new EndpointChooser(
      clock,
      registry,
      loadTable,
      random,
      ZONE,
      {
        cold,
        eligibility: this.eligibility,
        paces: options.ignoresPaces ? undefined : paces,
      },
    );
    this.limitTable = new LimitTable(clock, cold);
    const peers = {
      self: HOST,
      clock,
      logger,
      hasher,
      links: new InProcessNetwork().addHost(HOST, clock),
      overlay: LONE_OVERLAY,
      reach: {
        fleetSize: 1,
        fleetIndex: 0,
        plannedHubs: new Set([HOST]),
        reachableShare: 1,
      },
    };
    const brittle = new BrittleTable(clock);
    const limits = new EndpointLimits({
      clock,
      registry,
      table: this.limitTable,
      rights: new LimitRights({ ...peers, metrics, table: this.limitTable }),
      brittle,
      rooms: new RoomPermits({
        ...peers,
        table: brittle,
        reportedRuns: (endpoint) => loadTable.totalUsage(endpoint).runs,
        count: (event) => metrics.count("room_permits", event),
      }),
    });
    this.gateway = new Gateway(
      {
        clock,
        logger,
        metrics,
        codec: new FakeGatewayCodec(),
        client: client ?? this.endpoints,
        bodies: new BodyBudget(() => 10_000_000),
        registry,
        eligibility: this.eligibility,
        regions: this.regions,
        loadTable,
        paces,
        chooser,
        placer: createPlacer?.(this, chooser) ??
          new PlacementQueue(clock, chooser, new SeededRandom(2)),
        budget: new RetryBudget({
          clock,
          random,
          hedgeLimits: () => options.hedgeLimits,
        }),
        outputLengths: new OutputLengths(),
        probe: new EndpointProbe(
          clock,
          logger,
          metrics,
          {
            control: engineControl,
            isLost: ({ announcement }) =>
              this.lostPaths.has(announcement.address),
            recheck: () => Promise.resolve(false),
            isRefused,
          },
          limits,
        ),
        migrator: new RunMigrator(clock, engineControl, limits),
        runStopper: new RunStopper({
          clock,
          logger,
          metrics,
          control: engineControl,
          limits,
        }),
        crashMonitor: new CrashMonitor({
          clock,
          logger,
          metrics,
          host: HOST,
          registry,
          control: engineControl,
          isRefused,
          suspects: this.suspects,
          prompts: new PromptPartMonitor({
            clock,
            logger,
            metrics,
            hasher,
            host: HOST,
            overlay: { isHub: true, linkedHubs: () => [] },
            registry,
            parts: this.promptParts,
          }),
        }),
        answers: new AnswerObserver({
          holds: new EndpointHolds(clock, logger, metrics, random),
          limits,
          leavingMarks: {
            mark: ({ id }, reason) => registry.markDraining(id, reason),
          },
          paths: { recordAnswer: () => undefined },
          loads: paces,
        }),
        limits,
        checkSilentPath: (address) => {
          this.silentPaths.push(address);
          return Promise.resolve(!engineControl.silent.has(address));
        },
        streamVersions: this.streamVersions,
        softwareVersions: this.softwareVersions,
        stop: this.stop,
        fingerprint,
      },
      this.state,
      () => ({
        maxConfirmationAgeForKeysMs: 4_400,
        maxConfirmationAgeForUnknownMs: 1_900,
      }),
      hasher,
    );
  }

  #confirmView(): Promise<boolean> {
    this.onConfirmView();
    return Promise.resolve(this.canConfirmView);
  }

  /** @returns A harness with an active configuration. */
  static async create(
    options: GatewayHarnessOptions = {},
  ): Promise<GatewayHarness> {
    const harness = new GatewayHarness(await createHasher(), options);
    harness.state.apply(configuration(1), 1);
    return harness;
  }

  /**
   * Announces an endpoint whose address ends with its number.
   *
   * @returns The id of the endpoint.
   */
  announce(
    service: ServiceId,
    number: number,
    bornMs = 1,
    warmUpRemainingMs = 0,
    zone = ZONE,
  ): EndpointId {
    const id = `${service}-${number}` as EndpointId;
    this.registry.announce({
      id,
      service,
      address: this.addressOf(number),
      zone,
      slots: service === APP ? 6 : 24,
      bornMs,
      isDraining: false,
      warmUpRemainingMs,
    });
    return id;
  }

  /** @returns The address of the endpoint with a number. */
  addressOf(number: number): Address {
    return `10.0.0.${number}:80` as Address;
  }

  /** Sends a caller's request and waits until it reaches its endpoint. */
  async send(
    target: string,
    headers: readonly string[] = ["key", KEY],
    body?: Uint8Array,
  ): Promise<FakeCallerExchange> {
    this.#requestCount++;
    const exchange = new FakeCallerExchange({
      target,
      headers: [
        "host",
        "app.example",
        "id",
        `r${this.#requestCount}`,
        ...headers,
        // The first value of a header takes effect, so a test can override it.
        "prompt",
        "3000,2000",
      ],
      receivedMs: this.clock.monotonicMs(),
      ...(body && { body }),
    });
    void this.gateway.handle(exchange);
    await flushPromises();
    return exchange;
  }

  /** Advances the clock and runs all resulting work. */
  async advance(byMs: number): Promise<void> {
    await this.clock.advanceAsync(byMs);
  }
}
