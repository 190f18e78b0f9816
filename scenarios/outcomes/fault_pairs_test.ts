import {
  MODEL_FAULTS,
  MODEL_HOSTS,
  type ModelStep,
  type TimedStep,
} from "./model_steps.ts";
import { OutcomeModel } from "./outcome_model.ts";

const [FIRST, SECOND] = MODEL_HOSTS;
const LATER_MS = 700;

/** Streams, a whole answer, keyed and unkeyed calls before the faults. */
const REQUESTS: readonly TimedStep[] = [
  generate("stream", 40),
  generate("stream", 20),
  generate("whole", 20),
  { afterMs: 400, step: call("k1") },
  { afterMs: 0, step: call(undefined) },
];

/** Callers that come back at the other host after the faults. */
const RETURNS: readonly TimedStep[] = [
  {
    afterMs: 1_500,
    step: {
      kind: "resume",
      generation: 0,
      host: SECOND,
      isEarlierHalfOpen: true,
    },
  },
  { afterMs: 0, step: call("k1") },
  generate("stream", 5),
];

function generate(
  delivery: "stream" | "whole",
  tokens: number,
  isPoison = false,
): TimedStep {
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

function call(key: string | undefined): TimedStep["step"] {
  return { kind: "call", host: FIRST, workspace: "own", key };
}

function nameOf(step: ModelStep): string {
  if (step.kind !== "fault") return "poison";
  return Object.entries(step.fault)
    .filter(([name, value]) => name !== "do" && typeof value === "string")
    .map(([, value]) => String(value))
    .join(" ");
}

/** Ends of faults are no faults of their own; a poison request is one. */
const FAULTS: readonly ModelStep[] = [
  ...MODEL_FAULTS
    .filter(({ fault }) => !/^(unstall|thaw|heal|store-up|app-up)/.test(fault))
    .map((fault) => ({ kind: "fault", fault }) as const),
  generate("stream", 1, true).step,
];

describe("outcomes hold under", () => {
  it.each(FAULTS.map((fault) => [nameOf(fault), fault] as const))(
    "%s alone, and with any other fault at once or later",
    async (_name, fault) => {
      expect(await runWith([fault], 0)).toEqual([]);
      for (const [index, other] of FAULTS.entries()) {
        const pair = [fault, other];
        if (index >= FAULTS.indexOf(fault)) {
          expect(await runWith(pair, 0)).toEqual([]);
        }
        expect(await runWith(pair, LATER_MS)).toEqual([]);
      }
    },
  );
});

/** @returns What did not hold, with the faults that it did not hold under. */
async function runWith(
  faults: readonly ModelStep[],
  afterMs: number,
): Promise<string[]> {
  const violations = await OutcomeModel.run([
    ...REQUESTS,
    ...faults.map((step, index): TimedStep => ({
      afterMs: index === 0 ? 0 : afterMs,
      step,
    })),
    ...RETURNS,
  ]);
  const names = faults.map(nameOf).join(` and after ${afterMs} ms `);
  return violations.map((violation) => `${names}: ${violation}`);
}
