import type { SeededRandom } from "../../src/base/common/random.ts";
import {
  type LoadOutcome,
  type SimulatedGeneration,
  simulateLoad,
} from "./load_simulation.ts";
import type { LoadKind } from "./load_options.ts";

const ENGINES = 8;
const MEMORY_TOKENS = 26_900;
/**
 * Long drafts per second that fit: each engine has memory for eight with half
 * of their output, and each takes about seven seconds.
 */
const FITTING_DRAFTS_PER_SECOND = ENGINES * 8 / 7;
/** About as many checks as drafts arrive on a usual day. */
const USUAL_CHECKS_PER_SECOND = 9;

/** @returns Sizes as on the design page: mean 3,000 and 744 tokens. */
function drawDraft(random: SeededRandom): ReturnType<LoadKind["drawSize"]> {
  return {
    promptTokens: Math.round(3_000 * (0.05 + 1.9 * random.float())),
    outputTokens: Math.round(20 + 1_736 * random.float() ** 1.4),
  };
}

const CHECKS: LoadKind = {
  name: "checks",
  perSecond: 1.8 * USUAL_CHECKS_PER_SECOND,
  untilMs: Infinity,
  priority: 0,
  objectiveMs: 1_500,
  maxOutputTokens: 24,
  drawSize: (random) => ({
    promptTokens: Math.round(2_200 * (0.7 + 0.6 * random.float())),
    outputTokens: 12,
  }),
};

function drafts(
  priority: number,
  perSecond: number,
  maxOutputTokens: number,
): LoadKind {
  return {
    name: "drafts",
    perSecond,
    untilMs: Infinity,
    priority,
    objectiveMs: 1_800,
    maxOutputTokens,
    drawSize: drawDraft,
  };
}

/** Largest output of a draft, which callers state as its maximum. */
const MAX_DRAFT_TOKENS = 1_756;

/**
 * @param draftLoad - Drafts as a multiple of those that fit, half of them with
 * priority 1 and half with 2.
 * @param checkLoad - Checks as a multiple of the usual ones.
 */
function simulateDay(
  seed: number,
  draftLoad: number,
  checkLoad: number,
  maxOutputTokens = MAX_DRAFT_TOKENS,
): Promise<LoadOutcome> {
  const perSecond = draftLoad * FITTING_DRAFTS_PER_SECOND / 2;
  return simulateLoad({
    seed,
    engines: ENGINES,
    memoryTokens: MEMORY_TOKENS,
    draftsPerSecond: 0,
    checksPerSecond: 0,
    durationMs: 20_000,
    gateways: 4,
    updateDelayMs: 40,
    placement: "queued-centrally",
    kinds: [
      { ...CHECKS, perSecond: checkLoad * USUAL_CHECKS_PER_SECOND },
      drafts(1, perSecond, maxOutputTokens),
      drafts(2, perSecond, maxOutputTokens),
    ],
  });
}

function servedShare(generations: readonly SimulatedGeneration[]): number {
  return generations.filter(isServed).length / generations.length;
}

function isServed({ result }: SimulatedGeneration): boolean {
  return result === "onTime" || result === "overdue";
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length * share)]!;
}

/** @returns Share of the prompt tokens that engines prefilled again. */
function recomputedShare({ generations, recomputedTokens }: LoadOutcome) {
  const promptTokens = generations.filter(isServed).reduce(
    (sum, generation) => sum + generation.promptTokens,
    0,
  );
  return recomputedTokens / promptTokens;
}

describe.each([1, 2, 3])(
  "drafts at 2.5 times what fits and urgent checks at 1.8 times (seed %d)",
  (seed) => {
    let outcome: LoadOutcome;
    const withPriority = (priority: number) =>
      outcome.generations.filter((one) => one.priority === priority);
    const refused = () =>
      outcome.generations.filter(({ result }) => result === "refused");

    beforeAll(async () => {
      outcome = await simulateDay(seed, 2.5, 1.8);
    });

    it("serves no less urgent kind more often than a more urgent one", () => {
      const shares = [0, 1, 2].map((each) => servedShare(withPriority(each)));
      expect(shares[0]! + 0.05).toBeGreaterThan(shares[1]!);
      expect(shares[1]! + 0.05).toBeGreaterThan(shares[2]!);
    });

    it("starves no kind, which strict priority would", () => {
      const average = servedShare(outcome.generations);
      for (const priority of [0, 1, 2]) {
        const share = servedShare(withPriority(priority));
        expect(share).toBeGreaterThan(0.25 * average);
      }
    });

    it("does not starve the largest tenth, which smaller ones overtake", () => {
      const all = outcome.generations.filter(({ kind }) => kind === "drafts");
      const bySize = [...all].sort((left, right) =>
        right.promptTokens - left.promptTokens
      );
      const largest = bySize.slice(0, Math.ceil(all.length / 10));
      expect(servedShare(largest)).toBeGreaterThan(0.5 * servedShare(all));
    });

    it("rejects at once what would wait in vain until its latest start", () => {
      const afterMs = refused().map(({ answeredAfterMs }) => answeredAfterMs);
      expect(quantile(afterMs, 0.5)).toBeLessThan(250);
      expect(quantile(afterMs, 0.9)).toBeLessThan(1_800);
    });

    it("does not fail or preempt generations in large numbers", () => {
      expect(outcome.drafts.failed + outcome.checks.failed).toBe(0);
      expect(recomputedShare(outcome)).toBeLessThan(0.05);
    });

    it("spreads the times at which rejected callers return", () => {
      const retryAfterS = refused().map((one) => one.retryAfterS ?? 0);
      const earliest = quantile(retryAfterS, 0.1);
      expect(earliest).toBeGreaterThan(0);
      expect(quantile(retryAfterS, 0.9)).toBeGreaterThan(1.5 * earliest);
    });

    it("logs of each early rejection the wait and the reserve behind it", () => {
      const early = outcome.logLines.filter(({ event, fields }) =>
        event === "placement-rejected" && fields["isEarly"]
      );
      expect(early.length).toBeGreaterThan(0);
      for (const { fields } of early) {
        expect(fields["expectedWaitMs"]).toBeGreaterThan(0);
        expect(fields["reserveForPriority"]).toBe(0);
        expect(fields["reserveTokens"]).toBeGreaterThan(0);
      }
    });
  },
);

describe("drafts at 2.5 times what fits that state too low a maximum", () => {
  it("are not preempted again and again once their lengths are known", async () => {
    const outcome = await simulateDay(1, 2.5, 1.8, 1_000);
    expect(recomputedShare(outcome)).toBeLessThan(0.1);
  });
});

describe("drafts and checks at half of what fits", () => {
  it("are placed by what callers state, without a reserve or a rejection", async () => {
    const { generations, logLines } = await simulateDay(1, 0.5, 0.5);
    expect(generations.every(({ result }) => result === "onTime")).toBe(true);
    const placed = logLines.filter(({ event }) => event === "stream-placed");
    // 0.7 of half of the stated maximum is reserved, whatever was learned.
    const statedTokens = generations.map(({ kind, promptTokens }) => {
      const max = kind === "drafts" ? MAX_DRAFT_TOKENS : CHECKS.maxOutputTokens;
      return Math.round(promptTokens + 0.7 * 0.5 * max);
    });
    const reservedTokens = placed.map(({ fields }) =>
      Math.round(Number(fields["memoryTokens"]))
    );
    expect(reservedTokens.sort()).toEqual(statedTokens.sort());
    for (const { fields } of placed) {
      expect(fields["reserveTokens"]).toBeUndefined();
      expect(fields["expectedWaitMs"]).toBeUndefined();
    }
  });
});
