/**
 * Defines the tests that run random schedules. Each test runs one seed, which is
 * small enough to finish in time on a loaded machine.
 */

import fc from "fast-check";
import { scheduleArbitrary } from "./schedule_steps.ts";
import { OutcomeSimulation } from "./outcome_simulation.ts";

const SCHEDULES_PER_SEED = 125;
/**
 * Detects hangs only: one test takes 8 s alongside three others on an idle
 * machine.
 */
const TEST_TIMEOUT_MS = 600_000;

/**
 * Defines one test per seed. Jest runs test files in parallel, so the seeds are
 * distributed over several files.
 *
 * @param seeds - Seeds of the random schedules.
 */
export function defineScheduleTests(seeds: readonly number[]): void {
  describe("request outcomes under random schedules of faults", () => {
    it.each(seeds)(
      `are correct in ${SCHEDULES_PER_SEED} schedules of seed %d`,
      async (seed) => {
        await fc.assert(
          fc.asyncProperty(scheduleArbitrary, async (schedule) => {
            expect(await OutcomeSimulation.run(schedule)).toEqual([]);
          }),
          { numRuns: SCHEDULES_PER_SEED, seed },
        );
      },
      TEST_TIMEOUT_MS,
    );
  });
}
