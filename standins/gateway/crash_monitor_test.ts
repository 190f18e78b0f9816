import { flushPromises } from "../../src/base/common/clock.ts";
import { SIGNED_HEADERS } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP, ENGINE } from "./harness_configuration.ts";

const ENDPOINT_COUNT = 6;

describe("CrashMonitor", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (let number = 1; number <= ENDPOINT_COUNT; number++) {
      harness.announce(APP, number);
    }
  });

  /** Address of the endpoint that received the latest request. */
  const lastAddress = () => harness.endpoints.last.request.address;

  /** Sends a request and loses it with its endpoint, which stays silent. */
  async function crashWith(target: string): Promise<void> {
    await harness.send(target);
    harness.engineControl.offline.add(lastAddress());
    harness.endpoints.last.breakConnection();
    await flushPromises();
    await harness.advance(10);
  }

  const sentCount = () => harness.endpoints.transfers.length;

  it("refuses a request under which endpoints ended one after the other", async () => {
    await crashWith("/book/x");
    await crashWith("/book/x");
    const before = sentCount();
    const refused = await harness.send("/book/x");
    expect(refused.status).toBe(503);
    expect(Number(refused.responseHeader("retry-after"))).toBeGreaterThan(60);
    expect(sentCount()).toBe(before);
    expect(harness.logger.lastFields("request-refused-as-crashing"))
      .toMatchObject({ workspace: "w" });
  });

  it("serves other requests of the workspace and the same one of another path", async () => {
    await crashWith("/book/x");
    await crashWith("/book/x");
    const other = await harness.send("/book/y");
    harness.endpoints.last.respond(200, "ok");
    await flushPromises();
    expect(other.status).toBe(200);
  });

  it("serves a request again once a cut endpoint has answered", async () => {
    await crashWith("/book/x");
    const cut = harness.endpoints.last.request.address;
    await crashWith("/book/x");
    expect((await harness.send("/book/x")).status).toBe(503);
    // The cut heals, and the endpoint answers another request.
    await harness.advance(8_000);
    while (true) {
      await harness.send("/book/y");
      const isCutEndpoint = lastAddress() === cut;
      harness.endpoints.last.respond(200, "ok");
      await flushPromises();
      if (isCutEndpoint) break;
      await harness.advance(100);
    }
    const served = await harness.send("/book/x");
    harness.endpoints.last.respond(200, "ok");
    await flushPromises();
    expect(served.status).toBe(200);
  });

  it("accuses nobody while an endpoint has been silent for a second only", async () => {
    await harness.send("/book/x");
    const address = lastAddress();
    harness.engineControl.silent.add(address);
    harness.endpoints.last.breakConnection();
    await harness.advance(1_200);
    harness.engineControl.silent.delete(address);
    await harness.advance(5_000);
    expect(harness.logger.lastFields("endpoint-crash-recorded"))
      .toBeUndefined();
  });

  it("records a crash of an endpoint that stays silent", async () => {
    await harness.send("/book/x");
    harness.engineControl.silent.add(lastAddress());
    harness.endpoints.last.breakConnection();
    await harness.advance(2_500);
    expect(harness.logger.lastFields("endpoint-crash-recorded"))
      .toMatchObject({ evidence: "suspected" });
  });

  it("accuses nobody of endpoints that end at the same time", async () => {
    await harness.send("/book/x");
    await harness.send("/book/x");
    await harness.send("/book/x");
    const running = harness.endpoints.transfers.slice(-3);
    expect(new Set(running.map(({ request }) => request.address)).size).toBe(3);
    for (const { request } of running) {
      harness.engineControl.offline.add(request.address);
    }
    for (const transfer of running) transfer.breakConnection();
    await harness.advance(10);
    const before = sentCount();
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });

  it("accuses nobody of endpoints that were leaving", async () => {
    for (let round = 0; round < 3; round++) {
      await harness.send("/book/x");
      const { address } = harness.endpoints.last.request;
      const endpoint = harness.registry.all.find(({ announcement }) =>
        announcement.address === address
      )!;
      harness.registry.markDraining(endpoint.id, "draining");
      harness.engineControl.offline.add(address);
      harness.endpoints.last.breakConnection();
      await harness.advance(10);
    }
    expect(harness.suspects.isEmpty).toBe(true);
  });

  it("clears a request that was run to its end", async () => {
    await crashWith("/book/x");
    await harness.send("/book/x");
    const framed = [...SIGNED_HEADERS, "content-length", "2"];
    harness.endpoints.last.respond(200, "ok", framed);
    await harness.advance(10);
    await crashWith("/book/x");
    const before = sentCount();
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });

  it("counts endpoints that end without closing their connections", async () => {
    for (let round = 0; round < 2; round++) {
      await harness.send("/book/x");
      harness.engineControl.offline.add(lastAddress());
      await harness.advance(1_500);
    }
    const before = sentCount();
    expect((await harness.send("/book/x")).status).toBe(503);
    expect(sentCount()).toBe(before);
  });

  it("does not probe an endpoint that answers others while one call hangs", async () => {
    harness = await GatewayHarness.create();
    harness.announce(APP, 1);
    let probes = 0;
    const check = harness.engineControl.checkLiveness.bind(
      harness.engineControl,
    );
    harness.engineControl.checkLiveness = (address) => {
      probes++;
      return check(address);
    };
    await harness.send("/book/hanging");
    for (let count = 0; count < 16; count++) {
      await harness.advance(100);
      await harness.send("/book/y");
      harness.endpoints.last.respond(200, "ok");
      await flushPromises();
    }
    expect(probes).toBe(0);
  });

  it("counts engines that fall silent in the middle of a generation", async () => {
    for (let number = 11; number <= 16; number++) {
      harness.announce(ENGINE, number);
    }
    for (let round = 0; round < 2; round++) {
      await harness.send("/draft/x");
      const transfer = harness.endpoints.last;
      transfer.head(200).event(1);
      await harness.advance(10);
      harness.engineControl.offline.add(transfer.request.address);
      await harness.advance(20_000);
    }
    const before = sentCount();
    await harness.send("/draft/x");
    expect(sentCount()).toBe(before);
  });

  it("confirms a crash when another process takes the address at once", async () => {
    for (let round = 0; round < 2; round++) {
      await harness.send("/book/x");
      const { address } = harness.endpoints.last.request;
      harness.endpoints.last.breakConnection();
      await flushPromises();
      await harness.advance(10);
      harness.announce(APP, Number(/\.(\d+):/.exec(address)![1]), 2 + round);
    }
    expect((await harness.send("/book/x")).status).toBe(503);
  });

  it("does not retry an idempotent call on a third endpoint", async () => {
    await harness.send("/read/x");
    for (let round = 0; round < 3; round++) {
      harness.engineControl.offline.add(lastAddress());
      harness.endpoints.last.breakConnection();
      await harness.advance(10);
    }
    expect(sentCount()).toBe(2);
  });

  it("does not retry a call whose caller left during the probe", async () => {
    const exchange = await harness.send("/read/x");
    harness.engineControl.checkLiveness = () =>
      new Promise((resolve) =>
        harness.clock.setTimer(
          300,
          () => resolve({ kind: "no-answer", detail: "silent" }),
        )
      );
    harness.endpoints.last.breakConnection();
    await harness.advance(100);
    exchange.disconnect();
    await harness.advance(400);
    expect(sentCount()).toBe(1);
  });

  it("does not continue a generation that ended two endpoints from its backup", async () => {
    for (let number = 11; number <= 16; number++) {
      harness.announce(ENGINE, number);
    }
    await harness.send("/draft/x");
    for (let round = 0; round < 4; round++) {
      const transfer = harness.endpoints.last;
      if (transfer.isAborted) break;
      transfer.head(200);
      for (let id = round * 30 + 1; id <= round * 30 + 30; id++) {
        transfer.event(id);
        await harness.advance(20);
      }
      harness.engineControl.offline.add(transfer.request.address);
      transfer.breakConnection();
      await harness.advance(10);
    }
    expect(sentCount()).toBeLessThanOrEqual(3);
  });

  it("expires suspicions that nothing confirms", async () => {
    await crashWith("/book/x");
    await crashWith("/book/x");
    await harness.advance(120_000);
    const before = sentCount();
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });
});
