import { ManualClock } from "../../../../base/common/clock.ts";
import type { ZoneName } from "../../../../base/common/ids.ts";
import { storeRevision } from "../../../../services/mirror/common/store_revision.ts";
import { type EvacuationChange, ZoneEvacuations } from "./zone_evacuations.ts";

const A = "zone-a" as ZoneName;
const B = "zone-b" as ZoneName;
/** As the page states it. */
const RETENTION_MS = 10_000;

describe("ZoneEvacuations", () => {
  let clock: ManualClock;
  let evacuations: ZoneEvacuations;
  let events: string[];
  let changes: EvacuationChange[];

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    changes = [];
    evacuations = new ZoneEvacuations(clock, {
      log: (_level, event) => events.push(event),
    });
    evacuations.onDidChange((change) => changes.push(change));
  });

  // Guards against one entry that ends or hides the other.
  it("keeps two zones apart", () => {
    evacuations.record(A, 5);
    evacuations.record(B, 6);
    evacuations.remove(A);
    expect(evacuations.isEvacuated(A)).toBe(false);
    expect(evacuations.isEvacuated(B)).toBe(true);
    expect(changes).toEqual([
      { zone: A, isEvacuated: true },
      { zone: B, isEvacuated: true },
      { zone: A, isEvacuated: false },
    ]);
    expect(events).toEqual([
      "zone-evacuated",
      "zone-evacuated",
      "zone-returned",
    ]);
  });

  it("keeps the time of the first entry when it is written again", () => {
    evacuations.record(A, 5);
    const [first] = evacuations.list();
    clock.advance(700);
    evacuations.record(A, 9);
    expect(evacuations.list()).toEqual([{ ...first, revision: 9 }]);
    expect(changes).toHaveLength(1);
  });

  it("ignores the removal of a zone that is not evacuated", () => {
    evacuations.remove(A);
    expect(changes).toEqual([]);
  });

  // Guards against requests to a failed zone because the store lost its entry.
  it("keeps an entry that a restored store lacks for 10 s", () => {
    evacuations.record(A, storeRevision(1, 5));
    evacuations.recordEra(2);
    clock.advance(400);
    evacuations.remove(A);
    clock.advance(RETENTION_MS - 401);
    expect(evacuations.isEvacuated(A)).toBe(true);
    clock.advance(1);
    expect(evacuations.isEvacuated(A)).toBe(false);
    expect(changes.at(-1)).toEqual({ zone: A, isEvacuated: false });
  });

  it("goes on with an entry that is written again within that time", () => {
    evacuations.record(A, storeRevision(1, 5));
    evacuations.recordEra(2);
    evacuations.remove(A);
    clock.advance(3_000);
    evacuations.record(A, storeRevision(2, 1));
    clock.advance(2 * RETENTION_MS);
    expect(evacuations.isEvacuated(A)).toBe(true);
    expect(changes).toHaveLength(1);
  });

  it("ends an evacuation at once that the operator removes after a restore", () => {
    evacuations.record(A, storeRevision(1, 5));
    evacuations.recordEra(2);
    evacuations.record(A, storeRevision(2, 5));
    evacuations.remove(A);
    expect(evacuations.isEvacuated(A)).toBe(false);
  });

  it("ends at once what the store does not hold long after a restore", () => {
    evacuations.record(A, storeRevision(1, 5));
    evacuations.recordEra(2);
    clock.advance(RETENTION_MS);
    evacuations.remove(A);
    expect(evacuations.isEvacuated(A)).toBe(false);
  });
});
