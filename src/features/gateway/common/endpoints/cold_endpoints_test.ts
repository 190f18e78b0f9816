import { ManualClock } from "../../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import { NOOP_LOGGER } from "../../../../services/log/common/logger.ts";
import type { GatewayService } from "../configuration/gateway_configuration.ts";
import { ColdEndpoints } from "./cold_endpoints.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";

const ID = "e" as EndpointId;
const ZONE = "z" as ZoneName;
const PROCESS = { endpoint: ID, bornMs: 1 };
const COLD = { durationMs: 4_000, requestsPerS: 10 };

describe("ColdEndpoints", () => {
  let clock: ManualClock;
  let registry: EndpointRegistry;
  let cold: ColdEndpoints;
  let service: GatewayService;
  let sequence: number;

  beforeEach(() => {
    clock = new ManualClock();
    registry = new EndpointRegistry(clock, NOOP_LOGGER);
    service = {
      id: "s" as ServiceId,
      maxConnections: 100,
      engine: undefined,
      cold: COLD,
    };
    sequence = 0;
    cold = new ColdEndpoints({
      clock,
      registry,
      findService: () => service,
    });
  });

  function announce(warmUpRemainingMs: number, bornMs = 1): void {
    sequence++;
    announceAgain(warmUpRemainingMs, bornMs);
  }

  /** Announces with the sequence of the entry before. */
  function announceAgain(warmUpRemainingMs: number, bornMs = 1): void {
    registry.announce({
      id: ID,
      service: service.id,
      address: "10.0.0.1:80" as Address,
      zone: ZONE,
      slots: 4,
      bornMs,
      isDraining: false,
      sequence,
      warmUpRemainingMs,
    });
  }

  function expectColdFor(durationMs: number): void {
    clock.advance(durationMs - 1);
    expect(cold.rateOf(PROCESS)).toBe(COLD.requestsPerS);
    expect(cold.isCold(registry.get(ID)!)).toBe(true);
    expect(cold.count).toBe(1);
    clock.advance(1);
    expect(cold.isCold(registry.get(ID)!)).toBe(false);
    expect(cold.rateOf(PROCESS)).toBeUndefined();
    expect(cold.count).toBe(0);
  }

  it("takes the time that the first entry of a process states", () => {
    announce(1_500);
    expect(cold.limited()).toEqual([{ ...PROCESS, requestsPerS: 10 }]);
    expectColdFor(1_500);
    expect(cold.limited()).toEqual([]);
  });

  // A registered endpoint may turn cold, and an estimate may be too long.
  it.each([[0, 2_000], [500, 2_000], [3_000, 800]])(
    "replaces %d ms by the %d ms of a later entry",
    (firstMs, laterMs) => {
      announce(firstMs);
      announce(laterMs);
      expectColdFor(laterMs);
    },
  );

  it("ignores an entry that a restored store holds", () => {
    announce(0);
    announceAgain(5_000);
    expect(cold.rateOf(PROCESS)).toBeUndefined();
  });

  it("counts the endpoints of a zone as cold for the time of their service", () => {
    announce(0);
    cold.markZoneCold("other" as ZoneName);
    expect(cold.count).toBe(0);
    cold.markZoneCold(ZONE);
    expectColdFor(4_000);
  });

  // Such an entry may be older than the end of the evacuation.
  it("keeps an estimate against an entry that arrives just after it", () => {
    announce(0);
    cold.markZoneCold(ZONE);
    clock.advance(999);
    announce(0);
    expect(cold.rateOf(PROCESS)).toBe(10);
    announce(6_000);
    expectColdFor(6_000);
  });

  it("replaces an estimate by the next entry", () => {
    announce(0);
    cold.markZoneCold(ZONE);
    clock.advance(1_000);
    announce(0);
    expect(cold.rateOf(PROCESS)).toBeUndefined();
  });

  it.each([[100, "drained"], [20_000, "forgotten"]])(
    "counts a process as cold that returns %d ms after its removal, %s",
    (absentMs) => {
      announce(0);
      registry.withdraw(ID, Infinity);
      clock.advance(absentMs);
      registry.expirePhases();
      announce(0);
      expectColdFor(4_000);
    },
  );

  // After an outage of the store, all endpoints would be limited at once.
  it("does not count an endpoint as cold whose entry was missing for a moment", () => {
    announce(0);
    registry.withdraw(ID, 0);
    clock.advance(500);
    announce(0);
    expect(cold.count).toBe(0);
  });

  it("believes the entry of a process that replaces another one", () => {
    announce(3_000);
    announce(0, 2);
    expect(cold.count).toBe(0);
    expect(cold.rateOf({ endpoint: ID, bornMs: 2 })).toBeUndefined();
    expect(cold.rateOf(PROCESS)).toBeUndefined();
  });

  it("states no rate for a service without a limit", () => {
    service = { ...service, cold: undefined };
    announce(3_000);
    cold.markZoneCold(ZONE);
    expect(cold.rateOf(PROCESS)).toBeUndefined();
    expect(cold.isCold(registry.get(ID)!)).toBeUndefined();
    expect(cold.limited()).toEqual([]);
  });
});
