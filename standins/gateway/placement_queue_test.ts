import { SeededRandom } from "../../src/base/common/random.ts";
import { EndpointChooser } from "../../src/features/gateway/common/endpoint_chooser.ts";
import { PlacementQueue } from "../../src/features/gateway/common/placement_queue.ts";
import {
  ENGINE,
  engineService,
  GatewayHarness,
  KEY,
  ZONE,
} from "./gateway_harness.ts";

const MEMORY_TOKENS = 34_000;

describe("PlacementQueue", () => {
  it("keeps an engine for a large generation that small ones would pass", async () => {
    const world = await GatewayHarness.create();
    const claims = [1, 2].map((number) =>
      world.loadTable.claim(world.announce(ENGINE, number), MEMORY_TOKENS, 0)
    );
    const sent = () =>
      world.endpoints.transfers.map((transfer) => transfer.header("prompt"));
    await world.send("/draft/x", ["key", KEY, "prompt", "9000,400"]);
    await world.advance(400);
    const small = ["key", KEY, "prompt", "500,100"];
    claims[0]!.resize(MEMORY_TOKENS - 2_000);
    await world.send("/draft/x", small);
    await world.advance(100);
    expect(sent()).toEqual([]);
    claims[1]!.resize(MEMORY_TOKENS - 1_000);
    await world.advance(100);
    expect(sent()).toEqual(["500,100"]);
    claims[0]!.resize(MEMORY_TOKENS - 12_000);
    await world.advance(100);
    expect(sent()).toEqual(["500,100", "9000,400"]);
  });

  it("places each once when a placed one comes back at once", async () => {
    const world = await GatewayHarness.create();
    const chooser = new EndpointChooser(
      world.clock,
      world.registry,
      world.loadTable,
      new SeededRandom(1),
      ZONE,
    );
    const queue = new PlacementQueue(world.clock, chooser);
    const id = world.announce(ENGINE, 1);
    const claim = world.loadTable.claim(id, MEMORY_TOKENS, 0);
    const placed: string[] = [];
    const add = (name: string, onPlaced?: () => void): void => {
      queue.add({
        criteria: { service: ENGINE, memoryTokens: 100, excluded: new Set() },
        pendingPrefillTokens: 100,
        wantsBackup: false,
        service: engineService(MEMORY_TOKENS),
        priority: 1,
        queuedMs: 0,
        firstEventDueMs: 1_800,
        latestStartMs: 3_600,
        onPlaced: () => {
          placed.push(name);
          onPlaced?.();
        },
        onRejected: (reason) => placed.push(reason),
      });
    };
    add("first", () => add("first again"));
    add("second");
    expect(placed).toEqual([]);
    claim.dispose();
    await world.advance(100);
    expect(placed.sort()).toEqual(["first", "first again", "second"]);
  });

  it("tells a caller early that no engine has room", async () => {
    const world = await GatewayHarness.create();
    world.loadTable.claim(world.announce(ENGINE, 1), MEMORY_TOKENS, 0);
    const exchange = await world.send("/draft/x");
    await world.advance(3_700);
    expect(exchange.status).toBe(503);
    expect(world.endpoints.transfers).toHaveLength(0);
  });
});
