import { SeededRandom } from "../../src/base/common/random.ts";
import { EndpointChooser } from "../../src/features/gateway/common/placement/endpoint_chooser.ts";
import { PlacementQueue } from "../../src/features/gateway/common/placement/placement_queue.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { ENGINE, engineService, KEY, ZONE } from "./harness_configuration.ts";

const MEMORY_TOKENS = 34_000;

describe("PlacementQueue", () => {
  it("reserves an engine for a large generation that small ones would overtake", async () => {
    const harness = await GatewayHarness.create();
    const claims = [1, 2].map((number) =>
      harness.loadTable.claim(
        harness.announce(ENGINE, number),
        MEMORY_TOKENS,
        0,
      )
    );
    const sent = () =>
      harness.endpoints.transfers.map((transfer) => transfer.header("prompt"));
    await harness.send("/draft/x", ["key", KEY, "prompt", "9000,400"]);
    await harness.advance(400);
    const small = ["key", KEY, "prompt", "500,100"];
    claims[0]!.resize(MEMORY_TOKENS - 2_000);
    await harness.send("/draft/x", small);
    await harness.advance(100);
    expect(sent()).toEqual([]);
    claims[1]!.resize(MEMORY_TOKENS - 1_000);
    await harness.advance(100);
    expect(sent()).toEqual(["500,100"]);
    claims[0]!.resize(MEMORY_TOKENS - 12_000);
    await harness.advance(100);
    expect(sent()).toEqual(["500,100", "9000,400"]);
  });

  // Guards against short checks that wait for seconds behind long drafts of the
  // same workspace, whose priority is that of both.
  it("places a check before an older draft of its priority when 4,000 tokens become free", async () => {
    const harness = await GatewayHarness.create();
    const { clock, loadTable, registry } = harness;
    const random = new SeededRandom(1);
    const queue = new PlacementQueue(
      clock,
      new EndpointChooser(clock, registry, loadTable, random, ZONE),
      random,
    );
    const id = harness.announce(ENGINE, 1);
    const claims = [MEMORY_TOKENS - 4_000, 4_000].map((tokens) =>
      loadTable.claim(id, tokens, 0)
    );
    const placed: string[] = [];
    const add = (name: string, promptTokens: number, outputTokens: number) =>
      queue.add({
        criteria: {
          service: ENGINE,
          memoryTokens: promptTokens + outputTokens,
          excluded: new Set(),
        },
        pendingPrefillTokens: promptTokens,
        wantsBackup: false,
        service: engineService(MEMORY_TOKENS),
        priority: 1,
        queuedMs: 0,
        firstEventDueMs: 1_800,
        latestStartMs: 3_600,
        onPlaced: ({ endpoint }) => {
          placed.push(name);
          loadTable.claim(endpoint.id, promptTokens + outputTokens, 0);
        },
        onRejected: (reason) => placed.push(reason),
      });
    add("draft", 3_000, 520);
    add("check", 2_200, 12);
    claims[1]!.dispose();
    await harness.advance(30);
    expect(placed).toEqual(["check"]);
    queue.dispose();
  });

  it("places each request once when a callback queues another request", async () => {
    const harness = await GatewayHarness.create();
    const chooser = new EndpointChooser(
      harness.clock,
      harness.registry,
      harness.loadTable,
      new SeededRandom(1),
      ZONE,
    );
    const queue = new PlacementQueue(
      harness.clock,
      chooser,
      new SeededRandom(2),
    );
    const id = harness.announce(ENGINE, 1);
    const claim = harness.loadTable.claim(id, MEMORY_TOKENS, 0);
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
    add("first", () => add("requeued"));
    add("second");
    expect(placed).toEqual([]);
    claim.dispose();
    await harness.advance(100);
    expect(placed.sort()).toEqual(["first", "requeued", "second"]);
  });

  it("places an overdue urgent generation before a less urgent one in time", async () => {
    const harness = await GatewayHarness.create();
    const chooser = new EndpointChooser(
      harness.clock,
      harness.registry,
      harness.loadTable,
      new SeededRandom(1),
      ZONE,
    );
    const queue = new PlacementQueue(
      harness.clock,
      chooser,
      new SeededRandom(2),
    );
    const claim = harness.loadTable.claim(
      harness.announce(ENGINE, 1),
      MEMORY_TOKENS,
      0,
    );
    const placed: number[] = [];
    for (const [priority, firstEventDueMs] of [[1, 1_800], [0, 200]] as const) {
      queue.add({
        criteria: { service: ENGINE, memoryTokens: 100, excluded: new Set() },
        pendingPrefillTokens: 100,
        wantsBackup: false,
        service: engineService(MEMORY_TOKENS),
        priority,
        queuedMs: 0,
        firstEventDueMs,
        latestStartMs: 3_600,
        onPlaced: () => placed.push(priority),
        onRejected: () => undefined,
      });
    }
    claim.dispose();
    await harness.advance(100);
    expect(placed).toEqual([0, 1]);
  });

  it("places nothing on an engine that leaves while another has capacity", async () => {
    const harness = await GatewayHarness.create();
    const leaving = harness.announce(ENGINE, 1);
    const staying = harness.announce(ENGINE, 2);
    harness.loadTable.claim(staying, MEMORY_TOKENS / 2, 0);
    harness.registry.markDraining(leaving, "draining");
    await harness.send("/draft/x");
    expect(harness.endpoints.last.request.endpoint).toBe(staying);
  });

  it("refuses a request early when no engine has free capacity", async () => {
    const harness = await GatewayHarness.create();
    harness.loadTable.claim(harness.announce(ENGINE, 1), MEMORY_TOKENS, 0);
    const exchange = await harness.send("/draft/x");
    await harness.advance(3_700);
    expect(exchange.status).toBe(503);
    expect(harness.endpoints.transfers).toHaveLength(0);
  });
});
