import { ManualClock } from "../../../base/common/clock.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import { type BrittleRecord, BrittleTable } from "./brittle_table.ts";

const PROCESS = { endpoint: "e-1" as EndpointId, bornMs: 1 };

describe("BrittleTable", () => {
  let clock: ManualClock;
  let table: BrittleTable;
  let changes: BrittleRecord[];

  beforeEach(() => {
    clock = new ManualClock();
    clock.advance(1_000);
    table = new BrittleTable(clock);
    changes = [];
    table.onDidChange(({ record }) => changes.push(record));
  });

  function observe(rejectionsPerS: number | undefined, sentMs?: number): void {
    table.observe(
      PROCESS,
      rejectionsPerS === undefined
        ? { kind: "none" }
        : { kind: "named", rejectionsPerS },
      sentMs ?? clock.monotonicMs(),
    );
  }

  it("knows a process as brittle until an answer names nothing any more", () => {
    observe(5);
    observe(5);
    expect(table.get(PROCESS)?.rejectionsPerS).toBe(5);
    clock.advance(10);
    observe(undefined);
    expect(table.get(PROCESS)).toBeUndefined();
    expect(changes).toHaveLength(2);
  });

  it("does not take an older answer for the end", () => {
    observe(5);
    clock.advance(10);
    observe(undefined, 900);
    expect(table.get(PROCESS)?.rejectionsPerS).toBe(5);
  });

  it("does not take another process of the endpoint for brittle", () => {
    observe(5);
    expect(table.get({ ...PROCESS, bornMs: 2 })).toBeUndefined();
  });

  it("ends at the same state in whatever order records arrive", () => {
    observe(5);
    const [brittle] = changes;
    clock.advance(10);
    observe(undefined);
    const sturdy = changes[1]!;
    for (const order of [[brittle!, sturdy], [sturdy, brittle!]]) {
      const other = new BrittleTable(clock);
      for (const record of order) other.merge(record);
      expect(other.get(PROCESS)).toBeUndefined();
    }
  });
});
