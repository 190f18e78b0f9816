import { ManualClock } from "../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import { NOOP_LOGGER } from "../../../services/log/common/logger.ts";
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

  it("gives a draining endpoint nothing more, and tells so once", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement({ isDraining: true }));
    expect(registry.usable(SERVICE)).toEqual([]);
    expect(registry.get(ID)?.isPresent).toBe(true);
    expect(left).toEqual([ID]);
  });

  it("takes a removal in calm times at once", () => {
    registry.withdraw(ID, CALM);
    expect(registry.usable(SERVICE)).toEqual([]);
  });

  it("waits for an entry that is missing right after an outage", () => {
    registry.withdraw(ID, 300);
    clock.advance(1_600);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toHaveLength(1);
    registry.announce(announcement());
    clock.advance(5_000);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("takes an entry that stays missing for gone two seconds after the outage", () => {
    registry.withdraw(ID, 300);
    clock.advance(1_701);
    registry.expirePhases();
    expect(registry.usable(SERVICE)).toEqual([]);
    expect(left).toEqual([ID]);
  });

  it("knows another start under the same id", () => {
    const before = registry.get(ID)!;
    before.health.eject(clock.monotonicMs());
    registry.announce(announcement({ bornMs: 2 }));
    const after = registry.get(ID)!;
    expect(after).not.toBe(before);
    expect(before.isPresent).toBe(false);
    expect(after.health.isEjected(clock.monotonicMs())).toBe(false);
    expect(left).toEqual([ID]);
  });

  it("takes a draining endpoint that has started anew for ready", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement({ bornMs: 2 }));
    expect(registry.usable(SERVICE)).toHaveLength(1);
  });

  it("never makes a draining endpoint ready again in one start", () => {
    registry.announce(announcement({ isDraining: true }));
    registry.announce(announcement());
    expect(registry.usable(SERVICE)).toEqual([]);
  });
});
