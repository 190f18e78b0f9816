import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type WorkspaceId } from "../../../base/common/ids.ts";
import { SuspectTable } from "./suspect_table.ts";

const OWN = asId<WorkspaceId>("team/own");
const OTHER = asId<WorkspaceId>("team/other");

function createTable() {
  const clock = new ManualClock();
  const table = new SuspectTable(clock);
  const die = (endpoint: string, ...otherWorkspaces: WorkspaceId[]) =>
    table.recordCrash(OWN, "f", {
      endpoint,
      atMs: clock.nowMs(),
      otherWorkspaces,
    });
  const isRefused = () => table.quarantinedUntilMs(OWN, "f") !== undefined;
  return { clock, table, die, isRefused };
}

describe("SuspectTable", () => {
  it("refuses a request after a second death, for a time", () => {
    const { clock, table, die, isRefused } = createTable();
    die("e1");
    expect([table.isSuspect(OWN, "f"), isRefused()]).toEqual([true, false]);
    clock.advance(1);
    die("e2");
    expect(isRefused()).toBe(true);
    expect(table.isSuspect(OTHER, "f")).toBe(false);
    clock.advance(600_000);
    expect([table.isSuspect(OWN, "f"), isRefused()]).toEqual([false, false]);
  });

  it("takes reports of one death for one", () => {
    const { clock, die, isRefused } = createTable();
    die("e1");
    clock.advance(4_000);
    die("e1");
    expect(isRefused()).toBe(false);
    clock.advance(10_000);
    die("e1");
    expect(isRefused()).toBe(true);
  });

  it("needs a third death when another workspace was always there", () => {
    const { clock, die, isRefused } = createTable();
    die("e1", OTHER);
    clock.advance(1);
    die("e2", OTHER, asId("team/third"));
    expect(isRefused()).toBe(false);
    clock.advance(1);
    die("e3", asId("team/third"));
    expect(isRefused()).toBe(true);
  });

  it("joins records in any order, and a release wins over earlier deaths", () => {
    const { clock, table, die, isRefused } = createTable();
    die("e1");
    clock.advance(1);
    const before = die("e2");
    expect(table.listQuarantined()).toMatchObject([
      { fingerprint: "f", endpoints: ["e1", "e2"] },
    ]);
    expect(table.release("unknown")).toBeUndefined();
    const released = table.release("f");
    table.merge(before);
    expect(isRefused()).toBe(false);
    const late = new SuspectTable(clock);
    late.merge(released!);
    late.merge(before);
    expect(late.listQuarantined()).toEqual([]);
  });
});
