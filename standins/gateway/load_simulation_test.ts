import { type LoadOutcome, simulateLoad } from "./load_simulation.ts";
import type { LoadOptions } from "./load_options.ts";

/** Six engines with memory for about 33 long generations in total. */
const FLEET = { engines: 6, memoryTokens: 21_864, durationMs: 40_000 };

function simulate(
  draftsPerSecond: number,
  seed: number,
  placement: LoadOptions["placement"] = "queued",
): Promise<LoadOutcome> {
  const checksPerSecond = 4;
  return simulateLoad({
    ...FLEET,
    seed,
    draftsPerSecond,
    checksPerSecond,
    placement,
  });
}

describe("generations under load", () => {
  it.each([1, 2])(
    "are on time while engines have free capacity (seed %d)",
    async (seed) => {
      const { drafts, checks } = await simulate(2.5, seed);
      expect(drafts.onTime / drafts.requested).toBeGreaterThan(0.95);
      expect(checks.onTime / checks.requested).toBeGreaterThan(0.95);
      expect(drafts.failed + checks.failed).toBe(0);
    },
  );

  it.each([1, 2])(
    "are more often on time with a queue when engines are full (seed %d)",
    async (seed) => {
      const queued = await simulate(5, seed);
      const atOnce = await simulate(5, seed, "immediate");
      // The queue must serve at least half as many more requests on time.
      expect(queued.drafts.onTime).toBeGreaterThan(1.5 * atOnce.drafts.onTime);
      expect(queued.checks.onTime).toBeGreaterThan(1.5 * atOnce.checks.onTime);
      expect(queued.recomputedTokens).toBeLessThan(
        0.1 * atOnce.recomputedTokens,
      );
    },
  );

  it("are refused as not run instead of failing at their deadline", async () => {
    const { drafts, checks } = await simulate(6, 1);
    expect(drafts.failed + checks.failed).toBe(0);
    expect(drafts.refused + checks.refused).toBeGreaterThan(0);
  });

  it.each([1, 2])(
    "are on time with many gateways nearly as often as with one (seed %d)",
    async (seed) => {
      const load = {
        seed,
        engines: 28,
        memoryTokens: 21_864,
        durationMs: 10_000,
        draftsPerSecond: 20,
        checksPerSecond: 18,
      };
      const many = { ...load, gateways: 30, updateDelayMs: 40 };
      const one = await simulateLoad({ ...load, placement: "queued" });
      const apart = await simulateLoad({ ...many, placement: "queued" });
      const joined = await simulateLoad({
        ...many,
        placement: "queued-centrally",
      });
      const onTime = ({ drafts, checks }: LoadOutcome) =>
        drafts.onTime + checks.onTime;
      expect(onTime(joined)).toBeGreaterThan(0.9 * onTime(one));
      expect(onTime(joined)).toBeGreaterThan(onTime(apart));
      expect(joined.drafts.failed + joined.checks.failed).toBe(0);
    },
  );
});
