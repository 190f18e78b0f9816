import {
  type ScheduleStep,
  SIMULATION_FAULTS,
  SIMULATION_HOSTS,
  type TimedScheduleStep,
} from "./schedule_steps.ts";
import { OutcomeSimulation } from "./outcome_simulation.ts";

const [FIRST, SECOND] = SIMULATION_HOSTS;
const SECOND_FAULT_DELAY_MS = 700;

/**
 * Requests before the faults: streamed and whole generations, and calls with and
 * without an idempotency key.
 */
const INITIAL_STEPS: readonly TimedScheduleStep[] = [
  createGenerateStep("stream", 40),
  createGenerateStep("stream", 20),
  createGenerateStep("whole", 20),
  { afterMs: 400, step: createCallStep("k1") },
  { afterMs: 0, step: createCallStep(undefined) },
];

/**
 * Requests after the faults: a resume at the other host, a repeated call and a
 * new generation.
 */
const RESUME_STEPS: readonly TimedScheduleStep[] = [
  {
    afterMs: 1_500,
    step: {
      kind: "resume",
      generation: 0,
      host: SECOND,
      isEarlierHalfOpen: true,
    },
  },
  { afterMs: 0, step: createCallStep("k1") },
  createGenerateStep("stream", 5),
];

function createGenerateStep(
  delivery: "stream" | "whole",
  tokens: number,
  isPoison = false,
): TimedScheduleStep {
  const step = {
    kind: "generate",
    host: FIRST,
    workspace: "own",
    tokens,
    delivery,
    isPoison,
  } as const;
  return { afterMs: 0, step };
}

function createCallStep(key: string | undefined): TimedScheduleStep["step"] {
  return { kind: "call", host: FIRST, workspace: "own", key };
}

function describeFault(step: ScheduleStep): string {
  if (step.kind !== "fault") return "poison";
  return Object.entries(step.fault)
    .filter(([name, value]) => name !== "do" && typeof value === "string")
    .map(([, value]) => String(value))
    .join(" ");
}

/** All fault steps that do not clear a fault, and a poison request. */
const FAULTS: readonly ScheduleStep[] = [
  ...SIMULATION_FAULTS
    .filter(({ fault }) => !/^(unstall|thaw|heal|store-up|app-up)/.test(fault))
    .map((fault) => ({ kind: "fault", fault }) as const),
  createGenerateStep("stream", 1, true).step,
];

describe("request outcomes", () => {
  it.each(FAULTS.map((fault) => [describeFault(fault), fault] as const))(
    "are correct under %s alone and combined with any other fault",
    async (_name, fault) => {
      expect(await runWithFaults([fault], 0)).toEqual([]);
      for (const [index, other] of FAULTS.entries()) {
        const pair = [fault, other];
        if (index >= FAULTS.indexOf(fault)) {
          expect(await runWithFaults(pair, 0)).toEqual([]);
        }
        expect(await runWithFaults(pair, SECOND_FAULT_DELAY_MS)).toEqual([]);
      }
    },
  );
});

/**
 * Runs the schedule with the given faults.
 *
 * @param faults - Faults to inject, in order.
 * @param afterMs - Time in milliseconds between two faults.
 * @returns The violations, each with the faults that caused it.
 */
async function runWithFaults(
  faults: readonly ScheduleStep[],
  afterMs: number,
): Promise<string[]> {
  const violations = await OutcomeSimulation.run([
    ...INITIAL_STEPS,
    ...faults.map((step, index): TimedScheduleStep => ({
      afterMs: index === 0 ? 0 : afterMs,
      step,
    })),
    ...RESUME_STEPS,
  ]);
  const names = faults.map(describeFault).join(` and after ${afterMs} ms `);
  return violations.map((violation) => `${names}: ${violation}`);
}
