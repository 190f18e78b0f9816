import { flushPromises } from "../../src/base/common/clock.ts";
import { QUARANTINE_DURATION_MS } from "../../src/features/quarantine/common/endpoint_crash.ts";
import { NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { ENGINE, KEY } from "./harness_configuration.ts";

const ENDPOINT_COUNT = 8;

describe("parts of prompts on one daemon", () => {
  let harness: GatewayHarness;
  let sentCount = 0;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (let number = 1; number <= ENDPOINT_COUNT; number++) {
      harness.announce(ENGINE, number);
    }
  });

  /** Sends a request that no other equals, but for the parts of its prompt. */
  function send(parts: string) {
    return harness.send(`/draft/${sentCount++}`, ["key", KEY, "parts", parts]);
  }

  async function loseEndpoint(): Promise<void> {
    const { address } = harness.endpoints.last.request;
    harness.engineControl.offline.add(address);
    harness.endpoints.last.breakConnection();
    await flushPromises();
    await harness.advance(10);
    const lost = harness.registry.all.find(({ announcement }) =>
      announcement.address === address
    )!;
    harness.registry.markDraining(lost.id, "removed");
  }

  async function crashWith(parts: string): Promise<void> {
    await send(parts);
    await loseEndpoint();
  }

  it("are refused once three endpoints crashed on one, with the endpoints' names", async () => {
    for (const parts of ["a,bad", "bad,b", "bad"]) await crashWith(parts);
    const before = harness.endpoints.transfers.length;
    const refused = await send("other,bad");
    expect(refused.status).toBe(503);
    expect(Number(refused.responseHeader("retry-after"))).toBeGreaterThan(60);
    expect(refused.responseText).toContain("bad");
    expect(harness.endpoints.transfers).toHaveLength(before);
  });

  it("are sound once an endpoint has written on them and lived", async () => {
    await send("sys");
    harness.endpoints.last.head(200).event(1);
    await harness.advance(300);
    harness.endpoints.last.event(2);
    for (let count = 0; count < 4; count++) await crashWith("sys,bad");
    expect((await send("sys")).hasEnded).toBe(false);
    expect((await send("sys,bad")).status).toBe(503);
  });

  it("are not sound by an answer that did not run the request", async () => {
    const turnedAway = await send("bad");
    while (!turnedAway.hasEnded) {
      harness.endpoints.last.respond(503, "full", NOT_RUN_HEADERS);
      await flushPromises();
    }
    for (let count = 0; count < 3; count++) await crashWith("bad");
    expect((await send("bad")).status).toBe(503);
  });

  it("are not sound by a first event just before the crash", async () => {
    for (let count = 0; count < 3; count++) {
      await send("bad");
      harness.endpoints.last.head(200).event(1);
      await loseEndpoint();
    }
    expect((await send("bad")).status).toBe(503);
  });

  it("are probed by one request at a time after the quarantine", async () => {
    for (let count = 0; count < 3; count++) await crashWith("bad");
    await harness.advance(1_100);
    expect((await send("bad")).status).toBe(503);
    await harness.advance(QUARANTINE_DURATION_MS);
    for (let number = 20; number < 24; number++) {
      harness.announce(ENGINE, number);
    }
    const before = harness.endpoints.transfers.length;
    const probe = await send("bad");
    const second = await send("bad");
    expect(harness.endpoints.transfers).toHaveLength(before + 1);
    expect(second.status).toBe(503);
    expect(Number(second.responseHeader("retry-after"))).toBe(1);
    harness.endpoints.last.head(200).event(1);
    await harness.advance(300);
    harness.endpoints.last.event(2).finish();
    await flushPromises();
    expect(probe.outcome).toBe("answered");
    const last = [await send("bad"), await send("bad")];
    expect(last.map(({ status }) => status)).toEqual([0, 0]);
    expect(harness.endpoints.transfers).toHaveLength(before + 3);
  });
});
