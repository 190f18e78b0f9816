import fc from "fast-check";
import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type ServiceId } from "../../../base/common/ids.ts";
import { QUARANTINE_DURATION_MS } from "./endpoint_crash.ts";
import { partRecordSchema } from "./prompt_part_messages.ts";
import { PROBATION_DURATION_MS, PromptPartTable } from "./prompt_part_table.ts";

const SERVICE = asId<ServiceId>("llm");
const V1 = "v1";
const BAD = "bad";

function createTable(clock = new ManualClock()) {
  const table = new PromptPartTable(clock);
  let endpointCount = 0;
  /** An endpoint crashes under requests that were sent after the last crash. */
  const crash = (
    parts: readonly string[],
    { version = V1, endpoint = `e${++endpointCount}` } = {},
  ) => {
    clock.advance(100);
    const startedMs = clock.nowMs() - 50;
    table.recordCrash(SERVICE, parts, {
      endpoint,
      version,
      atMs: clock.nowMs(),
      startedMs,
    });
    return endpoint;
  };
  const kindOf = (parts: readonly string[], versions = [V1]) =>
    table.verdictOn(SERVICE, parts, new Set(versions)).kind;
  return { clock, table, crash, kindOf };
}

describe("PromptPartTable", () => {
  it("refuses prompts with a part that was at three crashes in a row", () => {
    const { crash, kindOf } = createTable();
    for (const other of ["a", "b", "c"]) {
      expect(kindOf(["shared", BAD])).toBe("allowed");
      crash([BAD, other]);
    }
    expect(kindOf(["shared", BAD])).toBe("quarantined");
    expect(kindOf(["shared", "a"])).toBe("allowed");
  });

  it("does not accuse parts of endpoints that crash at the same time", () => {
    const { clock, table, kindOf } = createTable();
    const startedMs = clock.nowMs();
    clock.advance(100);
    for (const endpoint of ["e1", "e2", "e3", "e4"]) {
      const atMs = clock.nowMs();
      table.recordCrash(SERVICE, ["a"], {
        endpoint,
        version: V1,
        atMs,
        startedMs,
      });
    }
    expect(kindOf(["a"])).toBe("allowed");
  });

  it("counts the reports of several hosts on one crash as one", () => {
    const { crash, kindOf } = createTable();
    const endpoint = crash([BAD]);
    crash([BAD], { endpoint });
    crash([BAD], { endpoint });
    crash([BAD]);
    expect(kindOf([BAD])).toBe("allowed");
  });

  it("never refuses a part on which an endpoint has written", () => {
    const { table, crash, kindOf } = createTable();
    table.recordSound(SERVICE, V1, ["shared"]);
    for (let count = 0; count < 6; count++) crash(["shared", BAD]);
    expect(kindOf(["shared"])).toBe("allowed");
    expect(kindOf(["shared", BAD])).toBe("quarantined");
  });

  it("releases a part when a later answer shows that it is sound", () => {
    const { table, crash, kindOf } = createTable();
    for (let count = 0; count < 3; count++) crash(["a"]);
    expect(kindOf(["a"])).toBe("quarantined");
    table.recordSound(SERVICE, V1, ["a"]);
    expect(kindOf(["a"])).toBe("allowed");
  });

  it("refuses only prompts with both of two parts that share three crashes", () => {
    const { crash, kindOf } = createTable();
    for (let count = 0; count < 3; count++) crash(["a", BAD]);
    expect([kindOf(["a", BAD]), kindOf(["a"]), kindOf([BAD])]).toEqual([
      "quarantined",
      "allowed",
      "allowed",
    ]);
    crash([BAD]);
    expect([kindOf([BAD]), kindOf(["a"])]).toEqual(["quarantined", "allowed"]);
  });

  it("does not accuse parts beside a request that is quarantined as a whole", () => {
    const clock = new ManualClock();
    const table = new PromptPartTable(clock, () => [["e1", "e2", "e3", "e4"]]);
    const crash = (endpoint: string, parts: readonly string[]) => {
      clock.advance(100);
      table.recordCrash(SERVICE, parts, {
        endpoint,
        version: V1,
        atMs: clock.nowMs(),
        startedMs: clock.nowMs() - 50,
      });
    };
    for (const endpoint of ["e1", "e2", "e3"]) crash(endpoint, ["a"]);
    expect(table.listQuarantined()).toEqual([]);
    for (const endpoint of ["e5", "e6", "e7", "e8", "e9"]) {
      crash(endpoint, [BAD]);
    }
    expect(table.listQuarantined().map(({ parts }) => parts)).toEqual([[BAD]]);
  });

  it("finds two bad parts at once", () => {
    const { crash, kindOf } = createTable();
    for (let count = 0; count < 5; count++) {
      crash(["bad-1", `a${count}`]);
      crash([`b${count}`, "bad-2"]);
    }
    expect([kindOf(["bad-1"]), kindOf(["bad-2"])]).toEqual([
      "quarantined",
      "quarantined",
    ]);
    expect(kindOf(["a1", "b1"])).toBe("allowed");
  });

  it("puts an accused part on probation after its quarantine", () => {
    const { clock, crash, kindOf } = createTable();
    for (let count = 0; count < 3; count++) crash([BAD]);
    clock.advance(1_000);
    expect(kindOf([BAD])).toBe("quarantined");
    clock.advance(QUARANTINE_DURATION_MS);
    expect(kindOf([BAD])).toBe("probation");
    crash([BAD]);
    expect(kindOf([BAD])).toBe("quarantined");
    clock.advance(PROBATION_DURATION_MS);
    expect(kindOf([BAD])).toBe("allowed");
  });

  it("puts an accused part on probation when only other versions serve", () => {
    const { clock, table, crash, kindOf } = createTable();
    for (let count = 0; count < 3; count++) crash([BAD]);
    clock.advance(1_000);
    expect(kindOf([BAD], ["v1", "v2"])).toBe("quarantined");
    expect(kindOf([BAD], ["v2"])).toBe("probation");
    table.recordSound(SERVICE, "v2", [BAD]);
    expect(kindOf([BAD], ["v2"])).toBe("allowed");
    expect(kindOf([BAD], ["v1", "v2"])).toBe("quarantined");
  });

  it("forgets refuted crashes and those that an operator has released", () => {
    const { clock, table, crash, kindOf } = createTable();
    for (let count = 0; count < 2; count++) crash(["a"]);
    clock.advance(100);
    const endpoint = "cut";
    table.recordCrash(SERVICE, ["a"], {
      endpoint,
      version: V1,
      atMs: clock.nowMs(),
      startedMs: clock.nowMs(),
      evidence: "suspected",
    });
    expect(kindOf(["a"])).toBe("quarantined");
    table.refute(endpoint);
    expect(kindOf(["a"])).toBe("allowed");
    crash(["a"]);
    expect(kindOf(["a"])).toBe("quarantined");
    expect(table.release("a")).toBe(true);
    expect(kindOf(["a"])).toBe("allowed");
  });

  it("keeps a bounded number of records, accused parts the longest", () => {
    const { table, crash, kindOf } = createTable();
    for (let count = 0; count < 3; count++) crash([BAD]);
    crash(Array.from({ length: 10_000 }, (_, index) => `p${index}`));
    expect(table.records().length).toBeLessThanOrEqual(4_096);
    expect(kindOf([BAD])).toBe("quarantined");
  });

  it("finds the bad part within five crashes and holds no sound one", () => {
    const partsOf = (count: number) =>
      fc.array(fc.integer({ min: 0, max: 11 }), { maxLength: count });
    const round = fc.record({
      beside: fc.array(partsOf(3), { maxLength: 8 }),
      bad: partsOf(3),
      place: fc.nat(3),
      answered: partsOf(12),
    });
    fc.assert(
      fc.property(fc.array(round, { minLength: 5, maxLength: 9 }), (rounds) => {
        const { table, crash, kindOf } = createTable();
        let crashes = 0;
        for (const { answered, bad, beside, place } of rounds) {
          const parts = bad.map(String);
          parts.splice(place, 0, BAD);
          if (kindOf(parts) === "quarantined") continue;
          const endpoint = crash(parts);
          crashes++;
          for (const other of beside) crash(other.map(String), { endpoint });
          table.recordSound(SERVICE, V1, answered.map(String));
        }
        expect(crashes).toBeLessThanOrEqual(5);
        if (crashes === 5) expect(kindOf([BAD])).toBe("quarantined");
        for (let part = 0; part < 12; part++) {
          table.recordSound(SERVICE, V1, [String(part)]);
          expect(kindOf([String(part)])).toBe("allowed");
        }
      }),
      { seed: 28, numRuns: 2_000 },
    );
  });

  it("reaches the same verdict in whatever order records are merged", () => {
    const crashList = fc.array(
      fc.record({
        part: fc.constantFrom("a", "b", "c"),
        endpoint: fc.constantFrom("e1", "e2", "e3", "e4", "e5"),
      }),
      { maxLength: 20 },
    );
    fc.assert(
      fc.property(crashList, fc.nat(), (crashes, rotation) => {
        const clock = new ManualClock();
        const source = createTable(clock);
        for (const { endpoint, part } of crashes) {
          source.crash([part], { endpoint });
        }
        const records = source.table.records().map((record) =>
          partRecordSchema.parse(JSON.parse(JSON.stringify(record)))
        );
        const shift = records.length === 0 ? 0 : rotation % records.length;
        const rotated = [...records.slice(shift), ...records.slice(0, shift)];
        const inOrder = createTable(clock);
        const shifted = createTable(clock);
        for (const record of records) inOrder.table.merge(record);
        for (const record of [...rotated, ...records]) {
          shifted.table.merge(record);
        }
        for (const parts of [["a"], ["b"], ["c"], ["a", "b", "c"]]) {
          expect(shifted.kindOf(parts)).toBe(inOrder.kindOf(parts));
        }
      }),
      { seed: 28 },
    );
  });
});
