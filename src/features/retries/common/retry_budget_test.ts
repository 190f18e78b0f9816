import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type ServiceId } from "../../../base/common/ids.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import { RetryBudget } from "./retry_budget.ts";

const SERVICE = asId<ServiceId>("team/engine");
const OTHER = asId<ServiceId>("team/other");

function countAllowed(budget: RetryBudget, service: ServiceId): number {
  let allowed = 0;
  while (budget.tryRetry(service, 1) !== undefined) allowed++;
  return allowed;
}

describe("RetryBudget", () => {
  it("allows a minimum plus a share of recent successes for each service", () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ clock, random: new SeededRandom(1) });
    expect(countAllowed(budget, SERVICE)).toBe(100);
    for (let count = 0; count < 500; count++) budget.recordSuccess(SERVICE);
    expect(countAllowed(budget, SERVICE)).toBe(100);
    expect(countAllowed(budget, OTHER)).toBe(100);
    clock.advance(10_000);
    expect(countAllowed(budget, SERVICE)).toBe(100);
  });

  it("doubles the delay bound with each attempt and randomizes the delay", () => {
    const budget = new RetryBudget({
      clock: new ManualClock(),
      random: new SeededRandom(2),
    });
    for (let attempt = 1; attempt <= 12; attempt++) {
      const boundMs = Math.min(2_000, 50 * 2 ** (attempt - 1));
      const delaysMs = [1, 2, 3].map(() => budget.backoffMs(attempt));
      expect(Math.max(...delaysMs)).toBeLessThanOrEqual(boundMs);
      expect(Math.min(...delaysMs)).toBeGreaterThanOrEqual(boundMs / 2);
      expect(new Set(delaysMs).size).toBe(3);
    }
  });

  describe("hedges", () => {
    function countHedges(budget: RetryBudget): number {
      let sent = 0;
      while (budget.canHedge(SERVICE)) {
        budget.recordHedge(SERVICE);
        sent++;
      }
      return sent;
    }

    function create(
      successShare: number,
      maxHedgesPerWindow: number,
      clock = new ManualClock(),
    ): RetryBudget {
      const budget = new RetryBudget({
        clock,
        random: new SeededRandom(3),
        limits: () => ({ successShare: 0.2, minRetriesPerWindow: 0 }),
        hedgeLimits: (service) =>
          service === SERVICE
            ? { successShare, maxHedgesPerWindow }
            : undefined,
      });
      for (let count = 0; count < 1_000; count++) budget.recordSuccess(SERVICE);
      return budget;
    }

    it("are allowed only to services with limits", () => {
      const budget = create(1, 100);
      expect(budget.allowsHedges(SERVICE)).toBe(true);
      expect(budget.allowsHedges(OTHER)).toBe(false);
      expect(budget.canHedge(OTHER)).toBe(false);
    });

    it.each([[0.05, 1_000, 50], [1, 30, 30], [1, 1_000, 100]])(
      "exceed neither a share of %d of the requests nor %d nor half of the budget",
      (successShare, maxHedges, expected) => {
        expect(countHedges(create(successShare, maxHedges))).toBe(expected);
      },
    );

    it("leave half of the budget for true retries and are charged to it", () => {
      const budget = create(1, 1_000);
      expect(countHedges(budget)).toBe(100);
      expect(countAllowed(budget, SERVICE)).toBe(100);
    });

    it("get nothing of a budget that true retries have used up", () => {
      const budget = create(1, 1_000);
      expect(countAllowed(budget, SERVICE)).toBe(200);
      expect(countHedges(budget)).toBe(0);
    });

    it("exceed their limit in no window of 10 s, wherever it begins", () => {
      const clock = new ManualClock();
      const budget = create(1, 20, clock);
      const sentMs: number[] = [];
      for (let atMs = 0; atMs < 60_000; atMs += 50) {
        for (let count = 0; count < 20; count++) budget.recordSuccess(SERVICE);
        // Bursts after pauses meet the edges of the window.
        if (atMs % 10_000 > 9_500 || atMs % 10_000 < 500) {
          for (let sent = countHedges(budget); sent > 0; sent--) {
            sentMs.push(atMs);
          }
        }
        clock.advance(50);
      }
      const counts = sentMs.map((fromMs) =>
        sentMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 10_000).length
      );
      expect(sentMs.length).toBeGreaterThan(40);
      expect(Math.max(...counts)).toBeLessThanOrEqual(20);
    });
  });
});
