import { flushPromises } from "../../src/base/common/clock.ts";
import type { FakeCallerExchange } from "./fake_caller_exchange.ts";
import type { FakeTransfer } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  engineService,
  KEY,
  ROUTES,
} from "./harness_configuration.ts";

const CHUNKED_HEADERS = [
  "X-Response-Stamp",
  "stamp",
  "transfer-encoding",
  "chunked",
];

describe("streams that several runs make up", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const number of [1, 2, 3]) harness.announce(ENGINE, number);
  });

  const idsOf = ({ responseText }: FakeCallerExchange) =>
    [...responseText.matchAll(/id: ?(\S+)\n/g)].map(([, id]) => id).join();
  const piecesOf = ({ responseText }: FakeCallerExchange) =>
    [...responseText.matchAll(/data: (\S+)\n/g)].map(([, data]) => data).join();

  /** Starts a stream that has brought some events, then breaks. */
  async function startBroken(events: readonly string[], target = "/check/x") {
    const exchange = await harness.send(target);
    const transfer = harness.endpoints.last.head(200, CHUNKED_HEADERS);
    for (const event of events) transfer.data(event);
    await harness.advance(800);
    transfer.breakConnection();
    await flushPromises();
    return { exchange, next: harness.endpoints.last, transfer };
  }

  /** @returns A function that lets copies complete, which wait until then. */
  function holdCopies(): () => void {
    let finish = (): void => undefined;
    const held = new Promise<void>((resolve) => finish = resolve);
    const copyRun = harness.engineControl.copyRun.bind(harness.engineControl);
    harness.engineControl.copyRun = async (...run) => {
      await held;
      return copyRun(...run);
    };
    return finish;
  }

  const numbered = (...ids: (number | string)[]) =>
    ids.map((id) => `id: ${id}\ndata: e${id}\n\n`);

  async function run(transfer: FakeTransfer, events: readonly string[]) {
    transfer.head(200, CHUNKED_HEADERS);
    for (const event of events) transfer.data(event);
    transfer.finish();
    await flushPromises();
  }

  it.each(["/check/x", "/draft/x"])(
    "are not joined where a continuation goes back and then leaves events out, on %s",
    async (target) => {
      const { exchange, next } = await startBroken(numbered(1, 2), target);
      await run(next, numbered(1, 2, 4));
      expect(idsOf(exchange)).toBe("1,2");
      expect(exchange.outcome).not.toBe("answered");
    },
  );

  it("are not joined where a repeat leaves events out", async () => {
    const { exchange, next } = await startBroken(numbered(1));
    await run(next, numbered(3, 4));
    expect(idsOf(exchange)).toBe("1");
    expect(exchange.outcome).not.toBe("answered");
  });

  it("are repeated once where events that do not fit arrive together", async () => {
    const routes = ROUTES.map((route) => ({ ...route, maxAttempts: 4 }));
    harness.state.apply(configuration(2, { routes }), 2);
    const { exchange, next } = await startBroken(numbered(1));
    const claims = harness.registry.all.map(({ id }) =>
      harness.loadTable.claim(id, 34_000, 0)
    );
    next.head(200, CHUNKED_HEADERS).data(numbered(3, 4, 5, 6, 7).join(""));
    await harness.advance(100);
    const lost = harness.logger.lines.filter(({ event }) =>
      event === "stream-lost"
    );
    expect(lost).toHaveLength(2);
    for (const claim of claims) claim.dispose();
    await harness.advance(100);
    await run(harness.endpoints.last, numbered(2, 3));
    expect(idsOf(exchange)).toBe("1,2,3");
    expect(exchange.outcome).toBe("answered");
  });

  it("drop what comes again in the middle of a run", async () => {
    const { exchange, next } = await startBroken(numbered(1, 2));
    await run(next, numbered(3, 4, 3, 4, 5));
    expect(idsOf(exchange)).toBe("1,2,3,4,5");
    expect(exchange.outcome).toBe("answered");
  });

  it("go on once where a copy completes while a repeat waits for room", async () => {
    const exchange = await harness.send("/check/x");
    const transfer = harness.endpoints.last.head(200, CHUNKED_HEADERS);
    transfer.event(1);
    const claims = harness.registry.all.map(({ id }) =>
      harness.loadTable.claim(id, 34_000, 0)
    );
    const finishCopy = holdCopies();
    const source = harness.registry.all.find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    harness.registry.markDraining(source.id, "draining");
    transfer.breakConnection();
    await harness.advance(100);
    finishCopy();
    await flushPromises();
    for (const claim of claims) claim.dispose();
    await harness.advance(100);
    const running = harness.endpoints.transfers.filter(({ isAborted }) =>
      !isAborted
    );
    expect(running).toHaveLength(1);
    await run(running[0]!, numbered(2, 3));
    expect(idsOf(exchange)).toBe("1,2,3");
  });

  it("take nothing from a run that sends on after another has taken over", async () => {
    const { exchange, next, transfer } = await startBroken(
      numbered(1, 2),
      "/draft/x",
    );
    next.head(200, CHUNKED_HEADERS).event(3);
    transfer.isAborted = false;
    transfer.event(3).event(4).finish();
    await flushPromises();
    expect(exchange.hasEnded).toBe(false);
    next.event(4).event(5).finish();
    await flushPromises();
    expect(idsOf(exchange)).toBe("1,2,3,4,5");
  });

  it("stay apart while a caller's first try still runs beside the second one", async () => {
    const first = await harness.send("/check/x");
    const earlier = harness.endpoints.last.head(200, CHUNKED_HEADERS);
    earlier.event(1).event(2);
    const headers = ["key", KEY, "after", "2", "resumes", "r1"];
    const second = await harness.send("/check/x", headers);
    const later = harness.endpoints.last.head(200, CHUNKED_HEADERS);
    later.event(3);
    earlier.event(3).event(4).finish();
    later.event(4).finish();
    await flushPromises();
    expect([idsOf(first), idsOf(second)]).toEqual(["1,2,3,4", "3,4"]);
  });

  it("go on where the ids of events have gaps", async () => {
    const { exchange, next } = await startBroken(numbered(2, 4, 6));
    expect(next.header("continue-after")).toBe("6");
    await run(next, numbered(8, 10));
    expect(idsOf(exchange)).toBe("2,4,6,8,10");
    expect(exchange.outcome).toBe("answered");
  });

  it("are not joined where a caller's next try leaves events out", async () => {
    const exchange = await harness.send("/check/x", ["key", KEY, "after", "2"]);
    await run(harness.endpoints.last, numbered(4, 5));
    expect(idsOf(exchange)).toBe("");
    expect(exchange.outcome).not.toBe("answered");
  });

  it.each(["/check/x", "/draft/x"])(
    "are not joined where the last event that was delivered has no id, on %s",
    async (target) => {
      const events = ["data: a\n\n", "data: b\n\n"];
      const { exchange, next, transfer } = await startBroken(events, target);
      if (next !== transfer) await run(next, [...events, "data: c\n\n"]);
      expect(piecesOf(exchange)).toBe("a,b");
      expect(exchange.outcome).toBe("broken-off");
    },
  );

  it.each(["/check/x", "/draft/x"])(
    "are not joined where an event without id follows the last one with an id, on %s",
    async (target) => {
      const events = [...numbered(1), "data: a\n\n"];
      const { exchange, next, transfer } = await startBroken(events, target);
      if (next !== transfer) await run(next, ["data: a\n\n", ...numbered(2)]);
      expect(piecesOf(exchange)).toBe("e1,a");
      expect(exchange.outcome).toBe("broken-off");
    },
  );

  it.each(["/check/x", "/draft/x"])(
    "are not joined where ids are no numbers, on %s",
    async (target) => {
      const { exchange, next, transfer } = await startBroken(
        numbered("x1", "x2"),
        target,
      );
      if (next !== transfer) await run(next, numbered("x1", "x2", "x3"));
      expect(idsOf(exchange)).toBe("x1,x2");
      expect(exchange.outcome).toBe("broken-off");
    },
  );

  it("are not joined where a comment precedes an event that leaves others out", async () => {
    const { exchange, next } = await startBroken(numbered(1));
    await run(next, [": wait\n\n", ...numbered(3)]);
    expect(idsOf(exchange)).toBe("1");
    expect(exchange.outcome).not.toBe("answered");
  });

  it("go on after a comment without id", async () => {
    const { exchange, next } = await startBroken([
      ...numbered(1),
      ": wait\n\n",
    ]);
    await run(next, numbered(2));
    expect(idsOf(exchange)).toBe("1,2");
    expect(exchange.outcome).toBe("answered");
  });

  it("lose no event whose id is beyond the exact range of numbers", async () => {
    const ids = ["9007199254740992", "9007199254740993", "9007199254740994"];
    const { exchange, next } = await startBroken(numbered(...ids.slice(0, 2)));
    await run(next, numbered(...ids.slice(1)));
    expect(idsOf(exchange)).toBe(ids.join());
  });

  it.each(["0", "1", "abc", " 3 ", "999", "-1", "Infinity", "1e1", "0x3", ""])(
    "that a caller takes up after %p keep every event of their run",
    async (after) => {
      const headers = ["key", KEY, "after", after];
      const exchange = await harness.send("/check/x", headers);
      await run(harness.endpoints.last, numbered(4, 5, 6));
      const isWhole = idsOf(exchange) === "4,5,6";
      expect(isWhole || exchange.outcome !== "answered").toBe(true);
    },
  );

  it("do not end as complete where a continuation ends before the last event that was delivered", async () => {
    const { exchange, next } = await startBroken(numbered(1, 2, 3));
    await run(next, [...numbered(1, 2), ": end\n\n"]);
    expect(idsOf(exchange)).toBe("1,2,3");
    expect(exchange.outcome).not.toBe("answered");
  });

  // The length of the first run need not be that of the stream.
  it.each(["/check/x", "/draft/x"])(
    "do not promise the length of their first run, on %s",
    async (target) => {
      const exchange = await harness.send(target);
      const headers = ["X-Response-Stamp", "stamp", "content-length", "90"];
      harness.endpoints.last.head(200, headers).event(1);
      await harness.advance(800);
      harness.endpoints.last.breakConnection();
      await flushPromises();
      await run(harness.endpoints.last, numbered(2, 3, 4, 5));
      expect(idsOf(exchange)).toBe("1,2,3,4,5");
      expect(exchange.outcome).toBe("answered");
      expect(exchange.responseHeader("content-length")).toBeUndefined();
    },
  );

  it("end where a continuation has no further event", async () => {
    const { exchange, next } = await startBroken(numbered(1, 2, 3));
    await run(next, []);
    expect(idsOf(exchange)).toBe("1,2,3");
    expect(exchange.outcome).toBe("answered");
  });

  it.each([
    ["ends", (transfer: FakeTransfer) => transfer.finish()],
    ["breaks", (transfer: FakeTransfer) => transfer.breakConnection()],
  ])(
    "go on from a copy for which their run is stopped, and its connection %s",
    async (_how, endOf) => {
      // Leaves no room for a backup.
      const small = engineService(3_800);
      const services = new Map(configuration(2).services).set(ENGINE, small);
      harness.state.apply(configuration(2, { services }), 2);
      const exchange = await harness.send("/draft/x");
      const transfer = harness.endpoints.last.head(200).event(1).event(2);
      const { address } = transfer.request;
      harness.lostPaths.add(address);
      const finishCopy = holdCopies();
      await harness.advance(1_500);
      endOf(transfer);
      await flushPromises();
      expect(exchange.hasEnded).toBe(false);
      finishCopy();
      await flushPromises();
      const next = harness.endpoints.last;
      expect(next).not.toBe(transfer);
      expect(next.header("continue-after")).toBe("2");
      next.head(200).event(3).finish();
      await flushPromises();
      expect(idsOf(exchange)).toBe("1,2,3");
      expect(exchange.outcome).toBe("answered");
    },
  );
});
