import { defineScheduleTests } from "./outcome_schedules.ts";

defineScheduleTests([11, 12, 13, 14, 15]);
