import { RoomGate, type RoomState } from "./room_gate.ts";

const STATE: RoomState = {
  slots: 4,
  reportedRuns: 0,
  rejectionsPerS: 4,
  share: 1,
};
const LEASE_MS = 1_000;

describe("RoomGate", () => {
  let gate: RoomGate;
  let count = 0;

  beforeEach(() => {
    gate = new RoomGate();
  });

  /** @returns The number of places that are given away at a time. */
  function takeAll(nowMs: number, changes: Partial<RoomState> = {}): string[] {
    const holders: string[] = [];
    for (;;) {
      const holder = `h-${count++}`;
      const state = { ...STATE, ...changes };
      if (gate.take(holder, nowMs, LEASE_MS, state).kind === "denied") break;
      holders.push(holder);
    }
    return holders;
  }

  it("gives away as many places as the endpoint has, and each again when it is returned", () => {
    const [first] = takeAll(0);
    expect(gate.takenCount).toBe(4);
    gate.release(first!, 10, false);
    expect(takeAll(10)).toHaveLength(1);
  });

  it("counts what hosts report without its knowledge, as after it has become the granter", () => {
    expect(takeAll(0, { reportedRuns: 4 })).toHaveLength(0);
    expect(takeAll(0, { reportedRuns: 2 })).toHaveLength(4);
  });

  it("gives away only its share of the places", () => {
    expect(takeAll(0, { share: 0.5 })).toHaveLength(2);
  });

  it("takes a place back that is not returned, as when its host has died", () => {
    takeAll(0);
    expect(takeAll(LEASE_MS - 1)).toHaveLength(0);
    expect(takeAll(LEASE_MS + 1)).toHaveLength(4);
  });

  it("gives away fewer places after a rejection, and slowly more again", () => {
    const holders = takeAll(0);
    for (const holder of holders) {
      gate.release(holder, 10, holder === holders[3]);
    }
    expect(takeAll(50)).toHaveLength(0);
    const fewer = takeAll(150);
    expect(fewer.length).toBeLessThan(4);
    for (const holder of fewer) gate.release(holder, 160, false);
    expect(takeAll(5_000)).toHaveLength(4);
  });

  it("closes for a second once the endpoint has turned away half of what it bears", () => {
    const [first, second] = takeAll(0);
    gate.release(first!, 100, true);
    gate.release(second!, 100, true);
    expect(takeAll(1_050)).toHaveLength(0);
    expect(takeAll(1_150).length).toBeGreaterThan(0);
  });

  it("names a later time when more requests wait", () => {
    takeAll(0);
    const ask = () => gate.take(`h-${count++}`, 1, LEASE_MS, STATE);
    const [early] = [ask()];
    for (let index = 0; index < 100; index++) ask();
    const late = ask();
    if (early.kind !== "denied" || late.kind !== "denied") throw new Error();
    expect(late.freeInMs).toBeGreaterThan(early.freeInMs);
  });
});
