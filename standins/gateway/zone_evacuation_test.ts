import { flushPromises } from "../../src/base/common/clock.ts";
import type { FakeTransfer } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP, ENGINE, OTHER_ZONE, ZONE } from "./harness_configuration.ts";

describe("Gateway before an evacuated zone", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const service of [APP, ENGINE]) {
      const first = service === APP ? 1 : 11;
      harness.announce(service, first);
      harness.announce(service, first + 1);
      harness.announce(service, first + 2, 1, 0, OTHER_ZONE);
    }
  });

  /** @returns The transfers to endpoints of the first zone since an index. */
  function intoZone(since = 0): readonly FakeTransfer[] {
    const addresses = [1, 2, 11, 12].map((number) => harness.addressOf(number));
    return harness.endpoints.transfers.slice(since).filter(({ request }) =>
      addresses.includes(request.address)
    );
  }

  it.each(["/read/x", "/book/x", "/draft/x", "/check/x"])(
    "sends %s to another zone, and back after the return",
    async (path) => {
      harness.evacuations.record(ZONE, 7);
      for (let count = 0; count < 4; count++) await harness.send(path);
      expect(harness.endpoints.transfers).toHaveLength(4);
      expect(intoZone()).toEqual([]);
      harness.evacuations.remove(ZONE);
      for (let count = 0; count < 4; count++) await harness.send(path);
      expect(intoZone().length).toBeGreaterThan(0);
    },
  );

  it.each(["/read/x", "/draft/x"])(
    "refuses %s at once, as not run, when all zones are evacuated",
    async (path) => {
      harness.evacuations.record(ZONE, 7);
      harness.evacuations.record(OTHER_ZONE, 8);
      const refused = await harness.send(path);
      expect(refused.status).toBe(503);
      expect(Number(refused.responseHeader("retry-after"))).toBe(1);
      expect(harness.endpoints.transfers).toEqual([]);
      expect(harness.logger.lastFields("request-ended")).toMatchObject({
        end: "not-run",
        evacuated: "zone-a,zone-b",
        endpoints: "evacuated=3",
      });
    },
  );

  it("retries a call in another zone that failed in the zone before", async () => {
    const exchange = await harness.send("/read/x");
    expect(intoZone()).toHaveLength(1);
    harness.evacuations.record(ZONE, 7);
    harness.endpoints.last.breakConnection();
    await harness.advance(1_000);
    expect(intoZone(1)).toEqual([]);
    harness.endpoints.last.respond(200, "done");
    await flushPromises();
    expect(exchange.status).toBe(200);
  });

  // Guards against streams that are cut or moved by the evacuation itself.
  it("lets a run in the zone end by itself", async () => {
    const exchange = await harness.send("/draft/x");
    const [run] = harness.endpoints.transfers;
    expect(intoZone()).toHaveLength(1);
    run!.head(200).event(1);
    harness.evacuations.record(ZONE, 7);
    await harness.advance(200);
    expect(run!.isAborted).toBe(false);
    run!.event(2).finish();
    await flushPromises();
    expect(exchange.status).toBe(200);
    expect(harness.engineControl.copies).toEqual([]);
  });

  it("sends a generation that waits for a place to no evacuated zone", async () => {
    for (const number of [11, 12, 13]) {
      const { id } = harness.registry.all.find(({ announcement }) =>
        announcement.address === harness.addressOf(number)
      )!;
      harness.loadTable.claim(id, 33_000, 0);
    }
    const exchange = await harness.send("/draft/x");
    await harness.advance(200);
    expect(harness.endpoints.transfers).toEqual([]);
    harness.evacuations.record(ZONE, 7);
    harness.evacuations.record(OTHER_ZONE, 8);
    await harness.advance(100);
    expect(exchange.status).toBe(503);
    expect(harness.endpoints.transfers).toEqual([]);
  });

  // Guards against an evacuation that is learned between choice and send.
  it("checks the rules just before each send", async () => {
    const { logger } = harness;
    const write = logger.log.bind(logger);
    logger.log = (level, event, fields) => {
      write(level, event, fields);
      if (event === "stream-placed") harness.evacuations.record(ZONE, 7);
    };
    await harness.send("/draft/x");
    await harness.advance(10);
    expect(logger.lastFields("send-prevented")).toMatchObject({
      reason: "evacuated",
    });
    expect(intoZone()).toEqual([]);
    expect(harness.endpoints.transfers).toHaveLength(1);
    for (const { health } of harness.registry.all) {
      expect(health.failureRate).toBe(0);
    }
  });
});
