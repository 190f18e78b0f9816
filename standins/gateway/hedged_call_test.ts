import { flushPromises } from "../../src/base/common/clock.ts";
import type { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { type FakeTransfer, NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import {
  GatewayHarness,
  type GatewayHarnessOptions,
} from "./gateway_harness.ts";
import { APP, configuration, KEY, ROUTES } from "./harness_configuration.ts";

const HEDGED: GatewayHarnessOptions = {
  hedgeLimits: { successShare: 0.5, maxHedgesPerWindow: 1_000 },
};
/** Response time of the calls before the one of the test. */
const USUAL_MS = 10;
/** Later than nearly all calls, and before the objective of 150 ms. */
const HEDGE_DUE_MS = 12;
const LARGE_TEXT = "x".repeat(300_000);

describe("a hedged call", () => {
  let harness: GatewayHarness;

  async function create(
    options: GatewayHarnessOptions = HEDGED,
    maxAttempts = 2,
  ): Promise<void> {
    harness = await GatewayHarness.create(options);
    const routes = ROUTES.map((route) =>
      route.name === "read" ? { ...route, maxAttempts } : route
    );
    harness.state.apply(configuration(2, { routes }), 2);
    for (let number = 1; number <= 3; number++) harness.announce(APP, number);
    for (let count = 0; count < 60; count++) {
      await harness.send("/read/x");
      await harness.advance(USUAL_MS);
      harness.endpoints.last.respond(200, "usual");
      await flushPromises();
    }
    harness.endpoints.transfers.length = 0;
    // The delay of the hedges is computed once a second.
    await harness.advance(1_000);
  }

  /** Sends a call that is slow, and waits until its hedge is due. */
  async function sendSlow(target = "/read/x"): Promise<FakeCallerExchange> {
    const exchange = await harness.send(target);
    await harness.advance(HEDGE_DUE_MS);
    return exchange;
  }

  async function sendPair(): Promise<{
    exchange: FakeCallerExchange;
    first: FakeTransfer;
    hedge: FakeTransfer;
  }> {
    const exchange = await sendSlow();
    const [first, hedge] = harness.endpoints.transfers;
    expect(harness.endpoints.transfers).toHaveLength(2);
    return { exchange, first: first!, hedge: hedge! };
  }

  function hedges(reason: string): number {
    return harness.metrics.counters.get(`hedges:${reason}`) ?? 0;
  }

  function allHedges(): string[] {
    return [...harness.metrics.counters.keys()].filter((name) =>
      name.startsWith("hedges:")
    );
  }

  describe("with hedging on", () => {
    beforeEach(() => create());

    it("is sent to another endpoint, whose answer the caller gets", async () => {
      const { exchange, first, hedge } = await sendPair();
      expect(hedge.request.address).not.toBe(first.request.address);
      hedge.respond(200, "hedge");
      await flushPromises();
      expect(exchange.responseText).toBe("hedge");
      expect(first.isAborted).toBe(true);
      expect([hedges("sent"), hedges("won"), hedges("lost")])
        .toEqual([1, 1, 0]);
      expect(harness.logger.lastFields("request-ended")).toMatchObject({
        end: "served",
        sent: 2,
        hedged: true,
        hedgeDelayMs: 10,
        wonBy: "hedge",
      });
    });

    it("does not pass on the late answer of the attempt that lost", async () => {
      const { exchange, first, hedge } = await sendPair();
      first.head(200);
      hedge.respond(200, "hedge");
      await flushPromises();
      first.isAborted = false;
      first.data("late").finish();
      await flushPromises();
      expect(exchange.responseText).toBe("hedge");
      expect(exchange.outcome).toBe("answered");
    });

    it("gets the answer of the first attempt if it is complete first, and aborts the hedge", async () => {
      const { exchange, first, hedge } = await sendPair();
      hedge.head(200).data("half");
      first.respond(200, "first");
      await flushPromises();
      expect(exchange.responseText).toBe("first");
      expect(hedge.isAborted).toBe(true);
      expect([hedges("won"), hedges("lost")]).toEqual([0, 1]);
      expect(harness.logger.lastFields("request-ended"))
        .toMatchObject({ hedged: true, wonBy: "first" });
    });

    it("releases the slot of the hedge when it ends, and that of the slower endpoint after three objectives", async () => {
      const { hedge } = await sendPair();
      const runs = () =>
        harness.registry.usable(APP).reduce(
          (sum, { id }) => sum + harness.loadTable.totalUsage(id).runs,
          0,
        );
      expect(runs()).toBe(2);
      hedge.respond(200, "hedge");
      await flushPromises();
      expect(runs()).toBe(1);
      await harness.advance(450);
      expect(runs()).toBe(0);
    });

    it.each<[string, (transfer: FakeTransfer) => void]>([
      ["a refusal", (transfer) => transfer.respond(503, "", NOT_RUN_HEADERS)],
      [
        "a malformed request",
        (transfer) => transfer.respond(400, "", NOT_RUN_HEADERS),
      ],
      ["an error", (transfer) => transfer.respond(500, "error")],
      [
        "an error that is too large",
        (transfer) => transfer.respond(500, LARGE_TEXT),
      ],
      ["a lost connection", (transfer) => transfer.breakConnection()],
      [
        "a connection that cannot be opened",
        (transfer) => transfer.refuseConnection(),
      ],
    ])("waits for the other attempt after %s", async (_name, fail) => {
      for (const failing of ["first", "hedge"] as const) {
        await create();
        const pair = await sendPair();
        const other = failing === "first" ? pair.hedge : pair.first;
        fail(pair[failing]);
        await flushPromises();
        expect(pair.exchange.hasEnded).toBe(false);
        expect(harness.endpoints.transfers).toHaveLength(2);
        other.respond(200, "other");
        await flushPromises();
        expect(pair.exchange.status).toBe(200);
        expect(pair.exchange.responseText).toBe("other");
      }
    });

    it("promises that it has not run only after both attempts were refused", async () => {
      const refuse = (transfer: FakeTransfer) =>
        transfer.respond(503, "", NOT_RUN_HEADERS);
      const proved = await sendPair();
      refuse(proved.first);
      await flushPromises();
      refuse(proved.hedge);
      await flushPromises();
      // What two endpoints refused is sent once more, as before.
      refuse(harness.endpoints.last);
      await flushPromises();
      expect(proved.exchange.status).toBe(503);
      await harness.advance(1_000);
      harness.endpoints.transfers.length = 0;
      for (const order of [["first", "hedge"], ["hedge", "first"]] as const) {
        await create();
        const unproved = await sendPair();
        unproved[order[0]].breakConnection();
        await flushPromises();
        refuse(unproved[order[1]]);
        await harness.advance(500);
        expect(unproved.exchange.status).toBe(502);
        expect(harness.logger.lastFields("request-ended"))
          .toMatchObject({ end: "unknown", sent: 2, refused: 1 });
      }
    });

    it("makes no promise with a malformed request while the other attempt may have run", async () => {
      const { exchange, first, hedge } = await sendPair();
      first.breakConnection();
      await flushPromises();
      hedge.respond(400, "malformed", NOT_RUN_HEADERS);
      await harness.advance(500);
      expect(exchange.status).toBe(502);
    });

    it("gives the caller the later failure when both fail", async () => {
      const { exchange, first, hedge } = await sendPair();
      first.respond(500, "first error");
      await flushPromises();
      hedge.respond(502, "hedge error");
      await flushPromises();
      expect(exchange.status).toBe(502);
      expect(exchange.responseText).toBe("hedge error");
      expect(harness.endpoints.transfers).toHaveLength(2);
    });

    it("is sent a third time by nobody while both attempts are slow", async () => {
      const { exchange } = await sendPair();
      await harness.advance(1_400);
      expect(harness.endpoints.transfers).toHaveLength(2);
      expect(exchange.hasEnded).toBe(false);
      await harness.advance(200);
      expect(exchange.status).toBe(504);
      expect(harness.endpoints.transfers.every(({ isAborted }) => isAborted))
        .toBe(true);
    });

    it("streams the large answer of one attempt only", async () => {
      const { exchange, first, hedge } = await sendPair();
      hedge.head(200).data("half of the hedge");
      first.head(200).data(LARGE_TEXT);
      await flushPromises();
      expect(hedge.isAborted).toBe(true);
      hedge.isAborted = false;
      hedge.data(LARGE_TEXT).finish();
      first.data("end").finish();
      await flushPromises();
      expect(exchange.responseText).toBe(`${LARGE_TEXT}end`);
      expect(harness.logger.lastFields("request-ended"))
        .toMatchObject({ hedged: true, wonBy: "first" });
    });

    it("is not sent once a large answer is being streamed", async () => {
      const exchange = await harness.send("/read/x");
      harness.endpoints.last.head(200).data(LARGE_TEXT);
      await harness.advance(HEDGE_DUE_MS);
      expect(harness.endpoints.transfers).toHaveLength(1);
      harness.endpoints.last.finish();
      await flushPromises();
      expect(exchange.responseText).toBe(LARGE_TEXT);
    });

    it("aborts both attempts when the caller leaves", async () => {
      const { exchange, first, hedge } = await sendPair();
      exchange.disconnect();
      await flushPromises();
      expect([first.isAborted, hedge.isAborted]).toEqual([true, true]);
      expect(harness.logger.lastFields("request-ended"))
        .toMatchObject({ end: "caller-left", hedged: true });
    });

    it("ends with the answer of one of its two attempts while its host stops", async () => {
      const { exchange, first, hedge } = await sendPair();
      harness.stop.begin({ lenientUntilMs: 0, endMs: 0 });
      harness.stop.end();
      await harness.advance(100);
      expect([first.isAborted, hedge.isAborted]).toEqual([false, false]);
      first.respond(200, "first");
      await flushPromises();
      expect(exchange.responseText).toBe("first");
      expect(hedge.isAborted).toBe(true);
    });

    it("is not sent by a host that stops", async () => {
      await harness.send("/read/x");
      harness.stop.end();
      await harness.advance(HEDGE_DUE_MS);
      expect(harness.endpoints.transfers).toHaveLength(1);
      expect(hedges("suppressed-stopping")).toBe(1);
    });

    it("goes on at an endpoint that leaves, and may be sent to another one", async () => {
      const exchange = await harness.send("/read/x");
      const [first] = harness.endpoints.transfers;
      const endpoint = harness.registry.usable(APP).find(({ announcement }) =>
        announcement.address === first!.request.address
      )!;
      harness.registry.markDraining(endpoint.id, "draining");
      await harness.advance(HEDGE_DUE_MS);
      expect(harness.endpoints.transfers).toHaveLength(2);
      first!.respond(200, "first");
      await flushPromises();
      expect(exchange.responseText).toBe("first");
    });

    it("is not sent while no endpoint has a free slot", async () => {
      for (const { id, announcement } of harness.registry.usable(APP)) {
        for (let run = 0; run < announcement.slots; run++) {
          harness.loadTable.claimCall(id);
        }
      }
      await sendSlow();
      expect(harness.endpoints.transfers).toHaveLength(1);
      expect(hedges("suppressed-no-free-slot")).toBe(1);
    });

    it("is not sent to endpoints that are held, ejected, cold, limited or full", async () => {
      const [one, two, three] = harness.registry.usable(APP);
      const nowMs = harness.clock.monotonicMs();
      const states = [
        () => one!.heldUntilMs = nowMs + 5_000,
        () => two!.health.eject(nowMs),
        () => three!.limitedUntilMs = nowMs + 5_000,
      ];
      for (const set of states) set();
      harness.announce(APP, 4, 1, 60_000);
      const full = harness.announce(APP, 5);
      harness.announce(APP, 6);
      for (let run = 0; run < 6; run++) harness.loadTable.claimCall(full);
      await sendSlow();
      expect(harness.endpoints.last.request.address)
        .toBe(harness.addressOf(6));
      expect(harness.endpoints.transfers).toHaveLength(1);
      expect(hedges("suppressed-no-endpoint")).toBe(1);
    });

    it("is not sent when the body is streamed and can be sent only once", async () => {
      const body = new Uint8Array(300_000);
      await harness.send("/read/x", ["key", KEY], body);
      await harness.advance(HEDGE_DUE_MS);
      expect(harness.endpoints.transfers).toHaveLength(1);
      expect(hedges("suppressed-single-send-body")).toBe(1);
    });

    it.each(["/book/x", "/draft/x"])(
      "is never a call to %s, which must not run twice",
      async (target) => {
        harness.announce("engine" as typeof APP, 9);
        const before = allHedges();
        await sendSlow(target);
        expect(harness.endpoints.transfers).toHaveLength(1);
        expect(allHedges()).toEqual(before);
      },
    );

    it("is not sent for a request that was running when an endpoint crashed", async () => {
      const slow = await harness.send("/read/poison");
      const [first] = harness.endpoints.transfers;
      const { address } = first!.request;
      harness.engineControl.offline.add(address);
      first!.breakConnection();
      await harness.advance(200);
      harness.endpoints.transfers.length = 0;
      slow.disconnect();
      await sendSlow("/read/poison");
      expect(harness.endpoints.transfers).toHaveLength(1);
      expect(hedges("suppressed-suspected")).toBe(1);
    });
  });

  it("is not sent when the route allows one attempt", async () => {
    await create(HEDGED, 1);
    await sendSlow();
    expect(harness.endpoints.transfers).toHaveLength(1);
    expect(hedges("suppressed-attempts-used")).toBeGreaterThan(0);
  });

  it("is not sent once the hedges of the window are used up", async () => {
    await create({ hedgeLimits: { successShare: 1, maxHedgesPerWindow: 2 } });
    for (let count = 0; count < 4; count++) {
      await sendSlow();
      for (const transfer of harness.endpoints.transfers) {
        transfer.respond(200, "");
      }
      await flushPromises();
    }
    expect(hedges("sent")).toBe(2);
    expect(hedges("suppressed-budget")).toBe(2);
  });

  it("is aborted when it is silent for long after its hedge has failed, and sent again", async () => {
    await create(HEDGED, 3);
    const { exchange, hedge } = await sendPair();
    hedge.breakConnection();
    await harness.advance(500);
    expect(harness.endpoints.transfers).toHaveLength(3);
    harness.endpoints.last.respond(200, "third");
    await flushPromises();
    expect(exchange.responseText).toBe("third");
  });

  it("is not hedged by default, and a silent endpoint is detected as before", async () => {
    await create({});
    const exchange = await sendSlow();
    expect(harness.endpoints.transfers).toHaveLength(1);
    await harness.advance(430);
    expect(harness.endpoints.transfers).toHaveLength(1);
    // Three objectives of 150 ms, then the retry.
    await harness.advance(10);
    expect(harness.endpoints.transfers).toHaveLength(2);
    harness.endpoints.last.respond(200, "retry");
    await flushPromises();
    expect(exchange.responseText).toBe("retry");
    expect(allHedges()).toEqual([]);
    expect(harness.logger.lastFields("request-ended")).not.toHaveProperty(
      "hedged",
    );
  });
});
