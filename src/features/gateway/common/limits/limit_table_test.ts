import fc from "fast-check";
import { ManualClock } from "../../../../base/common/clock.ts";
import type { EndpointId } from "../../../../base/common/ids.ts";
import {
  type LimitRecord,
  LimitTable,
  type NamedLimit,
} from "./limit_table.ts";

const PROCESS = { endpoint: "app-1" as EndpointId, bornMs: 1 };

function named(requestsPerS: number): NamedLimit {
  return { kind: "named", requestsPerS };
}

describe("LimitTable", () => {
  let clock: ManualClock;
  let table: LimitTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new LimitTable(clock);
    clock.advance(10_000);
  });

  /** Applies an answer to a request that was sent some time ago. */
  function observe(limit: NamedLimit, sentAgoMs = 0): void {
    table.observe(PROCESS, limit, clock.monotonicMs() - sentAgoMs);
  }

  describe("with cold endpoints", () => {
    let coldPerS: number | undefined;

    beforeEach(() => {
      coldPerS = 10;
      table = new LimitTable(clock, {
        rateOf: () => coldPerS,
        remainingMs: () => 1_000,
        limited: () =>
          coldPerS === undefined
            ? []
            : [{ ...PROCESS, requestsPerS: coldPerS }],
      });
    });

    it.each([[2.8, 2.8, "stated"], [20, 10, "cold"]])(
      "keeps the lower one of %d requests/s that are named and 10 of a cold endpoint",
      (namedPerS, ratePerS, source) => {
        observe(named(namedPerS));
        expect(table.rateOf(PROCESS)).toBe(ratePerS);
        expect(table.current()).toEqual([{ ...PROCESS, ratePerS, source }]);
      },
    );

    // Only a named limit says nothing of how fast the endpoint recovers.
    it("limits nothing as soon as an endpoint is no longer cold", () => {
      expect(table.rateOf(PROCESS)).toBe(10);
      coldPerS = undefined;
      expect(table.rateOf(PROCESS)).toBeUndefined();
      expect(table.current()).toEqual([]);
    });

    // It would stay in force after the endpoint is warm, and then ramp.
    it("takes no cold limit that an earlier version passes on for a named one", () => {
      const record = {
        ...PROCESS,
        requestsPerS: 10,
        lastRequestsPerS: 10,
        revision: 0,
      };
      table.merge(record);
      expect(table.records).toEqual([]);
      table.merge({ ...record, requestsPerS: 4 });
      expect(table.records).toHaveLength(1);
    });
  });

  it("knows no limit until one is named", () => {
    observe({ kind: "none" });
    observe({ kind: "malformed" });
    expect(table.rateOf(PROCESS)).toBeUndefined();
    observe(named(2.8));
    expect(table.rateOf(PROCESS)).toBe(2.8);
  });

  it("keeps a limit when an answer to an older request names none", () => {
    observe(named(2.8));
    clock.advance(50);
    observe({ kind: "none" }, 60);
    observe({ kind: "malformed" });
    expect(table.rateOf(PROCESS)).toBe(2.8);
  });

  it("takes a lower limit from any answer, a higher one only from a new one", () => {
    observe(named(4));
    clock.advance(50);
    observe(named(8), 60);
    expect(table.rateOf(PROCESS)).toBe(4);
    observe(named(2), 60);
    expect(table.rateOf(PROCESS)).toBe(2);
    clock.advance(50);
    observe(named(8));
    expect(table.rateOf(PROCESS)).toBe(8);
  });

  it("lets an endpoint fill step by step after its limit has ended", () => {
    observe(named(2));
    clock.advance(50);
    observe({ kind: "none" });
    expect(table.rateOf(PROCESS)).toBe(2);
    clock.advance(1_000);
    expect(table.rateOf(PROCESS)).toBe(4);
    clock.advance(3_000);
    expect(table.rateOf(PROCESS)).toBeUndefined();
  });

  it("sends some requests at a limit of zero, to learn when it ends", () => {
    observe(named(0));
    expect(table.rateOf(PROCESS)).toBe(0.25);
  });

  it("takes a huge limit for none", () => {
    observe(named(1e15));
    expect(table.rateOf(PROCESS)).toBeUndefined();
  });

  it("does not apply the limit of a process to the next one", () => {
    observe(named(2));
    expect(table.rateOf({ ...PROCESS, bornMs: 2 })).toBeUndefined();
  });

  it("ends up the same whatever the order of merged records", () => {
    const record = fc.record({
      requestsPerS: fc.option(fc.integer({ min: 0, max: 9 }), {
        nil: undefined,
      }),
      revision: fc.integer({ min: 1, max: 4 }),
    });
    fc.assert(fc.property(
      fc.array(record, { minLength: 1, maxLength: 8 }),
      fc.func(fc.nat()),
      (partial, rank) => {
        const records = partial.map((part): LimitRecord => ({
          ...PROCESS,
          ...part,
          lastRequestsPerS: part.requestsPerS ?? 1,
        }));
        const shuffled = [...records].sort((left, right) =>
          rank(left) - rank(right)
        );
        const results = [records, shuffled].map((order) => {
          const merged = new LimitTable(clock);
          for (const one of order) merged.merge(one);
          const { requestsPerS, revision } = merged.get(PROCESS)!;
          return { requestsPerS, revision };
        });
        expect(results[0]).toEqual(results[1]);
      },
    ));
  });
});
