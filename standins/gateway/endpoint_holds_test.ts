import { flushPromises } from "../../src/base/common/clock.ts";
import { NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP, ENGINE } from "./harness_configuration.ts";

describe("an endpoint that turns requests away for a time", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
  });

  async function turnAway(target: string, retryAfter: string) {
    const exchange = await harness.send(target);
    harness.endpoints.last.respond(503, "", [
      ...NOT_RUN_HEADERS,
      "retry-after",
      retryAfter,
    ]);
    await flushPromises();
    return exchange;
  }

  const sentCount = () => harness.endpoints.transfers.length;

  it("gets nothing until the time is over, and its callers are told that time at once", async () => {
    harness.announce(APP, 1);
    const first = await turnAway("/book/x", "3");
    expect(first.status).toBe(503);
    await harness.advance(1_000);
    const before = sentCount();
    const refused = await harness.send("/book/x");
    expect(refused.status).toBe(503);
    const retryAfter = Number(refused.responseHeader("retry-after"));
    expect(retryAfter).toBeGreaterThanOrEqual(2);
    expect(retryAfter).toBeLessThanOrEqual(3);
    expect(sentCount()).toBe(before);
    await harness.advance(retryAfter * 1_000 + 10);
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });

  it("leaves its requests to other endpoints", async () => {
    harness.announce(APP, 1);
    harness.announce(APP, 2);
    await turnAway("/read/x", "3");
    const held = harness.endpoints.transfers[0]!.request.address;
    harness.endpoints.last.respond(200, "ok");
    await flushPromises();
    for (let count = 0; count < 10; count++) {
      const served = await harness.send("/read/x");
      expect(harness.endpoints.last.request.address).not.toBe(held);
      harness.endpoints.last.respond(200, "ok");
      await flushPromises();
      expect(served.status).toBe(200);
    }
  });

  it("is waited for when the call can still be served in time", async () => {
    harness.announce(APP, 1);
    const waiting = await turnAway("/read/x", "0.05");
    expect(waiting.status).toBe(0);
    await harness.advance(70);
    harness.endpoints.last.respond(200, "ok");
    await flushPromises();
    expect(sentCount()).toBe(2);
    expect(waiting.status).toBe(200);
  });

  it("gets no call whose caller left while it waited", async () => {
    harness.announce(APP, 1);
    const waiting = await turnAway("/read/x", "0.05");
    waiting.disconnect();
    await harness.advance(200);
    expect(sentCount()).toBe(1);
    expect(harness.logger.lastFields("request-ended")).toMatchObject({
      end: "caller-left",
    });
  });

  it.each(["-5", "soon", "", "0"])(
    "is not held back by the malformed time %p",
    async (retryAfter) => {
      harness.announce(APP, 1);
      await turnAway("/book/x", retryAfter);
      const before = sentCount();
      await harness.send("/book/x");
      expect(sentCount()).toBe(before + 1);
    },
  );

  it("is not held back for longer than two minutes", async () => {
    harness.announce(APP, 1);
    await turnAway("/book/x", "1e9");
    await harness.advance(122_000);
    const before = sentCount();
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });

  it("gets no generation, and one that cannot be placed in time is refused at once", async () => {
    harness.announce(ENGINE, 11);
    await turnAway("/short/x", "30");
    const before = sentCount();
    const refused = await harness.send("/short/x");
    expect(refused.status).toBe(503);
    expect(Number(refused.responseHeader("retry-after"))).toBeGreaterThan(25);
    expect(sentCount()).toBe(before);
  });

  it("gets a generation that waited until the time was over", async () => {
    harness.announce(ENGINE, 11);
    await turnAway("/draft/x", "1");
    const before = sentCount();
    const waiting = await harness.send("/draft/x");
    expect([waiting.status, sentCount()]).toEqual([0, before]);
    await harness.advance(1_300);
    expect(sentCount()).toBe(before + 1);
  });

  it("is not held back after it has started again", async () => {
    harness.announce(APP, 1);
    await turnAway("/book/x", "30");
    harness.announce(APP, 1, 2);
    const before = sentCount();
    await harness.send("/book/x");
    expect(sentCount()).toBe(before + 1);
  });
});
