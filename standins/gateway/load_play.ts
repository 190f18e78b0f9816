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
import type { EndpointChooser } from "../../src/features/gateway/common/endpoint_choice.ts";
import type {
  GenerationPlacer,
  PlacementRequest,
} from "../../src/features/gateway/common/placement_queue.ts";
import type {
  OutgoingRequest,
  PassThroughClient,
  ReplySink,
  Transfer,
} from "../../src/services/http/common/pass_through_client.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { BusyEngine, type BusyWork } from "./busy_engine.ts";
import { FakeTransfer } from "./fake_endpoints.ts";
import { FakeExchange } from "./fake_exchange.ts";
import { createZonePlacer } from "./placer_parts.ts";
import {
  configuration,
  ENGINE,
  engineService,
  GatewayWorld,
  KEY,
} from "./gateway_world.ts";

/** A load. */
export interface LoadOptions {
  readonly seed: number;
  readonly engines: number;
  readonly memoryTokens: number;
  /** Long generations a second. */
  readonly draftsPerS: number;
  /** Short generations a second. */
  readonly checksPerS: number;
  readonly durationMs: number;
  /** Daemons that share the load; each learns of the others' placements late. */
  readonly gateways?: number;
  readonly updateDelayMs?: number;
  /**
   * Whether requests wait for room in each gateway, in one of them for all, or
   * at engines.
   */
  readonly placing: "queued" | "queued-in-one" | "at-once";
}

/** What the callers of one kind of request got. */
export interface LoadShares {
  asked: number;
  /** First event within the objective, and whole. */
  onTime: number;
  late: number;
  refused: number;
  failed: number;
}

/** What all callers got. */
export interface LoadOutcome {
  readonly drafts: LoadShares;
  readonly checks: LoadShares;
  /** Tokens that engines read again after preemptions. */
  readonly rereadTokens: number;
}

const DRAFT: BusyWork = { promptTokens: 3_079, outputTokens: 744, priority: 1 };
const CHECK: BusyWork = { promptTokens: 2_550, outputTokens: 12, priority: 2 };
const DRAFT_OBJECTIVE_MS = 1_800;
const CHECK_OBJECTIVE_MS = 1_500;
const SPREAD = 0.5;
/** Longer than any generation takes. */
const REST_MS = 60_000;
const TOKENS_PER_EVENT = 4;
const SLOTS = 24;
const MAX_WAITING = 12;

/** Records when the first event went out. */
class TimedExchange extends FakeExchange {
  firstMs: number | undefined;
  readonly #nowMs: () => number;

  constructor(
    request: ConstructorParameters<typeof FakeExchange>[0],
    nowMs: () => number,
  ) {
    super(request);
    this.#nowMs = nowMs;
  }

  override start(...args: Parameters<FakeExchange["start"]>): void {
    this.firstMs = this.#nowMs();
    super.start(...args);
  }
}

/** Engines behind addresses; backups take memory where they are kept. */
class EngineFarm implements PassThroughClient {
  readonly engines = new Map<Address, BusyEngine>();
  readonly work = new Map<string, BusyWork>();

  send(request: OutgoingRequest, sink: ReplySink): Transfer {
    const transfer = new FakeTransfer(request, sink);
    queueMicrotask(() => {
      transfer.markSent();
      const engine = this.engines.get(request.address)!;
      const backup = this.engines.get(transfer.header("backup") as Address);
      const over = new Emitter<void>();
      const size = engine.take(
        transfer,
        this.work.get(transfer.header("id")!)!,
        () => over.fire(),
      );
      const dropCopy = backup?.keepCopy(size);
      if (dropCopy) over.event(dropCopy);
    });
    return transfer;
  }

  forget(): void {
    // Nothing is kept open here.
  }
}

/** Lets requests wait at whichever engine is the cheapest when they come. */
class PlacingAtOnce implements GenerationPlacer {
  readonly length = 0;
  readonly recentWaitMs = 0;
  readonly #chooser: EndpointChooser;

  constructor(chooser: EndpointChooser) {
    this.#chooser = chooser;
  }

  add(request: PlacementRequest): Disposable {
    const choice = this.#chooser.choose(request.need, request.service);
    if (choice) request.onPlaced(choice);
    else request.onHopeless("no endpoint is available");
    return NOOP_DISPOSABLE;
  }
}

/** @returns What callers got of a load. */
export async function playLoad(options: LoadOptions): Promise<LoadOutcome> {
  const farm = new EngineFarm();
  const clock = new ManualClock();
  const network = new InProcessNetwork();
  const worlds: GatewayWorld[] = [];
  for (let seed = 1; seed <= (options.gateways ?? 1); seed++) {
    worlds.push(await createWorld(options, farm, clock, network, seed));
  }
  shareUpdates(worlds, options.updateDelayMs ?? 0);
  for (let number = 1; number <= options.engines; number++) {
    for (const world of worlds) world.announce(ENGINE, number);
    farm.engines.set(
      worlds[0]!.addressOf(number),
      new BusyEngine(clock, {
        slots: SLOTS,
        memoryTokens: options.memoryTokens,
        tokensPerEvent: TOKENS_PER_EVENT,
        maxWaiting: MAX_WAITING,
      }),
    );
  }
  const random = new SeededRandom(options.seed);
  const sent: { exchange: TimedExchange; isDraft: boolean }[] = [];
  const perMs = (options.draftsPerS + options.checksPerS) / 1_000;
  const draftShare = options.draftsPerS /
    (options.draftsPerS + options.checksPerS);
  let atMs = 0;
  while (atMs < options.durationMs) {
    const gapMs = -Math.log(1 - random.float()) / perMs;
    await clock.advanceAsync(gapMs);
    atMs += gapMs;
    const isDraft = random.float() < draftShare;
    const mean = isDraft ? DRAFT : CHECK;
    const scale = 1 + SPREAD * (2 * random.float() - 1);
    const work: BusyWork = {
      ...mean,
      promptTokens: Math.round(mean.promptTokens * scale),
      outputTokens: Math.round(mean.outputTokens * scale),
    };
    const id = `r${sent.length}`;
    farm.work.set(id, work);
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
  await clock.advanceAsync(REST_MS);
  const outcome: LoadOutcome = {
    drafts: noShares(),
    checks: noShares(),
    rereadTokens: [...farm.engines.values()].reduce(
      (sum, engine) => sum + engine.rereadTokens,
      0,
    ),
  };
  for (const { exchange, isDraft } of sent) {
    const shares = isDraft ? outcome.drafts : outcome.checks;
    count(shares, exchange, isDraft ? DRAFT_OBJECTIVE_MS : CHECK_OBJECTIVE_MS);
  }
  return outcome;
}

async function createWorld(
  { memoryTokens, placing }: LoadOptions,
  client: PassThroughClient,
  clock: ManualClock,
  network: InProcessNetwork,
  seed: number,
): Promise<GatewayWorld> {
  const world = await GatewayWorld.create({
    clock,
    seed,
    client,
    ...placing !== "queued" && {
      createPlacer: (world, chooser) =>
        placing === "at-once"
          ? new PlacingAtOnce(chooser)
          : createZonePlacer(world, chooser, network, seed),
    },
  });
  const services = new Map([[ENGINE, engineService(memoryTokens)]]);
  world.state.apply(configuration(2, { services }), 2);
  return world;
}

/** Tells each gateway of the placements of the others, some time later. */
function shareUpdates(worlds: readonly GatewayWorld[], delayMs: number): void {
  worlds.forEach((world, index) => {
    let revision = 0;
    world.board.onDidChangeOwn((endpoint) => {
      const row = world.board.ownRow(endpoint);
      const number = ++revision;
      world.clock.setTimer(delayMs, () => {
        for (const other of worlds) {
          if (other === world) continue;
          const host = `host-${index}` as HostId;
          other.board.applyPeerRows(host, number, [row], false);
        }
      });
    });
  });
}

function noShares(): LoadShares {
  return { asked: 0, onTime: 0, late: 0, refused: 0, failed: 0 };
}

function count(
  shares: LoadShares,
  { firstMs, outcome, receivedMs, status }: TimedExchange,
  objectiveMs: number,
): void {
  shares.asked++;
  if (status === 503) shares.refused++;
  else if (outcome !== "answered" || status !== 200) shares.failed++;
  else if (firstMs! - receivedMs <= objectiveMs) shares.onTime++;
  else shares.late++;
}
