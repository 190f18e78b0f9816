import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import type { EndpointId, WorkspaceId } from "../../src/base/common/ids.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { configuration, ENGINE, KEY } from "./harness_configuration.ts";
import { createZonePlacer, PLACER_HOST } from "./zone_placer_fixture.ts";

/** Large enough for one draft of the harness, too small for two. */
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
    const harnesses: GatewayHarness[] = [];
    for (const number of [1, 2, 3]) {
      harnesses.push(
        await GatewayHarness.create({
          clock,
          createPlacer: (harness, chooser) => {
            const placer = createZonePlacer(harness, chooser, network, number);
            placers.push(placer);
            return placer;
          },
        }),
      );
    }
    [placerHarness, requester] = harnesses as [GatewayHarness, GatewayHarness];
    otherRequesters = harnesses.slice(2);
    for (const harness of harnesses) {
      for (const engine of [1, 2]) harness.announce(ENGINE, engine);
    }
  });
  let otherRequesters: GatewayHarness[];

  /**
   * Leaves capacity for one draft on the second engine, as the placer sees it.
   */
  function fillEngines(harness: GatewayHarness): void {
    const [first, second] = harness.registry.all;
    harness.loadTable.claim(first!.id, 34_000, 0);
    harness.loadTable.claim(second!.id, 34_000 - SINGLE_DRAFT_TOKENS, 0);
  }

  it("places the request of another daemon", async () => {
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    const line = requester.logger.lastFields("stream-placed");
    expect(line).toMatchObject({ placer: PLACER_HOST });
  });

  it("grants the same capacity only once although its load table is updated later", async () => {
    fillEngines(placerHarness);
    await requester.send("/draft/x");
    await otherRequesters[0]!.send("/draft/x");
    await clock.advanceAsync(20);
    const placed = [requester, otherRequesters[0]!].map(({ endpoints }) =>
      endpoints.transfers.length
    );
    expect(placed.sort()).toEqual([0, 1]);
  });

  it("grants capacity to the most urgent request of all daemons", async () => {
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

  it("places locally at once when the link to the placer is down", async () => {
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

  it("places locally when the placer does not answer, and during the cooldown after that", async () => {
    placers[0]!.dispose();
    await requester.send("/draft/x");
    await clock.advanceAsync(250);
    expect(requester.endpoints.transfers).toHaveLength(0);
    await clock.advanceAsync(150);
    expect(requester.endpoints.transfers).toHaveLength(1);
    await requester.send("/draft/x");
    expect(requester.endpoints.transfers).toHaveLength(2);
  });

  it("keeps waiting while the placer reports that the request is queued", async () => {
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

  it("withdraws a request whose caller has disconnected", async () => {
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

  it("answers 503 when no capacity is available in time", async () => {
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

  it("places locally when the service is not configured at the placer yet", async () => {
    placerHarness.state.apply(configuration(2, { services: new Map() }), 2);
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(requester.logger.lastFields("stream-placed")!["placer"])
      .toBeUndefined();
  });

  it("places locally while no engine is registered at the placer", async () => {
    for (const { id } of placerHarness.registry.all) {
      placerHarness.registry.markDraining(id, "removed");
    }
    const exchange = await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.transfers).toHaveLength(1);
    expect(exchange.hasEnded).toBe(false);
  });

  it("places locally while no engine with the stream's version is registered at the placer", async () => {
    requester.registry.announce({
      ...requester.registry.all[0]!.announcement,
      id: `${ENGINE}-3` as EndpointId,
      address: requester.addressOf(3),
      softwareVersion: "v2",
    });
    requester.streamVersions.add({
      id: "first",
      workspace: "w" as WorkspaceId,
      service: ENGINE,
      softwareVersion: "v2",
      expiresMs: clock.monotonicMs() + 60_000,
    });
    const resumed = ["key", KEY, "after", "2", "resumes", "first"];
    const exchange = await requester.send("/check/x", resumed);
    await clock.advanceAsync(5);
    expect(exchange.hasEnded).toBe(false);
    expect(requester.endpoints.transfers.map(({ request }) => request.address))
      .toEqual([requester.addressOf(3)]);
  });

  it("is not granted an engine that it has ejected", async () => {
    const [bad, good] = requester.registry.all;
    placerHarness.loadTable.claim(good!.id, 20_000, 0);
    const nowMs = clock.monotonicMs();
    while (!bad!.health.isEjected(nowMs)) bad!.health.record("broken", nowMs);
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    const used = requester.endpoints.last.request.address;
    expect(used).toBe(good!.announcement.address);
  });

  it("places locally when the granted engine is draining", async () => {
    const [first, second] = requester.registry.all;
    requester.registry.markDraining(first!.id, "draining");
    placerHarness.loadTable.claim(second!.id, 34_000, 0);
    await requester.send("/draft/x");
    await clock.advanceAsync(5);
    expect(requester.endpoints.last.request.address)
      .toBe(second!.announcement.address);
  });
});
