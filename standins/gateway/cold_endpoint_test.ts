import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  APP,
  configuration,
  ENGINE,
  engineService,
  ROUTES,
} from "./harness_configuration.ts";

const RATE_PER_S = 5;
const MAX_PER_S = 1.5 * RATE_PER_S + 5;
const COLD_MS = 60_000;
const STEP_MS = 10;
/** Time that an endpoint takes for a request. */
const SERVICE_MS = 40;
const WARM = 1;
const COLD = 2;
const OTHER_COLD = 3;

const KINDS = [["calls", APP, "/read/x"], [
  "generations",
  ENGINE,
  "/draft/x",
]] as const;

describe("a cold endpoint of a service with a rate", () => {
  let harness: GatewayHarness;
  let sent: { readonly atMs: number; readonly address: string }[];
  let exchanges: FakeCallerExchange[];

  beforeEach(async () => {
    harness = await GatewayHarness.create({ seed: 5 });
    const cold = { durationMs: COLD_MS, requestsPerS: RATE_PER_S };
    harness.state.apply(
      configuration(2, {
        routes: ROUTES.map((route) =>
          route.name === "draft" ? { ...route, priority: 0 } : route
        ),
        services: new Map([
          [APP, { id: APP, maxConnections: 100, engine: undefined, cold }],
          [ENGINE, { ...engineService(1_000_000), cold }],
        ]),
      }),
      2,
    );
    sent = [];
    exchanges = [];
    await harness.advance(2_000);
  });

  /** Sends one request of each path at a time, and has them all answered. */
  async function sendFor(
    durationMs: number,
    intervalMs: number,
    paths: readonly string[],
  ): Promise<void> {
    const sendsCalls = paths.includes("/read/x");
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      if (spentMs % intervalMs === 0) {
        for (const path of paths) exchanges.push(await harness.send(path));
      }
      await harness.advance(STEP_MS);
      for (const transfer of harness.endpoints.transfers.slice(sent.length)) {
        const { address } = transfer.request;
        sent.push({ address, atMs: harness.clock.monotonicMs() });
        harness.clock.setTimer(SERVICE_MS, () => {
          if (sendsCalls) transfer.respond(200, "ok");
          else transfer.head(200).event(1).finish();
        });
      }
    }
  }

  function timesOf(number: number): number[] {
    const address = harness.addressOf(number);
    return sent.filter((one) => one.address === address)
      .map(({ atMs }) => atMs);
  }

  function mostPerSecond(times: readonly number[]): number {
    return Math.max(
      0,
      ...times.map((startMs) =>
        times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length
      ),
    );
  }

  // A caller would wait for a right although another endpoint has room.
  it.each(KINDS)(
    "lets no %s wait at 50 a second while a warm one has room",
    async (_kind, service, path) => {
      harness.announce(service, WARM);
      harness.announce(service, COLD, 1, COLD_MS);
      await sendFor(6_000, 20, [path]);
      expect(sent.length).toBeGreaterThanOrEqual(exchanges.length - 1);
      expect(mostPerSecond(timesOf(COLD))).toBeLessThanOrEqual(MAX_PER_S);
      await harness.advance(1_000);
      for (const exchange of exchanges) expect(exchange.status).toBe(200);
      const rights = harness.logger.lines.filter(({ event, fields }) =>
        event === "right-denied" && fields["maxWaitMs"] !== 0
      );
      expect(rights).toEqual([]);
    },
  );

  it.each(KINDS)(
    "gets the rate in %s at 50 a second where all are cold",
    async (_kind, service, path) => {
      harness.announce(service, COLD, 1, COLD_MS);
      harness.announce(service, OTHER_COLD, 1, COLD_MS);
      await sendFor(8_000, 20, [path]);
      for (const number of [COLD, OTHER_COLD]) {
        const times = timesOf(number);
        expect(mostPerSecond(times)).toBeLessThanOrEqual(MAX_PER_S);
        expect(times.length).toBeGreaterThanOrEqual(0.8 * 8 * RATE_PER_S);
      }
    },
  );

  it("gets urgent generations first where all are cold, at 50 a second of each kind", async () => {
    harness.announce(ENGINE, COLD, 1, COLD_MS);
    await sendFor(8_000, 20, ["/short/x", "/draft/x"]);
    const served = (path: string) =>
      exchanges.filter(({ status, target }) =>
        target === path && status === 200
      )
        .length;
    expect(served("/draft/x")).toBeGreaterThanOrEqual(0.7 * 8 * RATE_PER_S);
    expect(served("/short/x")).toBeLessThanOrEqual(0.1 * 8 * RATE_PER_S);
  });

  // RAMP is for limits that endpoints state.
  it("gets all requests as soon as it is warm", async () => {
    harness.announce(APP, COLD, 1, 3_000);
    await sendFor(3_000, 20, ["/read/x"]);
    const before = sent.length;
    await sendFor(1_000, 20, ["/read/x"]);
    expect(sent.length - before).toBeGreaterThanOrEqual(49);
  });

  // The registry once kept only the first entry of a process.
  it("is limited when its entry says so later", async () => {
    harness.announce(APP, COLD);
    await sendFor(1_000, 20, ["/read/x"]);
    expect(sent.length).toBeGreaterThanOrEqual(49);
    harness.announce(APP, COLD, 1, COLD_MS);
    await sendFor(100, 20, ["/read/x"]);
    const fromMs = harness.clock.monotonicMs();
    await sendFor(4_000, 20, ["/read/x"]);
    const times = timesOf(COLD).filter((atMs) => atMs >= fromMs);
    expect(mostPerSecond(times)).toBeLessThanOrEqual(MAX_PER_S);
    expect(times.length).toBeGreaterThanOrEqual(0.8 * 4 * RATE_PER_S);
  });
});
