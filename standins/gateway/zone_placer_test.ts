import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { configuration, ENGINE, GatewayHarness } from "./gateway_harness.ts";
import { createZonePlacer, PLACER_HOST } from "./zone_placer_fixture.ts";

/** Large enough for one draft of the world, too small for two. */
const SINGLE_DRAFT_TOKENS = 6_000;

describe("ZonePlacer", () => {
  let clock: ManualClock;
  let network: InProcessNetwork;
  let placerHarness: GatewayHarness;
  let requester: GatewayHarness;
  let placers: { dispose(): void }[];

  beforeEach(async () => {
    clock = new ManualClock();
    network = new InProcessNetwork();
    placers = [];
    const worlds: GatewayHarness[] = [];
    for (const number of [1, 2, 3]) {
      worlds.push(
        await GatewayHarness.create({
          clock,
          createPlacer: (world, chooser) => {
            const placer = createZonePlacer(world, chooser, network, number);
            placers.push(placer);
            return placer;
          },
        }),
      );
    }
    [placerHarness, requester] = worlds as [GatewayHarness, GatewayHarness];
    otherRequesters = worlds.slice(2);
    for (const world of worlds) {
      for (const engine of [1, 2]) world.announce(ENGINE, engine);
    }
  });
  let otherRequesters: GatewayHarness[];

  /** Leaves room for one draft at the second engine, as the placing daemon sees it. */
  function fillEngines(world: GatewayHarness): void {
    const [first, second] = world.registry.all;
    world.loadTable.claim(first!.id, 34_000, 0);
    world.loadTable.claim(second!.id, 34_000 - SINGLE_DRAFT_TOKENS, 0);
  }

  it("places what another daemon asks for", async () => {
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    const line = requester.logger.lastFields("stream-placed");
    expect(line).toMatchObject({ placer: PLACER_HOST });
  });

  it("gives no room twice, though its own table hears late of it", async () => {
    fillEngines(placerHarness);
    await requester.send("/draft/x");
    await otherRequesters[0]!.send("/draft/x");
    await clock.advanceAsync(20);
    const placed = [requester, otherRequesters[0]!].map(({ endpoints }) =>
      endpoints.transfers.length
    );
    expect(placed.sort()).toEqual([0, 1]);
  });

  it("gives room to the most urgent of all daemons", async () => {
    const claims = placerHarness.registry.all.map(({ id }) =>
      placerHarness.loadTable.claim(id, 34_000, 0)
    );
    await otherRequesters[0]!.send("/short/x");
    await clock.advanceAsync(20);
    await requester.send("/draft/x");
    await clock.advanceAsync(20);
    claims[0]!.resize(34_000 - SINGLE_DRAFT_TOKENS);
    await clock.advanceAsync(40);
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(otherRequesters[0]!.endpoints.transfers).toHaveLength(0);
  });

  it("places by itself at once when the link is down", async () => {
    fillEngines(placerHarness);
    placerHarness.loadTable.claim(
      placerHarness.registry.all[1]!.id,
      SINGLE_DRAFT_TOKENS,
      0,
    );
    await requester.send("/draft/x");
    await clock.advanceAsync(20);
    expect(requester.endpoints.transfers).toHaveLength(0);
    network.removeHost(PLACER_HOST);
    await flushPromises();
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(requester.logger.lastFields("placer-lost")).toMatchObject({
      peer: PLACER_HOST,
    });
  });

  it("places by itself when nothing is heard, and asks again later", async () => {
    placers[0]!.dispose();
    await requester.send("/draft/x");
    await clock.advanceAsync(250);
    expect(requester.endpoints.transfers).toHaveLength(0);
    await clock.advanceAsync(150);
    expect(requester.endpoints.transfers).toHaveLength(1);
    await requester.send("/draft/x");
    expect(requester.endpoints.transfers).toHaveLength(2);
  });

  it("waits on while the placing daemon says that it waits", async () => {
    fillEngines(placerHarness);
    placerHarness.loadTable.claim(
      placerHarness.registry.all[1]!.id,
      SINGLE_DRAFT_TOKENS,
      0,
    );
    await requester.send("/draft/x");
    await clock.advanceAsync(1_500);
    expect(requester.endpoints.transfers).toHaveLength(0);
    expect(requester.logger.lastFields("placer-lost")).toBeUndefined();
  });

  it("withdraws what its caller has left", async () => {
    fillEngines(placerHarness);
    placerHarness.loadTable.claim(
      placerHarness.registry.all[1]!.id,
      SINGLE_DRAFT_TOKENS,
      0,
    );
    const exchange = await requester.send("/draft/x");
    await clock.advanceAsync(20);
    exchange.disconnect();
    await clock.advanceAsync(20);
    await placerHarness.send("/draft/x");
    expect(placerHarness.gateway.activeCount).toBe(1);
    expect(requester.gateway.activeCount).toBe(0);
    expect(requester.endpoints.transfers).toHaveLength(0);
  });

  it("rejects as not run what has no room in time", async () => {
    fillEngines(placerHarness);
    placerHarness.loadTable.claim(
      placerHarness.registry.all[1]!.id,
      SINGLE_DRAFT_TOKENS,
      0,
    );
    const exchange = await requester.send("/short/x");
    await clock.advanceAsync(3_500);
    expect(exchange.status).toBe(503);
    expect(Number(exchange.responseHeader("retry-after"))).toBeGreaterThan(0);
  });

  it("places by itself what the placing daemon does not know yet", async () => {
    placerHarness.state.apply(configuration(2, { services: new Map() }), 2);
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(requester.logger.lastFields("stream-placed")!["placer"])
      .toBeUndefined();
  });

  it("places by itself while the placing daemon knows no engine yet", async () => {
    for (const { id } of placerHarness.registry.all) {
      placerHarness.registry.markDraining(id, "removed");
    }
    const exchange = await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(exchange.hasEnded).toBe(false);
  });

  it("is given no engine that has failed it lately", async () => {
    const [first, second] = requester.registry.all;
    placerHarness.loadTable.claim(second!.id, 20_000, 0);
    const nowMs = clock.monotonicMs();
    while (!first!.health.isEjected(nowMs)) {
      first!.health.record("broken", nowMs);
    }
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    const used = requester.endpoints.last.request.address;
    expect(used).toBe(second!.announcement.address);
  });

  it("places by itself when the engine that it was given has left", async () => {
    const [first, second] = requester.registry.all;
    requester.registry.markDraining(first!.id, "draining");
    placerHarness.loadTable.claim(second!.id, 34_000, 0);
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.last.request.address)
      .toBe(second!.announcement.address);
  });
});
