/** One gateway on a manual clock, before scripted endpoints. */

import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { createHasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  RequestId,
  ServiceId,
  WorkspaceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import { EndpointChooser } from "../../src/features/gateway/common/endpoint_chooser.ts";
import { EndpointProbe } from "../../src/features/gateway/common/endpoint_probe.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoint_registry.ts";
import type {
  CopyFailure,
  EngineControl,
  EngineReport,
  GenerationCopy,
} from "../../src/features/gateway/common/engine_control.ts";
import { Gateway } from "../../src/features/gateway/common/gateway.ts";
import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
} from "../../src/features/gateway/common/gateway_configuration.ts";
import { GatewayMetrics } from "../../src/features/gateway/common/gateway_metrics.ts";
import { ConfigurationState } from "../../src/features/gateway/common/configuration_state.ts";
import { LoadTable } from "../../src/features/gateway/common/load_table.ts";
import {
  type GenerationPlacer,
  PlacementQueue,
} from "../../src/features/gateway/common/placement_queue.ts";
import { RunMigrator } from "../../src/features/gateway/common/run_migrator.ts";
import type { PassThroughClient } from "../../src/services/http/common/pass_through_client.ts";
import { RetryBudget } from "../../src/features/retries/common/retry_budget.ts";
import type {
  LogFields,
  Logger,
  LogLevel,
} from "../../src/services/log/common/logger.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { FakeGatewayCodec } from "./fake_gateway_codec.ts";

export const APP = "app" as ServiceId;
export const ENGINE = "engine" as ServiceId;
export const ZONE = "zone-a" as ZoneName;
export const KEY = "key-1";

/** Engines as tests want them. */
export class FakeEngineControl implements EngineControl {
  /** Engines that give no report. */
  readonly offline = new Set<Address>();
  readonly copies: { source: Address; target: Address; id: RequestId }[] = [];
  readonly freedCopies: string[] = [];
  copyFailure: CopyFailure | undefined;

  readReport(address: Address): AsyncEither<string, EngineReport> {
    if (this.offline.has(address)) return Promise.resolve(Left("no answer"));
    return Promise.resolve(Right({
      isDraining: false,
      shutdownInMs: undefined,
      bornMs: undefined,
    }));
  }

  copyRun(
    source: Address,
    target: Address,
    id: RequestId,
  ): AsyncEither<CopyFailure, GenerationCopy> {
    if (this.copyFailure) return Promise.resolve(Left(this.copyFailure));
    this.copies.push({ source, target, id });
    return Promise.resolve(Right({ name: `h${this.copies.length}` }));
  }

  freeCopy(_source: Address, name: string): Promise<void> {
    this.freedCopies.push(name);
    return Promise.resolve();
  }

  copyReference(source: Address, name: string): string {
    return `${source}/${name}`;
  }
}

/** Keeps log lines with their fields. */
export class RecordingLogger implements Logger {
  readonly lines: { level: LogLevel; event: string; fields: LogFields }[] = [];

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.lines.push({ level, event, fields });
  }

  /** @returns Fields of the newest line of an event. */
  lastFields(event: string): LogFields | undefined {
    return this.lines.findLast((line) => line.event === event)?.fields;
  }
}

const BASE_ROUTE: GatewayRoute = {
  name: "route",
  host: "app.example",
  prefix: "/",
  kind: { kind: "idempotent" },
  timeoutMs: 1_500,
  objectiveMs: 150,
  eventGapObjectiveMs: 180,
  priority: 1,
  targets: [{ service: APP, weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
};

const GENERATION_ROUTE: Partial<GatewayRoute> = {
  targets: [{ service: ENGINE, weight: 1 }],
  timeoutMs: 39_000,
  objectiveMs: 1_800,
};

/** Routes of the world: calls of both kinds, generations of both kinds. */
export const ROUTES: readonly GatewayRoute[] = [
  { ...BASE_ROUTE, name: "read", prefix: "/read/" },
  {
    ...BASE_ROUTE,
    name: "book",
    prefix: "/book/",
    kind: { kind: "non-idempotent" },
    maxAttempts: 1,
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "draft",
    prefix: "/draft/",
    kind: { kind: "generation", isResumable: false },
    maxAttempts: 1,
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "check",
    prefix: "/check/",
    kind: { kind: "generation", isResumable: true },
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "short",
    prefix: "/short/",
    kind: { kind: "generation", isResumable: false },
    timeoutMs: 6_000,
    objectiveMs: 1_500,
    priority: 2,
    maxAttempts: 1,
  },
  { ...BASE_ROUTE, name: "open", prefix: "/open/", isPublic: true },
];

/** @returns The engine service with the given memory. */
export function engineService(memoryTokens = 34_000): GatewayService {
  return {
    id: ENGINE,
    maxConnections: 100,
    engine: {
      slots: 24,
      memoryTokens,
      tokensPerEvent: 4,
      canMigrate: true,
      canBackUp: true,
    },
  };
}

/** @returns A configuration with the world's routes. */
export function configuration(
  version: number,
  changes: Partial<GatewayConfiguration> = {},
): GatewayConfiguration {
  return {
    version,
    routes: ROUTES,
    services: new Map([
      [APP, { id: APP, maxConnections: 100, engine: undefined }],
      [ENGINE, engineService()],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    keys: new Map([
      [KEY, { workspace: "w" as WorkspaceId, priority: undefined }],
    ]),
    ...changes,
  };
}

/** Parts of a world that a test brings itself. */
export interface GatewayHarnessOptions {
  /** Clock that several gateways share. */
  readonly clock?: ManualClock;
  /** Seed of the choices among equal endpoints. */
  readonly seed?: number;
  /** Endpoints of another kind than the scripted ones. */
  readonly client?: PassThroughClient;
  readonly createPlacer?: (
    world: GatewayHarness,
    chooser: EndpointChooser,
  ) => GenerationPlacer;
}

/** A gateway with its surroundings. */
export class GatewayHarness {
  readonly clock: ManualClock;
  readonly logger = new RecordingLogger();
  readonly endpoints = new FakeEndpoints();
  readonly engineControl = new FakeEngineControl();
  readonly metrics = new GatewayMetrics();
  readonly registry: EndpointRegistry;
  readonly loadTable: LoadTable;
  readonly state = new ConfigurationState(
    this.logger,
    () => this.confirmationAgeMs,
  );
  confirmationAgeMs = 0;
  readonly gateway: Gateway;
  #requestCount = 0;

  private constructor(
    hasher: Awaited<ReturnType<typeof createHasher>>,
    { client, createPlacer, ...options }: GatewayHarnessOptions,
  ) {
    this.clock = options.clock ?? new ManualClock();
    this.registry = new EndpointRegistry(this.clock, this.logger);
    this.loadTable = new LoadTable(this.clock);
    const {
      clock,
      logger,
      metrics,
      registry,
      loadTable: board,
      engineControl: control,
    } = this;
    const random = new SeededRandom(options.seed ?? 1);
    const chooser = new EndpointChooser(clock, registry, board, random, ZONE);
    this.gateway = new Gateway(
      {
        clock,
        logger,
        metrics,
        codec: new FakeGatewayCodec(),
        client: client ?? this.endpoints,
        registry,
        loadTable: board,
        chooser,
        placer: createPlacer?.(this, chooser) ??
          new PlacementQueue(clock, chooser),
        budget: new RetryBudget({ clock, random }),
        probe: new EndpointProbe(clock, logger, metrics, control),
        migrator: new RunMigrator(clock, control),
      },
      this.state,
      () => ({
        maxConfirmationAgeForKeysMs: 4_400,
        maxConfirmationAgeForUnknownMs: 1_900,
        maxBodyBytesInUse: 10_000_000,
      }),
      hasher,
    );
  }

  /** @returns A world with a configuration in force. */
  static async create(
    options: GatewayHarnessOptions = {},
  ): Promise<GatewayHarness> {
    const world = new GatewayHarness(await createHasher(), options);
    world.state.apply(configuration(1), 1);
    return world;
  }

  /** Announces an endpoint; its address ends with its number. */
  announce(
    service: ServiceId,
    number: number,
    bornMs = 1,
    coldLeftMs = 0,
  ): EndpointId {
    const id = `${service}-${number}` as EndpointId;
    this.registry.announce({
      id,
      service,
      address: this.addressOf(number),
      zone: ZONE,
      slots: service === APP ? 6 : 24,
      bornMs,
      isDraining: false,
      warmUpRemainingMs: coldLeftMs,
    });
    return id;
  }

  /** @returns The address of an endpoint's number. */
  addressOf(number: number): Address {
    return `10.0.0.${number}:80` as Address;
  }

  /** Sends a request of a caller and lets it reach its endpoint. */
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
        // The first value of a header counts.
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

  /** Moves time and lets everything settle. */
  async advance(byMs: number): Promise<void> {
    await this.clock.advanceAsync(byMs);
  }
}
