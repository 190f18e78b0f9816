import { ManualClock } from "../../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import { EndpointPaces, type PacedEndpoint } from "./endpoint_pace.ts";
import { LoadTable } from "./load_table.ts";

const USUAL_MS = 36;

function endpoint(number: number, bornMs = 1): PacedEndpoint {
  return {
    isUsable: true,
    announcement: {
      id: `llm-${number}` as EndpointId,
      service: "llm" as ServiceId,
      address: "10.0.0.1:80" as Address,
      zone: "zone-a" as ZoneName,
      slots: 24,
      bornMs,
      isDraining: false,
      warmUpRemainingMs: 0,
    },
  };
}

describe("EndpointPaces", () => {
  let clock: ManualClock;
  let paces: EndpointPaces;

  beforeEach(() => {
    clock = new ManualClock();
    paces = new EndpointPaces(clock, new LoadTable(clock));
  });

  /** Records samples of some endpoints, of which the first may be slow. */
  function sample(count: number, firstMs: number, runs = 0): void {
    for (let round = 0; round < count; round++) {
      clock.advance(100);
      for (let number = 1; number <= 5; number++) {
        const eventMs = number === 1 ? firstMs : USUAL_MS;
        paces.recordEventTime(endpoint(number), eventMs, runs);
      }
    }
    clock.advance(200);
  }

  it("takes an endpoint for slow after five slow samples", () => {
    sample(10, USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
    sample(5, 5 * USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(4);
    expect(paces.relativeTime(endpoint(2))).toBe(1);
  });

  it("uses an endpoint again after five samples at its usual speed", () => {
    sample(10, 5 * USUAL_MS);
    sample(5, USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
  });

  it("does not take an endpoint for slow because of one slow sample", () => {
    sample(10, USUAL_MS);
    sample(1, 20 * USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
  });

  it("does not take a batch with many runs for a slow endpoint", () => {
    sample(5, USUAL_MS);
    for (let round = 0; round < 5; round++) {
      const eventMs = 4 * (7 + 0.12 * 24);
      paces.recordEventTime(endpoint(6), eventMs * (USUAL_MS / 28), 24);
    }
    clock.advance(200);
    const report = paces.reports("hubs").find((one) =>
      one.endpoint === endpoint(6).announcement.id
    );
    expect(report?.relativeTime).toBeCloseTo(1, 1);
  });

  it("tries a slow endpoint again that gives no samples any more", () => {
    sample(5, 5 * USUAL_MS);
    clock.advance(6_000);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
    sample(2, 5 * USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(4);
  });

  it("discards what it learned of an earlier process", () => {
    sample(5, 5 * USUAL_MS);
    paces.recordEventTime(endpoint(1, 2), USUAL_MS, 0);
    expect(paces.relativeTime(endpoint(1, 2))).toBe(1);
    expect(paces.relativeTime(endpoint(1, 1))).toBe(1);
  });

  it("ignores moderate deviations unless the service reports a pace", () => {
    sample(5, 1.3 * USUAL_MS);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
    const load = { running: 1, waiting: 0, slots: 24, pacePercent: 100 };
    paces.recordLoad(endpoint(2), load);
    expect(paces.relativeTime(endpoint(1))).toBeCloseTo(1.3, 2);
  });

  it("uses a reported pace only for 300 ms", () => {
    const load = { running: 1, waiting: 0, slots: 24, pacePercent: 250 };
    paces.recordLoad(endpoint(1), load);
    expect(paces.relativeTime(endpoint(1))).toBe(2.5);
    clock.advance(299);
    expect(paces.relativeTime(endpoint(1))).toBe(2.5);
    clock.advance(2);
    expect(paces.relativeTime(endpoint(1))).toBe(1);
  });

  it("trusts a reported load less the older it is, and counts its own calls", () => {
    const loadTable = new LoadTable(clock);
    paces = new EndpointPaces(clock, loadTable);
    const slots = 6;
    paces.recordLoad(endpoint(1), { running: 0, waiting: 0, slots });
    paces.recordLoad(endpoint(2), { running: 6, waiting: 6, slots });
    expect(paces.expectedRuns(endpoint(1))).toBeCloseTo(0);
    clock.advance(300);
    const agedRuns = paces.expectedRuns(endpoint(1));
    expect(agedRuns).toBeGreaterThan(4);
    expect(agedRuns).toBeLessThan(6);
    loadTable.claimCall(endpoint(1).announcement.id);
    expect(paces.expectedRuns(endpoint(1))).toBeCloseTo(agedRuns + 1);
  });
});
