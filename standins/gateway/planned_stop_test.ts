import { flushPromises } from "../../src/base/common/clock.ts";
import type { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP, ENGINE, KEY } from "./harness_configuration.ts";

const LENIENT_FOR_MS = 2_600;
const LIMIT_MS = 7_600;
const RETRY_AFTER = "0.05";
/** Prompt and largest output in tokens; an event holds four. */
const FEW_EVENTS = "3000,16";

describe("a gateway whose host stops", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const number of [1, 2]) harness.announce(APP, number);
    for (const number of [3, 4]) harness.announce(ENGINE, number);
  });

  function stop(): void {
    const nowMs = harness.clock.monotonicMs();
    harness.stop.begin({
      lenientUntilMs: nowMs + LENIENT_FOR_MS,
      endMs: nowMs + LIMIT_MS,
    });
  }

  const send = (target: string, ...headers: string[]) =>
    harness.send(target, ["key", KEY, ...headers]);

  function expectRefused(exchange: FakeCallerExchange): void {
    expect(exchange.status).toBe(503);
    expect(exchange.responseHeader("retry-after")).toBe(RETRY_AFTER);
  }

  /** Uses the memory of all engines. */
  const fillEngines = () =>
    harness.registry.usable(ENGINE).map(({ id }) =>
      harness.loadTable.claim(id, 34_000, 0)
    );

  const sentCount = () => harness.endpoints.transfers.length;

  // Guards against streams that are accepted and cut by the stop.
  it("begins no stream that can outlast it, also one that can be resumed", async () => {
    stop();
    await harness.advance(3_600);
    expectRefused(await send("/check/x", "timeout", "6000"));
    expectRefused(await send("/draft/x", "timeout", "6000"));
    expectRefused(await send("/check/x"));
    expect(sentCount()).toBe(0);
  });

  it.each(["/check/x", "/draft/x"])(
    "begins streams that end before it, on %s",
    async (target) => {
      stop();
      await harness.advance(3_600);
      const exchange = await send(target, "timeout", "3900");
      expect(exchange.status).toBe(0);
      expect(sentCount()).toBe(1);
    },
  );

  it.each([
    ["few events", "/check/x", FEW_EVENTS, 1],
    ["many events", "/check/x", "3000,2000", 0],
    ["few events that cannot be resumed", "/draft/x", FEW_EVENTS, 0],
  ])(
    "begins streams of %s by their objectives while callers do not know of the stop",
    async (_what, target, prompt, expected) => {
      stop();
      const exchange = await send(target, "prompt", prompt);
      expect(sentCount()).toBe(expected);
      if (expected === 0) expectRefused(exchange);
      // Five seconds are left, which its objectives allow and its deadline not.
      await harness.advance(LENIENT_FOR_MS);
      expectRefused(await send(target, "prompt", prompt));
    },
  );

  it("begins calls until their deadline is later than its end", async () => {
    stop();
    await harness.advance(LIMIT_MS - 1_500);
    expect((await send("/book/x")).status).toBe(0);
    await harness.advance(1);
    expectRefused(await send("/book/x"));
    expect((await send("/book/x", "timeout", "1000")).status).toBe(0);
    expect(sentCount()).toBe(2);
  });

  it("refuses a stream at once that waits for an endpoint when it begins to stop", async () => {
    const claims = fillEngines();
    const waiting = await send("/check/x");
    const short = await send("/short/x", "timeout", "5000");
    expect(waiting.status).toBe(0);
    stop();
    await flushPromises();
    expectRefused(waiting);
    expect(short.status).toBe(0);
    for (const claim of claims) claim.dispose();
    await harness.advance(200);
    expect(sentCount()).toBe(1);
  });

  it("goes on with what it began before", async () => {
    const exchange = await send("/check/x");
    harness.endpoints.last.head(200).event(1);
    stop();
    await harness.advance(5_000);
    harness.endpoints.last.event(2).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("refuses what still waits when it ends", async () => {
    fillEngines();
    const waiting = await send("/short/x", "timeout", "6000");
    stop();
    await harness.advance(500);
    expect(waiting.status).toBe(0);
    harness.stop.end();
    expectRefused(waiting);
  });
});
