import { ENGINE, GatewayWorld, KEY } from "./gateway_world.ts";

const MEMORY_TOKENS = 34_000;

describe("PlacementQueue", () => {
  it("keeps an engine for a large generation that small ones would pass", async () => {
    const world = await GatewayWorld.create();
    const claims = [1, 2].map((number) =>
      world.board.claim(world.announce(ENGINE, number), MEMORY_TOKENS, 0)
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

  it("tells a caller early that no engine has room", async () => {
    const world = await GatewayWorld.create();
    world.board.claim(world.announce(ENGINE, 1), MEMORY_TOKENS, 0);
    const exchange = await world.send("/draft/x");
    await world.advance(3_700);
    expect(exchange.status).toBe(503);
    expect(world.endpoints.transfers).toHaveLength(0);
  });
});
