import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type { EndpointId, HostId } from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { Fleet, type FleetDaemon } from "./in_process_fleet.ts";

const SLOTS = 6;
const CALL_MS = 40;
/** Rejections in a second that the endpoint bears. */
const BRITTLE = 5;
const PROCESS = { endpoint: "app-1" as EndpointId, bornMs: 1, slots: SLOTS };
const STEP_MS = 10;
const SEED = 36;
const CAPACITY_PER_S = SLOTS * 1_000 / CALL_MS;

/** An endpoint that turns away what finds no slot. */
class FakeEndpoint {
  slots = SLOTS;
  running = 0;
  servedCount = 0;
  readonly rejectionsMs: number[] = [];

  mostRejectionsPerS(): number {
    const times = this.rejectionsMs;
    return Math.max(
      0,
      ...times.map((startMs) =>
        times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length
      ),
    );
  }
}

describe.each([9, 90])("places of a brittle endpoint on %d hosts", (size) => {
  let hasher: Hasher;
  let fleet: Fleet;
  let random: SeededRandom;
  let endpoint: FakeEndpoint;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  beforeEach(async () => {
    random = new SeededRandom(SEED);
    endpoint = new FakeEndpoint();
    fleet = new Fleet(hasher, size / 3);
    await fleet.advance(3_000);
    observe(anyDaemon(), BRITTLE);
    await fleet.advance(200);
  });

  function anyDaemon(): FleetDaemon {
    const daemons = [...fleet.daemons.values()];
    return daemons[Math.floor(random.float() * daemons.length)]!;
  }

  /** One host learns from an answer what the endpoint bears. */
  function observe(daemon: FleetDaemon, rejectionsPerS?: number): void {
    daemon.brittleTable.observe(
      PROCESS,
      rejectionsPerS === undefined
        ? { kind: "none" }
        : { kind: "named", rejectionsPerS },
      fleet.clock.monotonicMs(),
    );
  }

  async function send(daemon: FleetDaemon): Promise<void> {
    const offer = await daemon.roomPermits.take(PROCESS, 1_000);
    if (offer.kind === "denied") return;
    if (endpoint.running >= endpoint.slots) {
      endpoint.rejectionsMs.push(fleet.clock.monotonicMs());
      offer.permit.release(true);
      return;
    }
    endpoint.running++;
    fleet.clock.setTimer(CALL_MS, () => {
      endpoint.running--;
      endpoint.servedCount++;
      offer.permit.release(false);
    });
  }

  /** Has random hosts send twice as much as the endpoint can run. */
  async function demandFor(durationMs: number): Promise<void> {
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      const count = 2 * CAPACITY_PER_S * STEP_MS / 1_000;
      for (let index = 0; index < count; index++) void send(anyDaemon());
      await fleet.advance(STEP_MS);
    }
  }

  it("reach all hosts with what the endpoint bears", () => {
    for (const { brittleTable } of fleet.daemons.values()) {
      expect(brittleTable.get(PROCESS)?.rejectionsPerS).toBe(BRITTLE);
    }
  });

  it("are used, and nothing is turned away, when more is asked than they take", async () => {
    await demandFor(6_000);
    expect(endpoint.mostRejectionsPerS()).toBeLessThanOrEqual(BRITTLE);
    expect(endpoint.servedCount).toBeGreaterThan(0.7 * CAPACITY_PER_S * 6);
  });

  it("are given away in smaller number when the endpoint has less room than it says", async () => {
    endpoint.slots = 2;
    await demandFor(8_000);
    expect(endpoint.mostRejectionsPerS()).toBeLessThanOrEqual(BRITTLE);
    expect(endpoint.servedCount).toBeGreaterThan(0.3 * 2 * 8_000 / CALL_MS);
  });

  it("are not given away twice for long while granters are killed and start again", async () => {
    for (let round = 0; round < 5; round++) {
      const [listed] = anyDaemon().roomPermits.list();
      fleet.kill(listed!.granter);
      await demandFor(1_500);
      fleet.restart(listed!.granter);
      await demandFor(1_500);
    }
    expect(endpoint.mostRejectionsPerS()).toBeLessThanOrEqual(BRITTLE);
    expect(endpoint.servedCount).toBeGreaterThan(0.4 * CAPACITY_PER_S * 15);
  });

  it("are shared over the two sides of a zone that is cut off", async () => {
    const hosts = [...fleet.daemons.keys()];
    const isInside = (host: HostId) => host.startsWith("zone-a");
    for (const inner of hosts.filter(isInside)) {
      for (const outer of hosts.filter((host) => !isInside(host))) {
        fleet.network.cut(inner, outer);
        fleet.network.cut(outer, inner);
      }
    }
    await demandFor(5_000);
    fleet.network.heal();
    await demandFor(3_000);
    expect(endpoint.mostRejectionsPerS()).toBeLessThanOrEqual(BRITTLE);
  });

  it("are hardly used by hosts that are all cut off from each other", async () => {
    const hosts = [...fleet.daemons.keys()];
    for (const from of hosts) {
      for (const to of hosts) if (from !== to) fleet.network.cut(from, to);
    }
    endpoint.slots = 0;
    await fleet.advance(1_500);
    await demandFor(5_000);
    expect(endpoint.mostRejectionsPerS()).toBeLessThanOrEqual(BRITTLE);
  });

  it("need no permit any more once the endpoint is sturdy", async () => {
    await fleet.advance(10);
    observe(anyDaemon());
    await fleet.advance(200);
    for (const { roomPermits } of fleet.daemons.values()) {
      expect(roomPermits.isNeeded(PROCESS)).toBe(false);
    }
  });
});
