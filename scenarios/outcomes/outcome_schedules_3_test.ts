import { describeSchedules } from "./outcome_schedules.ts";

describeSchedules([11, 12, 13, 14, 15]);
