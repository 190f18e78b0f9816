import { ManualClock } from "../../src/base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { EndpointPaces } from "../../src/features/gateway/common/load/endpoint_pace.ts";
import { LoadTable } from "../../src/features/gateway/common/load/load_table.ts";
import { EndpointChooser } from "../../src/features/gateway/common/placement/endpoint_chooser.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { APP, configuration, ZONE } from "./harness_configuration.ts";

const HOSTS = 90;
const SLOTS = 6;
const SERVICE = configuration(1).services.get(APP)!;
const CRITERIA = { service: APP, memoryTokens: 0, excluded: new Set<never>() };

/** Load that the endpoint at the same index reports. */
interface TestEndpoint {
  readonly running: number;
  readonly waiting: number;
  readonly pacePercent?: number;
  readonly zone?: string;
  /** Response time of earlier calls in milliseconds. */
  readonly responseMs?: number;
}

/** Returns which endpoint a host chooses that got the reports some time ago. */
function choose(
  seed: number,
  ageMs: number,
  endpoints: readonly TestEndpoint[],
  options: { ownCalls?: number; crossZoneCostMs?: number } = {},
): number {
  const clock = new ManualClock();
  const registry = new EndpointRegistry(clock, NOOP_LOGGER);
  const loadTable = new LoadTable(clock);
  const paces = new EndpointPaces(clock, loadTable);
  const ids = endpoints.map(({ zone, responseMs = 65, ...load }, index) => {
    const id = `app-${index}` as EndpointId;
    registry.announce({
      id,
      service: APP,
      address: `10.0.0.${index}:80` as Address,
      zone: (zone ?? ZONE) as ZoneName,
      slots: SLOTS,
      bornMs: 1,
      isDraining: false,
      warmUpRemainingMs: 0,
    });
    paces.recordLoad(registry.get(id)!, { ...load, slots: SLOTS });
    for (let sample = 0; sample < 5; sample++) {
      paces.recordResponseTime(registry.get(id)!, responseMs);
    }
    return id;
  });
  clock.advance(ageMs);
  for (let call = 0; call < (options.ownCalls ?? 0); call++) {
    loadTable.claimCall(ids[0]!);
  }
  const chooser = new EndpointChooser(
    clock,
    registry,
    loadTable,
    new SeededRandom(seed),
    ZONE,
    {
      paces,
      settings: () => ({ crossZoneCostMs: options.crossZoneCostMs ?? 10 }),
    },
  );
  return ids.indexOf(chooser.choose(CRITERIA, SERVICE)!.endpoint.id);
}

/** Returns how many hosts choose the first endpoint. */
function countFirst(
  endpoints: readonly TestEndpoint[],
  ageOf: (host: number) => number,
  options?: Parameters<typeof choose>[3],
): number {
  let count = 0;
  for (let host = 0; host < HOSTS; host++) {
    if (choose(host + 1, ageOf(host), endpoints, options) === 0) count++;
  }
  return count;
}

const IDLE = { running: 0, waiting: 0, pacePercent: 100 };
const BUSY = { running: SLOTS, waiting: 2, pacePercent: 100 };

describe("calls placed by the reported load", () => {
  // All hosts would overload the one endpoint that was idle half a second ago.
  it("do not all go to the endpoint that was idle 50 to 500 ms ago", () => {
    const ageOf = (host: number) => 50 + host * 450 / (HOSTS - 1);
    const count = countFirst([IDLE, BUSY, BUSY, BUSY, BUSY], ageOf);
    expect(count).toBeGreaterThan(HOSTS / 5);
    expect(count).toBeLessThan(0.7 * HOSTS);
  });

  it("go to an idle endpoint while its report is new", () => {
    const busier = { ...BUSY, waiting: 6 };
    expect(countFirst([IDLE, busier, busier], () => 10)).toBe(HOSTS);
  });

  it("leave an endpoint that got calls of this host since its report", () => {
    const count = countFirst([IDLE, IDLE, IDLE], () => 10, {
      ownCalls: 2 * SLOTS,
    });
    expect(count).toBe(0);
  });

  it("avoid a slow endpoint although others are as idle", () => {
    const slow = { ...IDLE, pacePercent: 250 };
    expect(countFirst([slow, IDLE, IDLE], () => 10)).toBe(0);
  });

  it("avoid an endpoint whose earlier answers took longer", () => {
    const slow = { ...IDLE, responseMs: 200 };
    expect(countFirst([slow, IDLE, IDLE], () => 400)).toBe(0);
  });

  it("go to another zone if the wait here costs more than its bytes", () => {
    const endpoints = [{ ...IDLE, zone: "zone-b" }, { ...BUSY, waiting: 6 }];
    const ageOf = () => 1;
    expect(countFirst(endpoints, ageOf, { crossZoneCostMs: 10 })).toBe(HOSTS);
    expect(countFirst(endpoints, ageOf, { crossZoneCostMs: 200 })).toBe(0);
  });

  // Services without a reported pace must be placed by the slots in use.
  it("go to the endpoint with the fewest known calls without a reported pace", () => {
    const idle = { running: 0, waiting: 0 };
    const busy = { running: 6, waiting: 9, responseMs: 400 };
    for (const endpoints of [[idle, busy], [idle, idle, busy]]) {
      expect(countFirst(endpoints, () => 10, { ownCalls: 1 })).toBe(0);
    }
    const [first, second] = [[idle, idle, busy], [idle, idle, idle]].map((
      endpoints,
    ) =>
      Array.from({ length: HOSTS }, (_, host) => choose(host, 10, endpoints))
    );
    expect(first).toEqual(second);
  });
});
