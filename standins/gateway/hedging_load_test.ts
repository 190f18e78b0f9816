import { ManualClock } from "../../src/base/common/clock.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP } from "./harness_configuration.ts";
import { TimedEndpoints } from "./timed_endpoints.ts";

const ENDPOINT_COUNT = 5;
const SLOW_ENDPOINT = 5;
const SLOW_RESPONSE_MS = 300;
const CALLS_PER_S = 200;
const WARM_UP_MS = 20_000;
const LOAD_MS = 50_000;
const WINDOW_MS = 10_000;
/** A success is counted when it ends, up to this long after its receipt. */
const MAX_DURATION_MS = 500;
const MAX_EXTRA_SHARE = 0.05;

interface LoadResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly extraSentMs: readonly number[];
  readonly receivedMs: readonly number[];
}

/** Sends calls to five endpoints, one of which is slow. */
async function runLoad(isHedged: boolean): Promise<LoadResult> {
  const clock = new ManualClock();
  const random = new SeededRandom(11);
  const endpoints = new TimedEndpoints(
    clock,
    (address) =>
      address === harness.addressOf(SLOW_ENDPOINT)
        ? SLOW_RESPONSE_MS
        : 8 + 4 * random.float(),
  );
  const harness: GatewayHarness = await GatewayHarness.create({
    clock,
    client: endpoints,
    ...(isHedged && {
      hedgeLimits: {
        successShare: MAX_EXTRA_SHARE,
        maxHedgesPerWindow: Infinity,
      },
    }),
  });
  for (let number = 1; number <= ENDPOINT_COUNT; number++) {
    harness.announce(APP, number);
  }
  const arrivals = new SeededRandom(12);
  const durationsMs: number[] = [];
  const receivedMs: number[] = [];
  while (clock.monotonicMs() < LOAD_MS) {
    const startMs = clock.monotonicMs();
    receivedMs.push(startMs);
    const exchange = await harness.send("/read/x");
    exchange.onDidEnd(() => {
      if (startMs < WARM_UP_MS) return;
      durationsMs.push(clock.monotonicMs() - startMs);
    });
    await harness.advance(
      -Math.log(1 - arrivals.float()) * 1_000 / CALLS_PER_S,
    );
  }
  await harness.advance(2_000);
  durationsMs.sort((left, right) => left - right);
  const quantile = (fraction: number) =>
    durationsMs[Math.ceil(fraction * durationsMs.length) - 1]!;
  return {
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    extraSentMs: endpoints.extraSentMs,
    receivedMs,
  };
}

describe("load with hedged calls and one slow endpoint of five", () => {
  it("has a lower p99, the same p50, and no more extra sends than allowed", async () => {
    const plain = await runLoad(false);
    const hedged = await runLoad(true);
    expect(plain.p99Ms).toBeGreaterThanOrEqual(SLOW_RESPONSE_MS);
    expect(plain.extraSentMs).toEqual([]);
    expect(hedged.p99Ms).toBeLessThan(plain.p99Ms / 5);
    expect(hedged.p50Ms).toBeLessThanOrEqual(plain.p50Ms * 1.02);
    expect(hedged.extraSentMs.length).toBeGreaterThan(50);
    // Guards against limits that hold on average only.
    const excess = hedged.extraSentMs.filter((endMs) => {
      const between = (times: readonly number[], fromMs: number) =>
        times.filter((atMs) => atMs > fromMs && atMs <= endMs).length;
      const startMs = endMs - WINDOW_MS;
      const calls = between(hedged.receivedMs, startMs - MAX_DURATION_MS);
      return between(hedged.extraSentMs, startMs) > calls * MAX_EXTRA_SHARE;
    });
    expect(excess).toEqual([]);
  });
});
