import fc from "fast-check";
import { asId, type WorkspaceId } from "../../../base/common/ids.ts";
import type { GrantId } from "./dispatcher.ts";
import { HistogramLengthModel } from "./length_model.ts";
import { MemoryReservations } from "./memory_reservations.ts";
import { HORIZON_COUNT } from "./memory_profile.ts";

const SUBJECT = {
  workspace: asId<WorkspaceId>("team/w"),
  className: "concept",
  maxTokens: 30_000,
};

const step = fc.record({
  kind: fc.constantFrom("add", "progress", "remove", "observe"),
  id: fc.integer({ min: 0, max: 8 }).map((n) => asId<GrantId>(`g${n}`)),
  tokens: fc.integer({ min: 0, max: 40_000 }),
});

describe("MemoryLedger", () => {
  it("never goes negative and returns to zero, in any order of events", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const lengths = new HistogramLengthModel();
        const ledger = new MemoryReservations();
        const ids = new Set<GrantId>();
        for (const { kind, id, tokens } of steps) {
          if (kind === "add") {
            ledger.add(id, lengths.forecast(SUBJECT), tokens % 5_000);
            ids.add(id);
          } else if (kind === "progress") ledger.recordProgress(id, tokens);
          else if (kind === "observe") lengths.onEnded(SUBJECT, tokens);
          else {
            ledger.remove(id);
            ids.delete(id);
          }
          expect(ledger.size).toBe(ids.size);
          expect(Math.min(...ledger.totals.meanTokens)).toBeGreaterThanOrEqual(
            0,
          );
          expect(Math.min(...ledger.totals.varianceTokens))
            .toBeGreaterThanOrEqual(0);
        }
        for (const id of ids) ledger.remove(id);
        expect([...ledger.totals.meanTokens]).toEqual(zeros());
        expect([...ledger.totals.varianceTokens]).toEqual(zeros());
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it("forecasts less for a request that will soon end", () => {
    const lengths = new HistogramLengthModel();
    for (let count = 0; count < 200; count++) lengths.onEnded(SUBJECT, 1_000);
    const ledger = new MemoryReservations();
    const id = asId<GrantId>("g");
    ledger.add(id, lengths.forecast(SUBJECT), 500);
    const before = ledger.totals.meanTokens[5]!;
    ledger.recordProgress(id, 990);
    expect(before).toBeGreaterThan(900);
    expect(ledger.totals.meanTokens[5]!).toBeLessThan(before);
    expect(ledger.heldTokens).toBe(1_490);
  });
});

function zeros(): number[] {
  return new Array<number>(HORIZON_COUNT).fill(0);
}
