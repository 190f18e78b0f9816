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
  it("allows a floor and a share of recent successes, for each service", () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ clock, random: new SeededRandom(1) });
    expect(countAllowed(budget, SERVICE)).toBe(100);
    for (let count = 0; count < 500; count++) budget.recordSuccess(SERVICE);
    expect(countAllowed(budget, SERVICE)).toBe(100);
    expect(countAllowed(budget, OTHER)).toBe(100);
    clock.advance(10_000);
    expect(countAllowed(budget, SERVICE)).toBe(100);
  });

  it("waits longer with each attempt, and not for the same time twice", () => {
    const budget = new RetryBudget({
      clock: new ManualClock(),
      random: new SeededRandom(2),
    });
    for (let attempt = 1; attempt <= 12; attempt++) {
      const boundMs = Math.min(2_000, 50 * 2 ** (attempt - 1));
      const waitsMs = [1, 2, 3].map(() => budget.backoffMs(attempt));
      expect(Math.max(...waitsMs)).toBeLessThanOrEqual(boundMs);
      expect(Math.min(...waitsMs)).toBeGreaterThanOrEqual(boundMs / 2);
      expect(new Set(waitsMs).size).toBe(3);
    }
  });
});
