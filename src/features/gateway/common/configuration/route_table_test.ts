import type { ServiceId } from "../../../../base/common/ids.ts";
import type { GatewayRoute } from "./gateway_configuration.ts";
import { RouteTable, selectTarget } from "./route_table.ts";

function route(host: string, prefix: string): GatewayRoute {
  return {
    name: `${host}${prefix}`,
    host,
    prefix,
    kind: { kind: "idempotent" },
    timeoutMs: 1,
    objectiveMs: 1,
    eventGapObjectiveMs: 0,
    priority: 0,
    targets: [
      { service: "a" as ServiceId, weight: 90 },
      { service: "b" as ServiceId, weight: 10 },
    ],
    maxAttempts: 1,
    isPublic: false,
  };
}

describe("RouteTable", () => {
  const table = new RouteTable([
    route("x.example", "/a/"),
    route("x.example", "/a/b/"),
    route("y.example", "/"),
  ]);

  it.each([
    ["x.example", "/a/b/c", "x.example/a/b/"],
    ["x.example", "/a/bc", "x.example/a/"],
    ["X.Example:80", "/a/?q=/a/b/", "x.example/a/"],
    ["x.example", "/a", undefined],
    ["y.example", "/anything?x", "y.example/"],
    ["z.example", "/a/", undefined],
  ])("routes %s%s to %s", (host, target, name) => {
    expect(table.find(host, target)?.name).toBe(name);
  });

  it("distributes requests over targets by weight", () => {
    const split = route("x.example", "/");
    const picked = Array.from(
      { length: 1_000 },
      (_, index) => selectTarget(split, index / 1_000),
    );
    expect(picked.filter((service) => service === "b")).toHaveLength(100);
  });
});
