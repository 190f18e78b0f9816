import { describeSchedules } from "./outcome_schedules.ts";

describeSchedules([6, 7, 8, 9, 10]);
