import type { EndpointId } from "../../src/base/common/ids.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  KEY,
  ROUTES,
  ZONE,
} from "./harness_configuration.ts";

/** Time within which hosts report the streams that they begin. */
const REPORT_DELAY_MS = 150;

describe("streams that outlast the timeout of their route", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
  });

  function announce(number: number, softwareVersion: string, bornMs = 1): void {
    harness.registry.announce({
      id: `${ENGINE}-${number}` as EndpointId,
      service: ENGINE,
      address: harness.addressOf(number),
      zone: ZONE,
      softwareVersion,
      slots: 24,
      bornMs,
      isDraining: false,
      warmUpRemainingMs: 0,
    });
  }

  function setTimeoutOfStreams(timeoutMs: number, version = 2): void {
    const routes = ROUTES.map((route) =>
      route.name === "check" ? { ...route, timeoutMs } : route
    );
    harness.softwareVersions.setRoutes(routes);
    harness.state.apply(configuration(version, { routes }), version);
  }

  /** Begins a stream at v1 whose caller waits for a minute. */
  async function begin() {
    announce(1, "v1");
    const exchange = await harness.send("/check/x", [
      "key",
      KEY,
      "timeout",
      "60000",
    ]);
    harness.endpoints.last.head(200).event(1).event(2);
    return exchange;
  }

  const takeUp = () =>
    harness.send("/check/x", [
      "key",
      KEY,
      "timeout",
      "30000",
      "after",
      "2",
      "resumes",
      "r1",
    ]);

  it("go on while their version serves, within their caller's deadline", async () => {
    setTimeoutOfStreams(6_000);
    const first = await begin();
    announce(2, "v2");
    await harness.advance(6_500);
    expect(first.outcome).toBe("broken-off");
    await harness.advance(1_500);
    const second = await takeUp();
    expect(second.status).not.toBe(503);
    expect(harness.endpoints.last.request.address).toBe(harness.addressOf(1));
  });

  it("do not go on at another version, within their caller's deadline", async () => {
    setTimeoutOfStreams(6_000);
    await begin();
    announce(2, "v2");
    harness.registry.markDraining(`${ENGINE}-1` as EndpointId, "draining");
    await harness.advance(16_000);
    harness.registry.expirePhases();
    await harness.advance(8_000);
    expect((await takeUp()).status).toBe(503);
    expect(harness.endpoints.transfers).toHaveLength(1);
  });

  it("do not go on at another version after a configuration has shortened it, at a host that does not know them", async () => {
    announce(1, "v1");
    announce(2, "v2");
    harness.registry.markDraining(`${ENGINE}-1` as EndpointId, "draining");
    await harness.advance(16_000);
    harness.registry.expirePhases();
    setTimeoutOfStreams(6_000);
    await harness.advance(7_000);
    const refused = await takeUp();
    await harness.advance(REPORT_DELAY_MS);
    expect(refused.status).toBe(503);
    expect(harness.endpoints.transfers).toHaveLength(0);
  });

  it("go on after a configuration has shortened it, at the host that began them", async () => {
    const first = await begin();
    announce(2, "v2");
    announce(3, "v1");
    setTimeoutOfStreams(3_000);
    await harness.advance(4_500);
    harness.endpoints.last.breakConnection();
    await harness.advance(10);
    expect(first.outcome).toBeUndefined();
    expect(harness.endpoints.last.request.address).toBe(harness.addressOf(3));
  });
});
