/**
 * Plays a load of generations through a whole gateway onto busy engines, and
 * tells what callers got.
 */

import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import type { Address, HostId } from "../../src/base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../src/base/common/lifecycle.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import type { EndpointChooser } from "../../src/features/gateway/common/endpoint_chooser.ts";
import type {
  GenerationPlacer,
  PlacementRequest,
} from "../../src/features/gateway/common/placement_queue.ts";
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
import { createZonePlacer } from "./zone_placer_fixture.ts";
import {
  configuration,
  ENGINE,
  engineService,
  GatewayHarness,
  KEY,
} from "./gateway_harness.ts";

/** A load. */
export interface LoadOptions {
  readonly seed: number;
  readonly engines: number;
  readonly memoryTokens: number;
  /** Long generations a second. */
  readonly draftsPerSecond: number;
  /** Short generations a second. */
  readonly checksPerSecond: number;
  readonly durationMs: number;
  /** Daemons that share the load; each learns of the others' placements late. */
  readonly gateways?: number;
  readonly updateDelayMs?: number;
  /**
   * Whether requests wait for room in each gateway, in one of them for all, or
   * at engines.
   */
  readonly placement: "queued" | "queued-in-one" | "at-once";
}

/** What the callers of one kind of request got. */
export interface RequestCounts {
  requested: number;
  /** First event within the objective, and whole. */
  onTime: number;
  overdue: number;
  refused: number;
  failed: number;
}

/** What all callers got. */
export interface LoadOutcome {
  readonly drafts: RequestCounts;
  readonly checks: RequestCounts;
  /** Tokens that engines read again after preemptions. */
  readonly recomputedTokens: number;
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
const SIZE_VARIATION = 0.5;
/** Longer than any generation takes. */
const COMPLETION_MS = 60_000;
const TOKENS_PER_EVENT = 4;
const SLOTS = 24;
const MAX_WAITING = 12;

/** Records when the first event went out. */
class TimedExchange extends FakeCallerExchange {
  firstByteMs: number | undefined;
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
}

/** Engines behind addresses; backups take memory where they are kept. */
class SimulatedEngines implements PassThroughClient {
  readonly engines = new Map<Address, BatchingEngine>();
  readonly workByRequest = new Map<string, EngineWork>();

  send(
    request: PassThroughRequest,
    sink: PassThroughListener,
  ): PassThroughExchange {
    const transfer = new FakeTransfer(request, sink);
    queueMicrotask(() => {
      transfer.markSent();
      const engine = this.engines.get(request.address)!;
      const backup = this.engines.get(transfer.header("backup") as Address);
      const ended = new Emitter<void>();
      const size = engine.submit(
        transfer,
        this.workByRequest.get(transfer.header("id")!)!,
        () => ended.fire(),
      );
      const dropCopy = backup?.addBackup(size);
      if (dropCopy) ended.event(dropCopy);
    });
    return transfer;
  }

  closeIdleConnections(): void {
    // Nothing is kept open here.
  }
}

/** Lets requests wait at whichever engine is the cheapest when they come. */
class ImmediatePlacer implements GenerationPlacer {
  readonly length = 0;
  readonly recentWaitMs = 0;
  readonly #chooser: EndpointChooser;

  constructor(chooser: EndpointChooser) {
    this.#chooser = chooser;
  }

  add(request: PlacementRequest): Disposable {
    const choice = this.#chooser.choose(request.criteria, request.service);
    if (choice) request.onPlaced(choice);
    else request.onRejected("no endpoint is available");
    return NOOP_DISPOSABLE;
  }
}

/** @returns What callers got of a load. */
export async function simulateLoad(options: LoadOptions): Promise<LoadOutcome> {
  const simulatedEngines = new SimulatedEngines();
  const clock = new ManualClock();
  const network = new InProcessNetwork();
  const worlds: GatewayHarness[] = [];
  for (let seed = 1; seed <= (options.gateways ?? 1); seed++) {
    worlds.push(
      await createWorld(options, simulatedEngines, clock, network, seed),
    );
  }
  propagateUsage(worlds, options.updateDelayMs ?? 0);
  for (let number = 1; number <= options.engines; number++) {
    for (const world of worlds) world.announce(ENGINE, number);
    simulatedEngines.engines.set(
      worlds[0]!.addressOf(number),
      new BatchingEngine(clock, {
        slots: SLOTS,
        memoryTokens: options.memoryTokens,
        tokensPerEvent: TOKENS_PER_EVENT,
        maxWaiting: MAX_WAITING,
      }),
    );
  }
  const random = new SeededRandom(options.seed);
  const sent: { exchange: TimedExchange; isDraft: boolean }[] = [];
  const requestsPerMs = (options.draftsPerSecond + options.checksPerSecond) /
    1_000;
  const draftShare = options.draftsPerSecond /
    (options.draftsPerSecond + options.checksPerSecond);
  let atMs = 0;
  while (atMs < options.durationMs) {
    const gapMs = -Math.log(1 - random.float()) / requestsPerMs;
    await clock.advanceAsync(gapMs);
    atMs += gapMs;
    const isDraft = random.float() < draftShare;
    const averageWork = isDraft ? DRAFT : CHECK;
    const scale = 1 + SIZE_VARIATION * (2 * random.float() - 1);
    const work: EngineWork = {
      ...averageWork,
      promptTokens: Math.round(averageWork.promptTokens * scale),
      outputTokens: Math.round(averageWork.outputTokens * scale),
    };
    const id = `r${sent.length}`;
    simulatedEngines.workByRequest.set(id, work);
    const exchange = new TimedExchange({
      target: isDraft ? "/draft/x" : "/short/x",
      headers: [
        "host",
        "app.example",
        "id",
        id,
        "key",
        KEY,
        "prompt",
        `${work.promptTokens},${work.outputTokens * 2}`,
      ],
      receivedMs: clock.monotonicMs(),
    }, () => clock.monotonicMs());
    sent.push({ exchange, isDraft });
    const world = worlds[Math.floor(random.float() * worlds.length)]!;
    void world.gateway.handle(exchange);
    await flushPromises();
  }
  await clock.advanceAsync(COMPLETION_MS);
  const outcome: LoadOutcome = {
    drafts: zeroCounts(),
    checks: zeroCounts(),
    recomputedTokens: [...simulatedEngines.engines.values()].reduce(
      (sum, engine) => sum + engine.recomputedTokens,
      0,
    ),
  };
  for (const { exchange, isDraft } of sent) {
    const shares = isDraft ? outcome.drafts : outcome.checks;
    countRequest(
      shares,
      exchange,
      isDraft ? DRAFT_OBJECTIVE_MS : CHECK_OBJECTIVE_MS,
    );
  }
  return outcome;
}

async function createWorld(
  { memoryTokens, placement: placing }: LoadOptions,
  client: PassThroughClient,
  clock: ManualClock,
  network: InProcessNetwork,
  seed: number,
): Promise<GatewayHarness> {
  const world = await GatewayHarness.create({
    clock,
    seed,
    client,
    ...placing !== "queued" && {
      createPlacer: (world, chooser) =>
        placing === "at-once"
          ? new ImmediatePlacer(chooser)
          : createZonePlacer(world, chooser, network, seed),
    },
  });
  const services = new Map([[ENGINE, engineService(memoryTokens)]]);
  world.state.apply(configuration(2, { services }), 2);
  return world;
}

/** Tells each gateway of the placements of the others, some time later. */
function propagateUsage(
  worlds: readonly GatewayHarness[],
  delayMs: number,
): void {
  worlds.forEach((world, index) => {
    let revision = 0;
    world.loadTable.onDidChangeLocalUsage((endpoint) => {
      const row = world.loadTable.localRow(endpoint);
      const revisionNumber = ++revision;
      world.clock.setTimer(delayMs, () => {
        for (const other of worlds) {
          if (other === world) continue;
          const host = `host-${index}` as HostId;
          other.loadTable.applyPeerRows(host, revisionNumber, [row], false);
        }
      });
    });
  });
}

function zeroCounts(): RequestCounts {
  return { requested: 0, onTime: 0, overdue: 0, refused: 0, failed: 0 };
}

function countRequest(
  counts: RequestCounts,
  { firstByteMs: firstMs, outcome, receivedMs, status }: TimedExchange,
  objectiveMs: number,
): void {
  counts.requested++;
  if (status === 503) counts.refused++;
  else if (outcome !== "answered" || status !== 200) counts.failed++;
  else if (firstMs! - receivedMs <= objectiveMs) counts.onTime++;
  else counts.overdue++;
}
