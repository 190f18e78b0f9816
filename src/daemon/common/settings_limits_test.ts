import { ManualClock } from "../../base/common/clock.ts";
import { asId, type ServiceId } from "../../base/common/ids.ts";
import { SeededRandom } from "../../base/common/random.ts";
import { RetryBudget } from "../../features/retries/common/retry_budget.ts";
import { retryLimits } from "./settings_limits.ts";

const SERVICE = asId<ServiceId>("app");
const WINDOW_MS = 10_000;
const SETTINGS = {
  configurationDelayMs: 2_000,
  revocationDelayMs: 5_000,
  stopGraceMs: 8_000,
  memoryMb: 200,
  retries: { share: 0.2, extra: 58 },
  seedAddresses: [],
};

describe("the retries of a fleet", () => {
  it.each([[1, 1_500], [9, 700], [9, 5_000], [90, 2_000]])(
    "stay within the budget while %d hosts restart every %d ms and endpoints fail",
    (hostCount, restartMs) => {
      const clock = new ManualClock();
      const random = new SeededRandom(7);
      const start = (_previous: unknown, index: number) => {
        const startedMs = clock.monotonicMs();
        return new RetryBudget({
          clock,
          random,
          limits: () =>
            retryLimits(SETTINGS, {
              fleetSize: hostCount,
              uptimeMs: clock.monotonicMs() - startedMs,
              remainderRank: index / hostCount,
            }),
        });
      };
      const budgets = Array.from({ length: hostCount }, start);
      const retriesMs: number[] = [];
      for (let atMs = 0; atMs < 60_000; atMs += 100) {
        if (atMs > 20_000 && atMs % restartMs === 0) {
          budgets.splice(0, hostCount, ...budgets.map(start));
        }
        for (const budget of budgets) {
          const isAllowed = budget.tryRetry(SERVICE, 1) !== undefined;
          if (isAllowed) retriesMs.push(atMs);
        }
        clock.advance(100);
      }
      const counts = retriesMs.map((fromMs) =>
        retriesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length
      );
      expect(Math.max(0, ...counts)).toBeLessThanOrEqual(58);
      expect(retriesMs.length).toBeGreaterThan(0);
    },
  );
});
