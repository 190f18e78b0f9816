import { ManualClock } from "../../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import { NOOP_LOGGER } from "../../../../services/log/common/logger.ts";
import { storeRevision } from "../../../../services/mirror/common/store_revision.ts";
import type { EndpointAnnouncement } from "./endpoint_announcement.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";

const ID = "e" as EndpointId;
const SERVICE = "s" as ServiceId;
const CALM = Infinity;

function announcement(
  changes: Partial<EndpointAnnouncement> = {},
): EndpointAnnouncement {
  return {
    id: ID,
    service: SERVICE,
    address: "10.0.0.1:80" as Address,
    zone: "z" as ZoneName,
    slots: 4,
    bornMs: 1,
    isDraining: false,
    warmUpRemainingMs: 0,
    ...changes,
  };
}

describe("EndpointRegistry", () => {
  let clock: ManualClock;
  let registry: EndpointRegistry;
  let left: EndpointId[];

  beforeEach(() => {
    clock = new ManualClock();
    registry = new EndpointRegistry(clock, NOOP_LOGGER);
    left = [];
    registry.onDidRetire(({ id }) => left.push(id));
    registry.announce(announcement());
  });

  it("takes an endpoint that returns with another software version for a new process", () => {
    const before = registry.get(ID)!;
    registry.announce(announcement({ softwareVersion: "v2" }));
    expect(before.isPresent).toBe(false);
    expect(registry.get(ID)!.announcement.softwareVersion).toBe("v2");
  });

  it("stops using a draining endpoint and notifies listeners once", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement({ isDraining: true }));
    expect(registry.usable(SERVICE)).toEqual([]);
    expect(registry.get(ID)?.isPresent).toBe(true);
    expect(left).toEqual([ID]);
  });

  it("removes an endpoint at once while the store is undisturbed", () => {
    registry.withdraw(ID, CALM);
    expect(registry.usable(SERVICE)).toEqual([]);
  });

  it("keeps an endpoint whose entry is missing right after an outage", () => {
    registry.withdraw(ID, 300);
    clock.advance(1_600);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toHaveLength(1);
    registry.announce(announcement());
    clock.advance(5_000);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("stops using an endpoint whose entry is still missing two seconds after an outage", () => {
    registry.withdraw(ID, 300);
    clock.advance(1_701);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toEqual([]);
    expect(left).toEqual([ID]);
  });

  it("replaces an endpoint whose process restarted with the same id", () => {
    const before = registry.get(ID)!;
    before.health.eject(clock.monotonicMs());
    registry.announce(announcement({ bornMs: 2 }));
    const after = registry.get(ID)!;
    expect(after).not.toBe(before);
    expect(before.isPresent).toBe(false);
    expect(after.health.isEjected(clock.monotonicMs())).toBe(false);
    expect(left).toEqual([ID]);
  });

  it("uses a restarted endpoint whose earlier process was draining", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement({ bornMs: 2 }));
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("never uses an endpoint that said it leaves while its entry stays ready", () => {
    registry.markDraining(ID, "answer");
    clock.advance(20_000);
    registry.expirePhases();
    expect(registry.get(ID)).toBeUndefined();
    registry.announce(announcement());
    expect(registry.usable(SERVICE)).toEqual([]);
    registry.announce(announcement({ bornMs: 2 }));
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("does not take a removed entry in a restored store for a return", () => {
    registry.announce(announcement({ sequence: 7 }));
    registry.withdraw(ID, CALM);
    registry.announce(announcement({ sequence: 7 }));
    expect(registry.usable(SERVICE)).toEqual([]);
    registry.announce(announcement({ sequence: 8 }));
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("does not take an older entry in a restored store for a return", () => {
    registry.announce(announcement({ sequence: 7 }));
    registry.withdraw(ID, CALM);
    registry.announce(announcement({ sequence: 5 }));
    registry.announce(announcement({ sequence: 6 }));
    registry.announce(announcement({ sequence: 7 }));
    expect(registry.usable(SERVICE)).toEqual([]);
    registry.announce(announcement({ sequence: 8 }));
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("uses a lapsed endpoint again whose entry has no sequence", () => {
    registry.announce(announcement({ sequence: 7 }));
    registry.withdraw(ID, CALM);
    registry.announce(announcement());
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  /** Ways in which the entry alone says that an endpoint is gone. */
  const ENTRY_LOSSES: readonly [string, () => void][] = [
    ["was removed", () => registry.withdraw(ID, CALM)],
    ["was missing for two seconds after an outage", () => {
      registry.withdraw(ID, 300);
      clock.advance(1_701);
      registry.expirePhases();
    }],
    ["was unreadable", () => registry.markDraining(ID, "unreadable")],
  ];

  // Guards against an endpoint that is never used again though it has written
  // its entry again.
  it.each(ENTRY_LOSSES)(
    "uses an endpoint again whose entry %s and is written again",
    (_loss, lose) => {
      registry.announce(announcement({ sequence: 7 }));
      lose();
      expect(registry.usable(SERVICE)).toEqual([]);
      clock.advance(200);
      registry.announce(announcement({ sequence: 8 }));
      expect(registry.usable(SERVICE)).toHaveLength(1);
      clock.advance(20_000);
      registry.expirePhases();
      expect(registry.usable(SERVICE)).toHaveLength(1);
    },
  );

  // The entry need not show how often it was written.
  it.each(ENTRY_LOSSES)(
    "uses an endpoint again whose entry %s and is written as it was",
    (_loss, lose) => {
      registry.announce(announcement({ sequence: 7 }), storeRevision(2, 40));
      registry.recordEntryLoss(ID, storeRevision(2, 50));
      lose();
      registry.announce(announcement({ sequence: 7 }), storeRevision(2, 51));
      expect(registry.usable(SERVICE)).toHaveLength(1);
    },
  );

  it.each([
    ["with the revision of before", storeRevision(2, 40)],
    ["in a later era", storeRevision(3, 51)],
    ["at an unknown revision", undefined],
  ])(
    "does not use an endpoint again whose removed entry is back %s",
    (_how, revision) => {
      registry.announce(announcement({ sequence: 7 }), storeRevision(2, 40));
      registry.recordEntryLoss(ID, storeRevision(2, 50));
      registry.withdraw(ID, CALM);
      registry.announce(announcement({ sequence: 7 }), revision);
      expect(registry.usable(SERVICE)).toEqual([]);
    },
  );

  it.each(ENTRY_LOSSES)(
    "does not use an endpoint again whose entry %s and is back in a restored store",
    (_loss, lose) => {
      registry.announce(announcement({ sequence: 7 }));
      lose();
      registry.announce(announcement({ sequence: 7 }));
      expect(registry.usable(SERVICE)).toEqual([]);
    },
  );

  it.each(["answer", "report", "reported by a peer"])(
    "never uses an endpoint again that says it leaves after its entry was removed, by %s",
    (reason) => {
      registry.withdraw(ID, CALM);
      registry.markDraining(ID, reason);
      for (const sequence of [undefined, 5, 8]) {
        registry.announce(announcement({ sequence }));
        expect(registry.usable(SERVICE)).toEqual([]);
      }
      clock.advance(20_000);
      registry.expirePhases();
      expect(registry.get(ID)).toBeUndefined();
      registry.announce(announcement({ sequence: 9 }));
      expect(registry.usable(SERVICE)).toEqual([]);
      expect(left).toEqual([ID]);
      registry.announce(announcement({ bornMs: 2 }));
      expect(registry.usable(SERVICE)).toHaveLength(1);
    },
  );

  it("never uses an endpoint again that writes after its removal that it drains", () => {
    registry.withdraw(ID, CALM);
    registry.announce(announcement({ isDraining: true, sequence: 8 }));
    registry.announce(announcement({ sequence: 5 }));
    registry.announce(announcement({ sequence: 9 }));
    expect(registry.usable(SERVICE)).toEqual([]);
    expect(left).toEqual([ID]);
  });

  it("never uses a draining endpoint again within one process", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement());
    expect(registry.usable(SERVICE)).toEqual([]);
  });
});
