/**
 * Simulates a load of generations that pass through complete gateways to
 * batching engines, and counts how callers are served.
 */

import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import type {
  Address,
  HostId,
  WorkspaceId,
} from "../../src/base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../src/base/common/lifecycle.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { EndpointPaceSync } from "../../src/features/gateway/common/load/endpoint_pace_sync.ts";
import type { KeyHolder } from "../../src/features/gateway/common/configuration/gateway_configuration.ts";
import type { EndpointChooser } from "../../src/features/gateway/common/placement/endpoint_chooser.ts";
import type {
  GenerationPlacer,
  PlacementRequest,
} from "../../src/features/gateway/common/placement/placement_queue.ts";
import type { PeerOverlay } from "../../src/services/peers/common/peer_overlay.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../src/services/http/common/pass_through_client.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { BatchingEngine, type EngineWork } from "./batching_engine.ts";
import { FakeTransfer } from "./fake_endpoints.ts";
import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import type { LoadKind, LoadOptions } from "./load_options.ts";
import { createZonePlacer, PLACER_HOST } from "./zone_placer_fixture.ts";
import { GatewayHarness, type RecordingLogger } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  engineService,
  KEY,
} from "./harness_configuration.ts";

/** One generation of a simulation and how it was served. */
export interface SimulatedGeneration {
  readonly kind: LoadKind["name"];
  readonly priority: number;
  readonly promptTokens: number;
  readonly result: "onTime" | "overdue" | "refused" | "failed";
  /** Time to the first byte or the refusal, in milliseconds. */
  readonly answeredAfterMs: number;
  /** Longest gap between two events, in milliseconds. */
  readonly longestGapMs: number;
  /** `Retry-After` of a refusal, in seconds. */
  readonly retryAfterS: number | undefined;
}

/** Results of one kind of request. */
export interface RequestCounts {
  requested: number;
  /** Complete, with the first event within the objective. */
  onTime: number;
  overdue: number;
  refused: number;
  failed: number;
  /** With a gap between two writes above the objective. */
  gapped: number;
}

/** Request that was sent to an engine. */
export interface EngineStart {
  /** Number of the engine. */
  readonly engine: number;
  /** Time since the start of the simulation in milliseconds. */
  readonly atMs: number;
}

/** Results of a simulation. */
export interface LoadOutcome {
  readonly drafts: RequestCounts;
  readonly checks: RequestCounts;
  /** Requests that were sent to engines, in order. */
  readonly starts: readonly EngineStart[];
  /** Tokens that engines prefilled again after preemptions. */
  readonly recomputedTokens: number;
  readonly generations: readonly SimulatedGeneration[];
  /** Log lines of all gateways. */
  readonly logLines: RecordingLogger["lines"];
}

const DRAFT: EngineWork = {
  promptTokens: 3_079,
  outputTokens: 744,
  priority: 1,
};
const CHECK: EngineWork = {
  promptTokens: 2_550,
  outputTokens: 12,
  priority: 2,
};
const DRAFT_OBJECTIVE_MS = 1_800;
const CHECK_OBJECTIVE_MS = 1_500;
const EVENT_GAP_OBJECTIVE_MS = 180;
const SIZE_VARIATION = 0.5;
/** Workspaces with a priority of their own, by key. */
const PRIORITIES = [0, 1, 2];
/** Time for all generations to complete. */
const COMPLETION_MS = 60_000;
const TOKENS_PER_EVENT = 4;
const SLOTS = 24;
const MAX_WAITING = 12;

/** Records when the response started. */
class TimedExchange extends FakeCallerExchange {
  firstByteMs: number | undefined;
  longestGapMs = 0;
  #lastWriteMs: number | undefined;
  refusedMs: number | undefined;
  readonly #nowMs: () => number;

  constructor(
    request: ConstructorParameters<typeof FakeCallerExchange>[0],
    nowMs: () => number,
  ) {
    super(request);
    this.#nowMs = nowMs;
  }

  override sendHead(...args: Parameters<FakeCallerExchange["sendHead"]>): void {
    this.firstByteMs = this.#nowMs();
    super.sendHead(...args);
  }

  override write(chunk: Uint8Array): boolean {
    const nowMs = this.#nowMs();
    const gapMs = nowMs - (this.#lastWriteMs ?? nowMs);
    this.longestGapMs = Math.max(this.longestGapMs, gapMs);
    this.#lastWriteMs = nowMs;
    return super.write(chunk);
  }

  override reply(...args: Parameters<FakeCallerExchange["reply"]>): void {
    this.refusedMs = this.#nowMs();
    super.reply(...args);
  }
}

/** Engines by address; a backup takes up memory on the engine that keeps it. */
class SimulatedEngines implements PassThroughClient {
  readonly engines = new Map<Address, BatchingEngine>();
  readonly workByRequest = new Map<string, EngineWork>();
  readonly starts: EngineStart[] = [];
  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  send(
    request: PassThroughRequest,
    sink: PassThroughListener,
  ): PassThroughExchange {
    const transfer = new FakeTransfer(request, sink);
    queueMicrotask(() => {
      transfer.markSent();
      const engine = this.engines.get(request.address)!;
      const number = [...this.engines.keys()].indexOf(request.address) + 1;
      this.starts.push({ engine: number, atMs: this.#nowMs() });
      const backup = this.engines.get(transfer.header("backup") as Address);
      const ended = new Emitter<void>();
      const size = engine.submit(
        transfer,
        this.workByRequest.get(transfer.header("id")!)!,
        () => ended.fire(),
      );
      const removeBackup = backup?.addBackup(size);
      if (removeBackup) ended.event(removeBackup);
    });
    return transfer;
  }

  closeIdleConnections(): void {
    // No connections are kept open here.
  }
}

/**
 * Places each request at once on the endpoint with the lowest cost, where it
 * waits.
 */
class ImmediatePlacer implements GenerationPlacer {
  readonly length = 0;
  readonly recentWaitMs = 0;
  readonly reserveTokens = 0;
  readonly isScarce = (): boolean => false;
  readonly #chooser: EndpointChooser;

  constructor(chooser: EndpointChooser) {
    this.#chooser = chooser;
  }

  add(request: PlacementRequest): Disposable {
    const choice = this.#chooser.choose(request.criteria, request.service);
    if (choice) request.onPlaced(choice, {});
    else request.onRejected("no endpoint is available", {});
    return NOOP_DISPOSABLE;
  }
}

/**
 * Simulates a load.
 *
 * @param options - Parameters of the load.
 * @returns The results.
 */
export async function simulateLoad(options: LoadOptions): Promise<LoadOutcome> {
  const clock = new ManualClock();
  const simulatedEngines = new SimulatedEngines(() => clock.monotonicMs());
  const network = new InProcessNetwork();
  const harnesses: GatewayHarness[] = [];
  for (let seed = 1; seed <= (options.gateways ?? 1); seed++) {
    harnesses.push(
      await createHarness(options, simulatedEngines, clock, network, seed),
    );
  }
  propagateUsage(harnesses, options.updateDelayMs ?? 0);
  for (let number = 1; number <= options.engines; number++) {
    for (const harness of harnesses) harness.announce(ENGINE, number);
    simulatedEngines.engines.set(
      harnesses[0]!.addressOf(number),
      new BatchingEngine(clock, {
        slots: SLOTS,
        memoryTokens: options.memoryTokens,
        tokensPerEvent: TOKENS_PER_EVENT,
        maxWaiting: MAX_WAITING,
        relativeTime: () =>
          options.relativeTime?.(number, clock.monotonicMs()) ?? 1,
        reportsPace: options.reportsPace ?? false,
      }),
    );
  }
  const random = new SeededRandom(options.seed);
  const sent: SentGeneration[] = [];
  const kinds = options.kinds ?? usualKinds(options);
  let atMs = 0;
  while (atMs < options.durationMs) {
    const active = kinds.filter(({ untilMs }) => atMs < untilMs);
    const perSecond = active.reduce((sum, kind) => sum + kind.perSecond, 0);
    const gapMs = -Math.log(1 - random.float()) / (perSecond / 1_000);
    await clock.advanceAsync(gapMs);
    atMs += gapMs;
    let remaining = random.float() * perSecond;
    const kind = active.find(({ perSecond }) => (remaining -= perSecond) < 0)!;
    const { priority } = kind;
    const work: EngineWork = { ...kind.drawSize(random), priority };
    const id = `r${sent.length}`;
    simulatedEngines.workByRequest.set(id, work);
    const exchange = new TimedExchange({
      target: kind.name === "drafts" ? "/draft/x" : "/short/x",
      headers: [
        "host",
        "app.example",
        "id",
        id,
        "key",
        options.kinds ? keyOf(priority) : KEY,
        "prompt",
        `${work.promptTokens},${
          options.kinds ? kind.maxOutputTokens : work.outputTokens * 2
        }`,
      ],
      receivedMs: clock.monotonicMs(),
    }, () => clock.monotonicMs());
    sent.push({ exchange, kind, work });
    const harness = harnesses[Math.floor(random.float() * harnesses.length)]!;
    void harness.gateway.handle(exchange);
    await flushPromises();
  }
  await clock.advanceAsync(COMPLETION_MS);
  const generations = sent.map(toSimulatedGeneration);
  return {
    starts: simulatedEngines.starts,
    drafts: countKind(generations, "drafts"),
    checks: countKind(generations, "checks"),
    recomputedTokens: [...simulatedEngines.engines.values()].reduce(
      (sum, engine) => sum + engine.recomputedTokens,
      0,
    ),
    generations,
    logLines: harnesses.flatMap(({ logger }) => logger.lines),
  };
}

/** A generation that was sent to a gateway. */
interface SentGeneration {
  readonly exchange: TimedExchange;
  readonly kind: LoadKind;
  readonly work: EngineWork;
}

function usualKinds(
  { checksPerSecond, draftsPerSecond }: LoadOptions,
): LoadKind[] {
  const toKind = (
    name: LoadKind["name"],
    average: EngineWork,
    perSecond: number,
    objectiveMs: number,
  ): LoadKind => ({
    name,
    perSecond,
    untilMs: Infinity,
    priority: average.priority,
    objectiveMs,
    maxOutputTokens: 0,
    drawSize: (random) => {
      const scale = 1 + SIZE_VARIATION * (2 * random.float() - 1);
      return {
        promptTokens: Math.round(average.promptTokens * scale),
        outputTokens: Math.round(average.outputTokens * scale),
      };
    },
  });
  return [
    toKind("drafts", DRAFT, draftsPerSecond, DRAFT_OBJECTIVE_MS),
    toKind("checks", CHECK, checksPerSecond, CHECK_OBJECTIVE_MS),
  ];
}

function keyOf(priority: number): string {
  return `key-priority-${priority}`;
}

async function createHarness(
  { ignoresPaces, memoryTokens, placement }: LoadOptions,
  client: PassThroughClient,
  clock: ManualClock,
  network: InProcessNetwork,
  seed: number,
): Promise<GatewayHarness> {
  const harness = await GatewayHarness.create({
    clock,
    seed,
    client,
    ignoresPaces: ignoresPaces ?? false,
    ...placement !== "queued" && {
      createPlacer: (harness, chooser) =>
        placement === "immediate"
          ? new ImmediatePlacer(chooser)
          : createZonePlacer(harness, chooser, network, seed),
    },
  });
  if (placement === "queued-centrally") sharePaces(harness, network, seed);
  const services = new Map([[ENGINE, engineService(memoryTokens)]]);
  const keys = new Map<string, KeyHolder>([
    [KEY, { workspace: "w" as WorkspaceId, priority: undefined }],
    ...PRIORITIES.map((priority): [string, KeyHolder] => [
      keyOf(priority),
      { workspace: `w${priority}` as WorkspaceId, priority },
    ]),
  ]);
  harness.state.apply(configuration(2, { services, keys }), 2);
  return harness;
}

/** Sends the placements of each gateway to the others after a delay. */
function propagateUsage(
  harnesses: readonly GatewayHarness[],
  delayMs: number,
): void {
  harnesses.forEach((harness, index) => {
    let revision = 0;
    harness.loadTable.onDidChangeLocalUsage((endpoint) => {
      const row = harness.loadTable.localRow(endpoint);
      const revisionNumber = ++revision;
      harness.clock.setTimer(delayMs, () => {
        for (const other of harnesses) {
          if (other === harness) continue;
          const host = `host-${index}` as HostId;
          other.loadTable.applyPeerRows(host, revisionNumber, [row], false);
        }
      });
    });
  });
}

/** Reports what a gateway learns of speeds to the host that places for all. */
function sharePaces(
  { clock, paces, registry }: GatewayHarness,
  network: InProcessNetwork,
  number: number,
): void {
  const self = `host-${number}` as HostId;
  const isHub = self === PLACER_HOST;
  const links = network.hosts.get(self)!;
  const overlay: PeerOverlay = {
    onDidChangeHomeHub: () => NOOP_DISPOSABLE,
    isHub,
    homeHub: () => isHub ? undefined : PLACER_HOST,
    zoneHubFor: () => PLACER_HOST,
    linkedHubs: () => isHub ? [] : [PLACER_HOST],
    linkedLeaves: () => isHub ? links.connectedHosts() : [],
  };
  new EndpointPaceSync({ clock, links, overlay, paces, registry });
}

function toSimulatedGeneration(
  { exchange, kind, work }: SentGeneration,
): SimulatedGeneration {
  const { firstByteMs, outcome, receivedMs, refusedMs, status } = exchange;
  const answeredMs = firstByteMs ?? refusedMs ?? Infinity;
  const answeredAfterMs = answeredMs - receivedMs;
  const isServed = outcome === "answered" && status === 200;
  const retryAfter = exchange.responseHeader("retry-after");
  return {
    kind: kind.name,
    priority: kind.priority,
    promptTokens: work.promptTokens,
    result: status === 503
      ? "refused"
      : !isServed
      ? "failed"
      : answeredAfterMs <= kind.objectiveMs
      ? "onTime"
      : "overdue",
    answeredAfterMs,
    longestGapMs: exchange.longestGapMs,
    retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
  };
}

function countKind(
  generations: readonly SimulatedGeneration[],
  name: LoadKind["name"],
): RequestCounts {
  const counts: RequestCounts = {
    requested: 0,
    onTime: 0,
    overdue: 0,
    refused: 0,
    failed: 0,
    gapped: 0,
  };
  for (const { kind, longestGapMs, result } of generations) {
    if (kind !== name) continue;
    counts.requested++;
    if (longestGapMs > EVENT_GAP_OBJECTIVE_MS) counts.gapped++;
    counts[result]++;
  }
  return counts;
}
