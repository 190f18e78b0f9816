import { defineScheduleTests } from "./outcome_schedules.ts";

defineScheduleTests([1, 2, 3, 4, 5]);
