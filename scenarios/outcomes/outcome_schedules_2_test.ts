import { defineScheduleTests } from "./outcome_schedules.ts";

defineScheduleTests([6, 7, 8, 9, 10]);
