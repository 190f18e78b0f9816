import { type LoadOptions, type LoadOutcome, playLoad } from "./load_play.ts";

/** Six engines with memory for some 33 long generations in all. */
const FLEET = { engines: 6, memoryTokens: 21_864, durationMs: 40_000 };

function play(
  draftsPerS: number,
  seed: number,
  placing: LoadOptions["placing"] = "queued",
): Promise<LoadOutcome> {
  const checksPerS = 4;
  return playLoad({ ...FLEET, seed, draftsPerS, checksPerS, placing });
}

describe("generations under load", () => {
  it.each([1, 2])(
    "are on time while engines have room (seed %d)",
    async (seed) => {
      const { drafts, checks } = await play(2.5, seed);
      expect(drafts.onTime / drafts.asked).toBeGreaterThan(0.95);
      expect(checks.onTime / checks.asked).toBeGreaterThan(0.95);
      expect(drafts.failed + checks.failed).toBe(0);
    },
  );

  it.each([1, 2])(
    "are served better from a queue when engines are full (seed %d)",
    async (seed) => {
      const queued = await play(5, seed);
      const atOnce = await play(5, seed, "at-once");
      // Half as many again is the aim of the queue.
      expect(queued.drafts.onTime).toBeGreaterThan(1.5 * atOnce.drafts.onTime);
      expect(queued.checks.onTime).toBeGreaterThan(1.5 * atOnce.checks.onTime);
      expect(queued.rereadTokens).toBeLessThan(0.1 * atOnce.rereadTokens);
    },
  );

  it("are rejected as not run instead of failing at their deadline", async () => {
    const { drafts, checks } = await play(6, 1);
    expect(drafts.failed + checks.failed).toBe(0);
    expect(drafts.refused + checks.refused).toBeGreaterThan(0);
  });

  it.each([1, 2])(
    "are served by many gateways nearly as by one (seed %d)",
    async (seed) => {
      const load = {
        seed,
        engines: 28,
        memoryTokens: 21_864,
        durationMs: 10_000,
        draftsPerS: 20,
        checksPerS: 18,
      };
      const many = { ...load, gateways: 30, updateDelayMs: 40 };
      const one = await playLoad({ ...load, placing: "queued" });
      const apart = await playLoad({ ...many, placing: "queued" });
      const joined = await playLoad({ ...many, placing: "queued-in-one" });
      const onTime = ({ drafts, checks }: LoadOutcome) =>
        drafts.onTime + checks.onTime;
      expect(onTime(joined)).toBeGreaterThan(0.9 * onTime(one));
      expect(onTime(joined)).toBeGreaterThan(onTime(apart));
      expect(joined.drafts.failed + joined.checks.failed).toBe(0);
    },
  );
});
