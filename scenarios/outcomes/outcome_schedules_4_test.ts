import { defineScheduleTests } from "./outcome_schedules.ts";

defineScheduleTests([16, 17, 18, 19, 20]);
