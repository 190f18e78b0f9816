import fc from "fast-check";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import {
  type LedgerAction,
  LedgerSimulation,
} from "../../standins/ledger/ledger_simulation.ts";

const SCHEDULE_COUNT = 2_500;
const SEED = 8;
const HOST_COUNT = 3;

const host = fc.integer({ min: 0, max: HOST_COUNT - 1 });

const claim: fc.Arbitrary<LedgerAction> = fc.record({
  kind: fc.constant("claim" as const),
  host,
  key: fc.constantFrom("a", "b"),
  body: fc.constantFrom("same", "same", "same", "other"),
  runMs: fc.integer({ min: 0, max: 9_000 }),
  end: fc.constantFrom("done", "done", "unknown", "not-run"),
});

const fault: fc.Arbitrary<LedgerAction> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      "freeze",
      "thaw",
      "restart",
      "cut-store",
      "heal-store",
    ),
    host,
  }),
  fc.record({
    kind: fc.constantFrom("lose-answers", "delay-writes"),
    count: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({
    kind: fc.constant("slow" as const),
    delayMs: fc.constantFrom(0, 3, 400, 1_500),
  }),
  fc.record({ kind: fc.constant("cut-link" as const), from: host, to: host }),
  fc.record({
    kind: fc.constantFrom("store-down", "store-up", "limit-rate", "heal-links"),
  }),
);

const wait: fc.Arbitrary<LedgerAction> = fc.record({
  kind: fc.constant("wait" as const),
  forMs: fc.constantFrom(0, 1, 2, 10, 100, 1_000, 5_000, 20_000),
});

const schedule = fc.array(
  fc.oneof(
    { weight: 4, arbitrary: claim },
    { weight: 3, arbitrary: fault },
    { weight: 3, arbitrary: wait },
  ),
  { minLength: 4, maxLength: 24 },
);

describe("sharded claim ledger", () => {
  let hasher: Hasher;
  beforeAll(async () => {
    hasher = await createHasher();
  });

  it("runs each key at most once under random faults", async () => {
    await fc.assert(
      fc.asyncProperty(schedule, async (actions) => {
        const world = new LedgerSimulation(hasher, HOST_COUNT);
        for (const action of actions) await world.run(action);
        await world.recoverAndCheck();
        expect(world.violations).toEqual([]);
      }),
      { numRuns: SCHEDULE_COUNT, seed: SEED },
    );
  }, 600_000);
});
