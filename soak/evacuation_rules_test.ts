import { EvacuationRules, type ZoneArrival } from "./evacuation_rules.ts";

const SINCE_MS = 100_000;
const CUT_MS = SINCE_MS + 2_000;
const CHECK_MS = CUT_MS + 1_000;

describe("the rules of evacuations", () => {
  let rules: EvacuationRules;

  beforeEach(() => {
    rules = new EvacuationRules();
    rules.begin("zone-a", SINCE_MS);
  });

  function arrive(afterMs: number, arrival: Partial<ZoneArrival> = {}): void {
    rules.recordArrival({
      atMs: SINCE_MS + afterMs,
      contactMs: 60_000,
      daemon: "host-1",
      endpoint: "app-1",
      storeFailedMs: 0,
      zone: "zone-a",
      ...arrival,
    });
  }

  // Guards against a check that does not see late requests.
  it("forbid a request later than the delay", () => {
    arrive(5_000);
    expect(rules.findViolations()).toEqual([]);
    arrive(5_001);
    expect(rules.findViolations()).toEqual([
      "evacuated: host-1 sent to app-1 5001 ms after the evacuation of zone-a",
    ]);
  });

  // Guards against violations that the hosts could not have avoided.
  it("allow requests of disturbed hosts, to other zones and after the end", () => {
    arrive(6_000, { contactMs: 5_000 });
    arrive(6_000, { storeFailedMs: SINCE_MS + 1_000 });
    arrive(6_000, { zone: "zone-b" });
    rules.end("zone-a", SINCE_MS + 6_500);
    arrive(6_500);
    expect(rules.findViolations()).toEqual([]);
  });

  // Guards against exceptions that have no end.
  it("forbid them once the delay has passed since the disturbance", () => {
    arrive(6_001, { contactMs: 5_001, storeFailedMs: SINCE_MS + 1_000 });
    expect(rules.findViolations()).toHaveLength(1);
  });

  // Guards against streams that an evacuation cuts, and against blaming it for
  // those that another disturbance cut, or that ran elsewhere.
  it.each([
    ["forbid", "a stream that is cut in the zone", "zone-a", false, 1],
    ["allow", "one that a disturbance may explain", "zone-a", true, 0],
    ["allow", "one that ran in another zone", "zone-b", false, 0],
  ])("%s %s", (_verb, _which, zone, isDisturbed, count) => {
    rules.recordRun({
      request: "q-1",
      zone,
      atMs: SINCE_MS - 500,
      wasDisturbed: () => isDisturbed,
    });
    rules.recordCut("q-1", CUT_MS);
    expect(rules.findViolations(CHECK_MS - 1)).toEqual([]);
    expect(rules.findViolations(CHECK_MS)).toHaveLength(count);
  });
});
