import { describeSchedules } from "./outcome_schedules.ts";

describeSchedules([1, 2, 3, 4, 5]);
