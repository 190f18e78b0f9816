import {
  type EngineStart,
  type LoadOutcome,
  simulateLoad,
} from "./load_simulation.ts";
import type { LoadOptions } from "./load_options.ts";

const ENGINES = 14;
const LOAD = {
  engines: ENGINES,
  memoryTokens: 26_900,
  durationMs: 16_000,
  draftsPerSecond: 6,
  checksPerSecond: 5,
};
type Fleet = Pick<LoadOptions, "placement" | "gateways" | "updateDelayMs">;

const ALONE: Fleet = { placement: "queued" };
const CENTRAL: Fleet = {
  placement: "queued-centrally",
  gateways: 8,
  updateDelayMs: 40,
};

function gappedShare({ drafts }: LoadOutcome): number {
  return drafts.gapped / drafts.requested;
}

describe("load on endpoints of different speeds", () => {
  // Slow engines were filled like fast ones.
  it.each(
    [1, 2].flatMap((seed) => [
      { seed, name: "one gateway, reported", reportsPace: true, fleet: ALONE },
      { seed, name: "one gateway, learned", reportsPace: false, fleet: ALONE },
      {
        seed,
        name: "many gateways, reported",
        reportsPace: true,
        fleet: CENTRAL,
      },
      {
        seed,
        name: "many gateways, learned",
        reportsPace: false,
        fleet: CENTRAL,
      },
    ]),
  )(
    "gives fewer drafts gaps over 180 ms ($name, seed $seed)",
    async ({ seed, reportsPace, fleet }) => {
      const load: LoadOptions = {
        ...LOAD,
        ...fleet,
        seed,
        reportsPace,
        relativeTime: (engine) => engine % 2 === 0 ? 0.55 : 1.2,
      };
      const before = await simulateLoad({ ...load, ignoresPaces: true });
      const now = await simulateLoad(load);
      expect(gappedShare(before)).toBeGreaterThan(0.1);
      expect(gappedShare(now)).toBeLessThan(0.7 * gappedShare(before));
      expect(now.drafts.onTime).toBeGreaterThanOrEqual(before.drafts.onTime);
    },
  );

  const FAULT = { startMs: 5_000, endMs: 11_000, engines: 2 };

  function shareOnFaulty(
    { starts }: LoadOutcome,
    fromMs: number,
    toMs: number,
  ): number {
    const isIn = ({ atMs }: EngineStart) => atMs >= fromMs && atMs < toMs;
    const all = starts.filter(isIn);
    const faulty = all.filter(({ engine }) => engine <= FAULT.engines);
    return faulty.length / all.length;
  }

  it.each(
    [1, 2].flatMap((seed) => [
      { seed, name: "one gateway", fleet: ALONE },
      { seed, name: "many gateways", fleet: CENTRAL },
    ]),
  )(
    "avoids engines that are 5 times slower for 6 s, and only these 6 s ($name, seed $seed)",
    async ({ seed, fleet }) => {
      const now = await simulateLoad({
        ...LOAD,
        ...fleet,
        seed,
        relativeTime: (engine, nowMs) =>
          engine <= FAULT.engines && nowMs >= FAULT.startMs &&
            nowMs < FAULT.endMs
            ? 5
            : 1,
      });
      const equalShare = FAULT.engines / ENGINES;
      // The first second is left for recognition.
      const during = shareOnFaulty(now, FAULT.startMs + 1_000, FAULT.endMs);
      const after = shareOnFaulty(now, FAULT.endMs + 2_000, LOAD.durationMs);
      expect(during).toBeLessThan(0.5 * equalShare);
      expect(after).toBeGreaterThan(0.5 * equalShare);
    },
  );

  // Deployments without reports rely on unchanged choices.
  it("places exactly as before on equal engines that report no pace", async () => {
    const load = { ...LOAD, ...CENTRAL, seed: 1 };
    const before = await simulateLoad({ ...load, ignoresPaces: true });
    expect(await simulateLoad(load)).toEqual(before);
  });
});
