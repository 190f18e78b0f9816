import { describeSchedules } from "./outcome_schedules.ts";

describeSchedules([16, 17, 18, 19, 20]);
