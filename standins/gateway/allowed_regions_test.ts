import { flushPromises } from "../../src/base/common/clock.ts";
import type { RegionName } from "../../src/base/common/ids.ts";
import type { RegionList } from "../../src/features/gateway/common/configuration/region_restriction.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  APP,
  configuration,
  ENGINE,
  KEY,
  OTHER_REGION,
  OTHER_ZONE,
  REGION,
  ROUTES,
  ZONE,
} from "./harness_configuration.ts";

const HERE = new Set([REGION]);
const THERE = new Set([OTHER_REGION]);
const PATHS = ["/read/x", "/book/x", "/draft/x", "/check/x"];

describe("Gateway with allowed regions", () => {
  let harness: GatewayHarness;
  let version: number;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    version = 1;
    for (const service of [APP, ENGINE]) {
      const first = service === APP ? 1 : 11;
      harness.announce(service, first);
      harness.announce(service, first + 1, 1, 0, OTHER_ZONE);
    }
  });

  /** Puts lists of the routes and of the workspace in force. */
  function allow(route?: RegionList, workspace?: RegionList): void {
    const [holder] = configuration(1).keys!.values();
    const changed = configuration(++version, {
      routes: ROUTES.map((each) => ({ ...each, allowedRegions: route })),
      keys: new Map([[KEY, { ...holder!, allowedRegions: workspace }]]),
    });
    harness.state.apply(changed, version);
  }

  /** @returns Whether the latest request went to the other zone. */
  function wentThere(): boolean {
    const { address } = harness.endpoints.last.request;
    return [2, 12].some((number) => harness.addressOf(number) === address);
  }

  // Guards against a kind of request that leaves its regions.
  it.each(PATHS)(
    "sends %s only to endpoints of these regions",
    async (path) => {
      allow(THERE);
      await harness.send(path);
      expect(wentThere()).toBe(true);
      allow(undefined, HERE);
      await harness.send(path);
      expect(wentThere()).toBe(false);
    },
  );

  it.each([
    ["route", HERE, undefined],
    ["workspace", undefined, HERE],
    ["both", HERE, HERE],
    ["both", THERE, HERE],
  ])(
    "refuses at once, as not run, and logs which list applied: %s",
    async (boundBy, route, workspace) => {
      for (const number of [1, 11]) {
        const address = harness.addressOf(number);
        const endpoint = harness.registry.all.find(({ announcement }) =>
          announcement.address === address
        );
        harness.registry.markDraining(endpoint!.id, "draining");
      }
      if (boundBy === "both" && route === THERE) {
        harness.announce(APP, 3);
        harness.announce(ENGINE, 13);
      }
      allow(route, workspace);
      for (const path of PATHS) {
        const refused = await harness.send(path);
        expect(refused.status).toBe(503);
        expect(Number(refused.responseHeader("retry-after")))
          .toBeGreaterThan(0);
        expect(harness.logger.lastFields("request-ended")).toMatchObject({
          end: "not-run",
          regionsBoundBy: boundBy,
        });
      }
      expect(harness.endpoints.transfers).toEqual([]);
    },
  );

  it("retries no call outside of them", async () => {
    allow(HERE);
    const exchange = await harness.send("/read/x");
    harness.endpoints.last.breakConnection();
    await harness.advance(1_000);
    expect(harness.endpoints.transfers).toHaveLength(1);
    expect(exchange.status).toBe(502);
    expect(harness.logger.lastFields("request-ended")).toMatchObject({
      end: "unknown",
      regionsBoundBy: "route",
      endpoints: "excluded=1 other-region=1",
    });
  });

  // Guards against a list that only binds requests admitted after it changed.
  it("applies a changed list to a request that waits for a place", async () => {
    const engines = harness.registry.usable(ENGINE);
    const claims = engines.map(({ id }) =>
      harness.loadTable.claim(id, 33_000, 0)
    );
    const exchange = await harness.send("/draft/x");
    await harness.advance(100);
    allow(THERE);
    claims[0]!.dispose();
    await harness.advance(100);
    expect(harness.endpoints.transfers).toEqual([]);
    claims[1]!.dispose();
    await harness.advance(100);
    expect(wentThere()).toBe(true);
    expect(exchange.hasEnded).toBe(false);
  });

  it("applies a changed list to the continuation of a stream", async () => {
    const exchange = await harness.send("/check/x");
    const [run] = harness.endpoints.transfers;
    run!.head(200).event(1);
    allow(HERE);
    run!.breakConnection();
    await harness.advance(200);
    await flushPromises();
    expect(harness.endpoints.transfers).toHaveLength(1);
    expect(exchange.outcome).toBe("broken-off");
  });

  it("lets a body through to peers of allowed regions or of its own only", async () => {
    await harness.send("/read/x");
    expect(harness.endpoints.last.request.relay?.mayPassTo?.(OTHER_ZONE))
      .toBe(true);
    allow(HERE);
    await harness.send("/read/x");
    const { relay } = harness.endpoints.last.request;
    expect(relay?.mayPassTo?.(OTHER_ZONE)).toBe(false);
    allow(THERE);
    expect(relay?.mayPassTo?.(OTHER_ZONE)).toBe(true);
    // The region of the host to which the caller connected.
    expect(relay?.mayPassTo?.(ZONE)).toBe(true);
    expect(relay?.mayPassTo?.("zone-x" as never)).toBe(false);
  });

  it("warns once of each version that names a region of no zone, and keeps the rest", async () => {
    const unknown = "mars" as RegionName;
    allow(new Set([OTHER_REGION, unknown]), new Set([OTHER_REGION, unknown]));
    const warnings = harness.logger.lines.filter(({ event }) =>
      event === "region-unknown"
    );
    expect(warnings).toEqual([{
      level: "warn",
      event: "region-unknown",
      fields: { version, regions: unknown },
    }]);
    await harness.send("/read/x");
    expect(wentThere()).toBe(true);
  });
});
