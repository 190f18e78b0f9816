import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type WorkspaceId } from "../../../base/common/ids.ts";
import { SuspectTable } from "./suspect_table.ts";

const OWN = asId<WorkspaceId>("team/own");
const OTHER = asId<WorkspaceId>("team/other");

function createTable() {
  const clock = new ManualClock();
  const table = new SuspectTable(clock);
  const crash = (endpoint: string, ...otherWorkspaces: WorkspaceId[]) =>
    table.recordCrash(OWN, "f", {
      endpoint,
      atMs: clock.nowMs(),
      otherWorkspaces,
    });
  const isQuarantined = () => table.quarantinedUntilMs(OWN, "f") !== undefined;
  return { clock, table, crash, isQuarantined };
}

describe("SuspectTable", () => {
  it("quarantines a request after a second crash for a limited time", () => {
    const { clock, table, crash, isQuarantined } = createTable();
    crash("e1");
    expect([table.isSuspect(OWN, "f"), isQuarantined()]).toEqual([true, false]);
    clock.advance(1);
    crash("e2");
    expect(isQuarantined()).toBe(true);
    expect(table.isSuspect(OTHER, "f")).toBe(false);
    clock.advance(600_000);
    expect([table.isSuspect(OWN, "f"), isQuarantined()]).toEqual([
      false,
      false,
    ]);
  });

  it("treats repeated reports of one crash as one crash", () => {
    const { clock, crash, isQuarantined } = createTable();
    crash("e1");
    clock.advance(4_000);
    crash("e1");
    expect(isQuarantined()).toBe(false);
    clock.advance(10_000);
    crash("e1");
    expect(isQuarantined()).toBe(true);
  });

  it("requires a third crash if another workspace was always present", () => {
    const { clock, crash, isQuarantined } = createTable();
    crash("e1", OTHER);
    clock.advance(1);
    crash("e2", OTHER, asId("team/third"));
    expect(isQuarantined()).toBe(false);
    clock.advance(1);
    crash("e3", asId("team/third"));
    expect(isQuarantined()).toBe(true);
  });

  it("merges records in any order, and a release clears earlier crashes", () => {
    const { clock, table, crash, isQuarantined } = createTable();
    crash("e1");
    clock.advance(1);
    const before = crash("e2");
    expect(table.listQuarantined()).toMatchObject([
      { fingerprint: "f", endpoints: ["e1", "e2"] },
    ]);
    expect(table.release("unknown")).toBeUndefined();
    const released = table.release("f");
    table.merge(before);
    expect(isQuarantined()).toBe(false);
    const replica = new SuspectTable(clock);
    replica.merge(released!);
    replica.merge(before);
    expect(replica.listQuarantined()).toEqual([]);
  });
});
