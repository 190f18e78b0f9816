import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { configuration, ENGINE, GatewayWorld } from "./gateway_world.ts";
import { createZonePlacer, PLACER } from "./placer_parts.ts";

/** Large enough for one draft of the world, too small for two. */
const ONE_DRAFT_TOKENS = 6_000;

describe("ZonePlacer", () => {
  let clock: ManualClock;
  let network: InProcessNetwork;
  let placing: GatewayWorld;
  let asking: GatewayWorld;
  let placers: { dispose(): void }[];

  beforeEach(async () => {
    clock = new ManualClock();
    network = new InProcessNetwork();
    placers = [];
    const worlds: GatewayWorld[] = [];
    for (const number of [1, 2, 3]) {
      worlds.push(
        await GatewayWorld.create({
          clock,
          createPlacer: (world, chooser) => {
            const placer = createZonePlacer(world, chooser, network, number);
            placers.push(placer);
            return placer;
          },
        }),
      );
    }
    [placing, asking] = worlds as [GatewayWorld, GatewayWorld];
    others = worlds.slice(2);
    for (const world of worlds) {
      for (const engine of [1, 2]) world.announce(ENGINE, engine);
    }
  });
  let others: GatewayWorld[];

  /** Leaves room for one draft at the second engine, as the placing daemon sees it. */
  function fill(world: GatewayWorld): void {
    const [first, second] = world.registry.all;
    world.board.claim(first!.id, 34_000, 0);
    world.board.claim(second!.id, 34_000 - ONE_DRAFT_TOKENS, 0);
  }

  it("places what another daemon asks for", async () => {
    await asking.send("/draft/x");
    await clock.advanceAsync(5);
    expect(asking.endpoints.transfers).toHaveLength(1);
    const line = asking.logger.last("stream-placed");
    expect(line).toMatchObject({ placer: PLACER });
  });

  it("gives no room twice, though its own table hears late of it", async () => {
    fill(placing);
    await asking.send("/draft/x");
    await others[0]!.send("/draft/x");
    await clock.advanceAsync(20);
    const placed = [asking, others[0]!].map(({ endpoints }) =>
      endpoints.transfers.length
    );
    expect(placed.sort()).toEqual([0, 1]);
  });

  it("gives room to the most urgent of all daemons", async () => {
    const claims = placing.registry.all.map(({ id }) =>
      placing.board.claim(id, 34_000, 0)
    );
    await others[0]!.send("/short/x");
    await clock.advanceAsync(20);
    await asking.send("/draft/x");
    await clock.advanceAsync(20);
    claims[0]!.resize(34_000 - ONE_DRAFT_TOKENS);
    await clock.advanceAsync(40);
    expect(asking.endpoints.transfers).toHaveLength(1);
    expect(others[0]!.endpoints.transfers).toHaveLength(0);
  });

  it("places by itself at once when the link is down", async () => {
    fill(placing);
    placing.board.claim(placing.registry.all[1]!.id, ONE_DRAFT_TOKENS, 0);
    await asking.send("/draft/x");
    await clock.advanceAsync(20);
    expect(asking.endpoints.transfers).toHaveLength(0);
    network.leave(PLACER);
    await flushPromises();
    expect(asking.endpoints.transfers).toHaveLength(1);
    expect(asking.logger.last("placer-lost")).toMatchObject({ peer: PLACER });
  });

  it("places by itself when nothing is heard, and asks again later", async () => {
    placers[0]!.dispose();
    await asking.send("/draft/x");
    await clock.advanceAsync(250);
    expect(asking.endpoints.transfers).toHaveLength(0);
    await clock.advanceAsync(150);
    expect(asking.endpoints.transfers).toHaveLength(1);
    await asking.send("/draft/x");
    expect(asking.endpoints.transfers).toHaveLength(2);
  });

  it("waits on while the placing daemon says that it waits", async () => {
    fill(placing);
    placing.board.claim(placing.registry.all[1]!.id, ONE_DRAFT_TOKENS, 0);
    await asking.send("/draft/x");
    await clock.advanceAsync(1_500);
    expect(asking.endpoints.transfers).toHaveLength(0);
    expect(asking.logger.last("placer-lost")).toBeUndefined();
  });

  it("withdraws what its caller has left", async () => {
    fill(placing);
    placing.board.claim(placing.registry.all[1]!.id, ONE_DRAFT_TOKENS, 0);
    const exchange = await asking.send("/draft/x");
    await clock.advanceAsync(20);
    exchange.leave();
    await clock.advanceAsync(20);
    await placing.send("/draft/x");
    expect(placing.gateway.activeCount).toBe(1);
    expect(asking.gateway.activeCount).toBe(0);
    expect(asking.endpoints.transfers).toHaveLength(0);
  });

  it("rejects as not run what has no room in time", async () => {
    fill(placing);
    placing.board.claim(placing.registry.all[1]!.id, ONE_DRAFT_TOKENS, 0);
    const exchange = await asking.send("/short/x");
    await clock.advanceAsync(3_500);
    expect(exchange.status).toBe(503);
    expect(Number(exchange.answerHeader("retry-after"))).toBeGreaterThan(0);
  });

  it("places by itself what the placing daemon does not know yet", async () => {
    placing.state.apply(configuration(2, { services: new Map() }), 2);
    await asking.send("/draft/x");
    await clock.advanceAsync(5);
    expect(asking.endpoints.transfers).toHaveLength(1);
    expect(asking.logger.last("stream-placed")!["placer"]).toBeUndefined();
  });

  it("places by itself while the placing daemon knows no engine yet", async () => {
    for (const { id } of placing.registry.all) {
      placing.registry.leave(id, "removed");
    }
    const exchange = await asking.send("/draft/x");
    await clock.advanceAsync(5);
    expect(asking.endpoints.transfers).toHaveLength(1);
    expect(exchange.hasEnded).toBe(false);
  });

  it("is given no engine that has failed it lately", async () => {
    const [first, second] = asking.registry.all;
    placing.board.claim(second!.id, 20_000, 0);
    const nowMs = clock.monotonicMs();
    while (!first!.health.isEjected(nowMs)) first!.health.note("broken", nowMs);
    await asking.send("/draft/x");
    await clock.advanceAsync(5);
    const used = asking.endpoints.last.request.address;
    expect(used).toBe(second!.announcement.address);
  });

  it("places by itself when the engine that it was given has left", async () => {
    const [first, second] = asking.registry.all;
    asking.registry.leave(first!.id, "draining");
    placing.board.claim(second!.id, 34_000, 0);
    await asking.send("/draft/x");
    await clock.advanceAsync(5);
    expect(asking.endpoints.last.request.address)
      .toBe(second!.announcement.address);
  });
});
