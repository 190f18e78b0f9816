/** Random schedules in parts small enough for a busy machine to finish. */

import fc from "fast-check";
import { scheduleArbitrary } from "./schedule_steps.ts";
import { OutcomeSimulation } from "./outcome_simulation.ts";

const SCHEDULES_PER_SEED = 125;
/** Against a hang only: a part takes 8 s beside three others on an idle machine. */
const TEST_TIMEOUT_MS = 600_000;

/**
 * Declares one test a seed; Jest runs files in parallel, so that seeds are
 * spread over several.
 *
 * @param seeds - Seeds of the schedules.
 */
export function defineScheduleTests(seeds: readonly number[]): void {
  describe("outcomes under random schedules of faults", () => {
    it.each(seeds)(
      `hold in ${SCHEDULES_PER_SEED} schedules of seed %d`,
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
