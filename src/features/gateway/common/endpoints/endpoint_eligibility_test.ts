import { ManualClock } from "../../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  RegionName,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import {
  type EligibilityCriteria,
  EndpointEligibility,
} from "./endpoint_eligibility.ts";
import {
  EndpointRegistry,
  type RegisteredEndpoint,
} from "./endpoint_registry.ts";

const SERVICE = "s" as ServiceId;
const EU = new Set(["eu" as RegionName]);
const US = new Set(["us" as RegionName]);
const BOTH = new Set([...EU, ...US]);
const REGIONS = new Map([["zone-a", "eu"], ["zone-b", "us"]]);

describe("EndpointEligibility", () => {
  let clock: ManualClock;
  let registry: EndpointRegistry;
  let eligibility: EndpointEligibility;
  const evacuated = new Set<ZoneName>();
  const unreachable = new Set<EndpointId>();

  beforeEach(() => {
    clock = new ManualClock();
    evacuated.clear();
    unreachable.clear();
    registry = new EndpointRegistry(
      clock,
      { log: () => undefined },
      ({ id }) => unreachable.has(id) ? 0 : undefined,
    );
    eligibility = new EndpointEligibility(clock, registry, {
      isEvacuated: (zone) => evacuated.has(zone),
      regionOf: (zone) => REGIONS.get(zone) as RegionName | undefined,
    });
  });

  function announce(id: string, zone = "zone-a"): RegisteredEndpoint {
    registry.announce({
      id: id as EndpointId,
      service: SERVICE,
      address: `${id}:1` as Address,
      zone: zone as ZoneName,
      softwareVersion: "v1",
      slots: 1,
      bornMs: 1,
      isDraining: false,
      warmUpRemainingMs: 0,
    });
    return registry.get(id as EndpointId)!;
  }

  function criteria(
    changes: Partial<EligibilityCriteria> = {},
  ): EligibilityCriteria {
    return { service: SERVICE, excluded: new Set(), ...changes };
  }

  // Guards against a reason that one of the callers of the check would miss.
  it("names the reason against each endpoint", () => {
    const endpoint = announce("e1");
    expect(eligibility.check(endpoint, criteria())).toBeUndefined();
    const reasonFor = (changes: Partial<EligibilityCriteria>) =>
      eligibility.check(endpoint, criteria(changes))?.kind;
    expect(reasonFor({ excluded: new Set([endpoint.id]) })).toBe("excluded");
    expect(reasonFor({ softwareVersion: "v2" })).toBe("other-version");
    endpoint.limitedUntilMs = clock.monotonicMs() + 5;
    expect(reasonFor({})).toBe("rate-limited");
    endpoint.heldUntilMs = clock.monotonicMs() + 9;
    expect(reasonFor({})).toBe("held");
    expect(reasonFor({ ignoresHolds: true })).toBeUndefined();
    unreachable.add(endpoint.id);
    expect(reasonFor({})).toBe("unreachable");
    evacuated.add("zone-a" as ZoneName);
    expect(reasonFor({})).toBe("evacuated");
    registry.markDraining(endpoint.id, "draining");
    expect(reasonFor({})).toBe("retired");
  });

  it.each([
    ["route", US, undefined, "route"],
    ["route", US, BOTH, "route"],
    ["workspace", undefined, US, "workspace"],
    ["workspace", EU, US, "workspace"],
    ["both", US, US, "both"],
    ["nothing", EU, BOTH, undefined],
  ])(
    "names the list that excludes a region: %s",
    (_what, route, workspace, boundBy) => {
      const endpoint = announce("e1");
      const rule = eligibility.checkRules(endpoint, { route, workspace });
      expect(rule).toEqual(boundBy && { kind: "other-region", boundBy });
    },
  );

  // Guards against prompts that reach a zone whose region nobody has stated.
  it("does not allow a zone without a known region to a restricted request", () => {
    const endpoint = announce("e1", "zone-x");
    expect(eligibility.check(endpoint, criteria())).toBeUndefined();
    const regions = { route: BOTH, workspace: undefined };
    expect(eligibility.check(endpoint, criteria({ regions }))?.kind)
      .toBe("other-region");
  });

  it("names the rules that leave no endpoint, unless they allow one", () => {
    announce("e1", "zone-a");
    announce("e2", "zone-b");
    const regions = { route: EU, workspace: US };
    expect(eligibility.blockingRules(criteria())).toBeUndefined();
    expect(eligibility.blockingRules(criteria({ regions })))
      .toEqual({ boundBy: "both", evacuatedZones: new Set() });
    evacuated.add("zone-a" as ZoneName);
    const rules = eligibility.blockingRules(
      criteria({ regions: { route: EU, workspace: undefined } }),
    );
    expect(rules).toEqual({
      boundBy: "route",
      evacuatedZones: new Set(["zone-a"]),
    });
    expect(eligibility.blockingRules(criteria())).toBeUndefined();
  });

  it("names no rule where there is no endpoint in any case", () => {
    const regions = { route: EU, workspace: undefined };
    expect(eligibility.blockingRules(criteria({ regions }))).toBeUndefined();
  });

  it("counts the endpoints by reason", () => {
    announce("e1");
    announce("e2", "zone-b");
    registry.markDraining(announce("e3").id, "draining");
    evacuated.add("zone-b" as ZoneName);
    expect([...eligibility.explain(criteria())]).toEqual([
      ["eligible", 1],
      ["evacuated", 1],
      ["retired", 1],
    ]);
  });

  it("states when the first endpoint is no longer held or limited", () => {
    const [first, second] = [announce("e1"), announce("e2")];
    expect(eligibility.withheldUntilMs(criteria())).toBeUndefined();
    first.heldUntilMs = clock.monotonicMs() + 90;
    second.limitedUntilMs = clock.monotonicMs() + 50;
    expect(eligibility.withheldUntilMs(criteria()))
      .toBe(clock.monotonicMs() + 50);
    evacuated.add("zone-a" as ZoneName);
    expect(eligibility.withheldUntilMs(criteria())).toBeUndefined();
  });
});
