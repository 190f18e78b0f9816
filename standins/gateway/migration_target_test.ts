import { flushPromises } from "../../src/base/common/clock.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { ENGINE } from "./harness_configuration.ts";

/** Memory that the others leave on the two engines that remain, in tokens. */
const FREE_TOKENS = [9_000, 20_000];
const MEMORY_TOKENS = 34_000;
const DRAFT_COUNT = 6;

describe("an engine that leaves with six drafts while the others are nearly full", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    harness.announce(ENGINE, 1);
    for (let count = 0; count < DRAFT_COUNT; count++) {
      await harness.send("/draft/x");
      harness.endpoints.last.head(200).event(1);
    }
    await flushPromises();
    for (const [index, freeTokens] of FREE_TOKENS.entries()) {
      harness.announce(ENGINE, index + 2);
      const { id } = harness.registry.all.at(-1)!;
      harness.loadTable.claim(id, MEMORY_TOKENS - freeTokens, 0);
    }
  });

  function drain(): void {
    harness.registry.markDraining(harness.registry.all[0]!.id, "draining");
  }

  // Guards against moves at the same moment that all choose the same engine.
  it("has no engine accept more than fits while the copies are made", async () => {
    harness.engineControl.copyRun = (_source, target, id) => {
      harness.engineControl.copies.push({ source: _source, target, id });
      return new Promise(() => {});
    };
    drain();
    await harness.advance(300);
    const [, ...others] = harness.registry.all;
    for (const { id } of others) {
      expect(harness.loadTable.totalUsage(id).memoryTokens)
        .toBeLessThanOrEqual(MEMORY_TOKENS);
    }
    expect(harness.engineControl.copies.length).toBeGreaterThan(0);
  });

  // Guards against runs that end with their engine because none had room.
  it("has its drafts moved beyond what fits rather than lost", async () => {
    drain();
    await harness.advance(1_200);
    const moved = new Set(
      harness.engineControl.copies.map(({ id }) => id),
    );
    expect(moved.size).toBe(DRAFT_COUNT);
  });

  // Guards against claims that outlast a refused copy.
  it("releases the memory of copies that were refused", async () => {
    const [, ...others] = harness.registry.all;
    const before = others.map(({ id }) =>
      harness.loadTable.totalUsage(id).memoryTokens
    );
    harness.engineControl.copyFailure = {
      kind: "no-such-run",
      message: "no run",
    };
    drain();
    await harness.advance(1_000);
    const after = others.map(({ id }) =>
      harness.loadTable.totalUsage(id).memoryTokens
    );
    expect(after).toEqual(before);
  });
});
