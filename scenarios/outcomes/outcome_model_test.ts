import fc from "fast-check";
import { scheduleArbitrary } from "./model_steps.ts";
import { OutcomeModel } from "./outcome_model.ts";

const SCHEDULES_PER_SEED = 1_250;
const TIME_LIMIT_MS = 240_000;

describe("outcomes under random schedules of faults", () => {
  it.each([1, 2])(
    `hold in ${SCHEDULES_PER_SEED} schedules of seed %d`,
    async (seed) => {
      await fc.assert(
        fc.asyncProperty(scheduleArbitrary, async (schedule) => {
          expect(await OutcomeModel.run(schedule)).toEqual([]);
        }),
        { numRuns: SCHEDULES_PER_SEED, seed },
      );
    },
    TIME_LIMIT_MS,
  );
});
