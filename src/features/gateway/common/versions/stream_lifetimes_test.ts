import { ManualClock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { GatewayRoute } from "../configuration/gateway_configuration.ts";
import { StreamLifetimes } from "./stream_lifetimes.ts";

const SERVICE = "llm" as ServiceId;

const route = (timeoutMs: number, isResumable = true): GatewayRoute => ({
  name: "streams",
  host: "app.example",
  prefix: "/stream/",
  kind: { kind: "generation", isResumable },
  timeoutMs,
  objectiveMs: 1_000,
  eventGapObjectiveMs: 100,
  priority: 0,
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
});

describe("the lifetimes of streams", () => {
  let clock: ManualClock;
  let lifetimes: StreamLifetimes;

  beforeEach(() => {
    clock = new ManualClock();
    lifetimes = new StreamLifetimes(clock);
    lifetimes.setRoutes([route(6_000), route(20_000), route(90_000, false)]);
  });

  it("are those of the longest route whose streams callers may take up", () => {
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(20_000);
    expect(lifetimes.services).toEqual([SERVICE]);
  });

  it("stay as long until the streams of a route that was shortened are over", () => {
    lifetimes.setRoutes([route(3_000)]);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(20_000);
    clock.advance(20_000);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(3_000);
  });

  it("are forgotten with the routes, however often the configuration changes", () => {
    for (let version = 0; version < 25; version++) {
      lifetimes.setRoutes([]);
      clock.advance(1_000);
    }
    expect(lifetimes.services).toEqual([]);
    lifetimes.setRoutes([]);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(60_000);
  });

  it("are those of the routes again once these are back", () => {
    lifetimes.setRoutes([]);
    lifetimes.setRoutes([route(25_000)]);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(25_000);
    lifetimes.setRoutes([route(2_000)]);
    clock.advance(24_999);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(25_000);
    clock.advance(1);
    expect(lifetimes.lifetimeMs(SERVICE)).toBe(2_000);
  });
});
