import { type EndpointArrival, EndpointRules } from "./endpoint_rules.ts";

const REMOVED_MS = 10_000;
const IN_TOUCH_MS = 3_000;

function violationsOf(
  changes: Partial<EndpointArrival> = {},
  stableMs = IN_TOUCH_MS,
): readonly string[] {
  const rules = new EndpointRules();
  rules.recordRemoval("app-1@1", REMOVED_MS, stableMs);
  rules.recordArrival({
    endpoint: "app-1@1",
    daemon: "host-1",
    atMs: REMOVED_MS + 2_900,
    calmMs: IN_TOUCH_MS,
    contactMs: IN_TOUCH_MS,
    storeContactMs: IN_TOUCH_MS,
    ...changes,
  });
  return rules.findViolations();
}

describe("an arrival at an endpoint whose entry was removed", () => {
  it("is a violation after the time to drain, by a daemon in touch", () => {
    expect(violationsOf()).toEqual(["drain: host-1 sent to removed app-1@1"]);
  });

  it.each<[string, Partial<EndpointArrival>]>([
    ["within the time to drain", { atMs: REMOVED_MS + 2_000 }],
    ["soon after a signal", { calmMs: 2_900 }],
    ["soon after its links were silent", { contactMs: 2_900 }],
    ["soon after the store was silent", { storeContactMs: 2_900 }],
  ])("is allowed %s", (_when, changes) => {
    expect(violationsOf(changes)).toEqual([]);
  });

  it("is allowed if the store was disrupted before", () => {
    expect(violationsOf({}, IN_TOUCH_MS - 1)).toEqual([]);
  });
});
