import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type { EndpointId, HostId } from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { Fleet, type FleetDaemon } from "./in_process_fleet.ts";

const LIMIT_PER_S = 2.8;
const WINDOW_MS = 4_000;
/** One and a half times what the limit allows in a window, and 5 requests. */
const MAX_PER_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
const PROCESS = { endpoint: "app-1" as EndpointId, bornMs: 1 };
const STEP_MS = 20;
const SEED = 25;

describe.each([9, 90])("rights of a limited endpoint on %d hosts", (size) => {
  let hasher: Hasher;
  let fleet: Fleet;
  let random: SeededRandom;
  let sentMs: number[];

  beforeAll(async () => {
    hasher = await createHasher();
  });

  beforeEach(async () => {
    random = new SeededRandom(SEED);
    sentMs = [];
    fleet = new Fleet(hasher, size / 3);
    await fleet.advance(3_000);
    name(anyDaemon());
    await fleet.advance(200);
  });

  function anyDaemon(): FleetDaemon {
    const daemons = [...fleet.daemons.values()];
    return daemons[Math.floor(random.float() * daemons.length)]!;
  }

  /** One host learns of the limit from an answer. */
  function name(daemon: FleetDaemon, requestsPerS = LIMIT_PER_S): void {
    const nowMs = fleet.clock.monotonicMs();
    daemon.limitTable.observe(PROCESS, { kind: "named", requestsPerS }, nowMs);
  }

  /** Has hosts ask for rights 25 times a second, half of them with a wait. */
  async function demandFor(
    durationMs: number,
    daemons = () => [...fleet.daemons.values()],
  ): Promise<void> {
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      if (random.float() < 0.5) {
        const list = daemons();
        const daemon = list[Math.floor(random.float() * list.length)]!;
        const maxWaitMs = random.float() < 0.5 ? 0 : 500;
        void daemon.limitRights.take(PROCESS, maxWaitMs).then(({ kind }) => {
          if (kind === "granted") sentMs.push(fleet.clock.monotonicMs());
        });
      }
      await fleet.advance(STEP_MS);
    }
  }

  function mostInWindow(): number {
    return Math.max(
      0,
      ...sentMs.map((startMs) =>
        sentMs.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
          .length
      ),
    );
  }

  it("reach all hosts with the limit", () => {
    for (const { limitTable } of fleet.daemons.values()) {
      expect(limitTable.rateOf(PROCESS)).toBe(LIMIT_PER_S);
    }
  });

  it("follow the demand, and add up to the limit", async () => {
    await demandFor(12_000);
    expect(mostInWindow()).toBeLessThanOrEqual(MAX_PER_WINDOW);
    expect(sentMs.length).toBeGreaterThanOrEqual(
      MAX_PER_WINDOW / 2 * 12_000 / WINDOW_MS,
    );
  });

  it("go to a single host that has all the demand", async () => {
    const only = anyDaemon();
    await demandFor(8_000, () => [only]);
    expect(mostInWindow()).toBeLessThanOrEqual(MAX_PER_WINDOW);
    expect(sentMs.length).toBeGreaterThanOrEqual(
      MAX_PER_WINDOW / 2 * 8_000 / WINDOW_MS,
    );
  });

  it("add up to the limit while hosts are killed and start again", async () => {
    for (let round = 0; round < 6; round++) {
      const [granter] = anyDaemon().limitRights.list();
      const hosts = [...fleet.daemons.keys()];
      const victims = [
        granter!.granter,
        hosts[Math.floor(random.float() * hosts.length)]!,
      ];
      for (const host of new Set(victims)) fleet.kill(host);
      await demandFor(1_500);
      for (const host of new Set(victims)) fleet.restart(host);
      await demandFor(1_500);
    }
    expect(mostInWindow()).toBeLessThanOrEqual(MAX_PER_WINDOW);
    expect(sentMs.length).toBeGreaterThan(0);
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
    await demandFor(9_000);
    fleet.network.heal();
    await demandFor(6_000);
    expect(mostInWindow()).toBeLessThanOrEqual(MAX_PER_WINDOW);
    expect(sentMs.length).toBeGreaterThan(9 * LIMIT_PER_S / 2);
  });

  it("are an equal share for each of the hosts that are all cut off", async () => {
    const hosts = [...fleet.daemons.keys()];
    for (const from of hosts) {
      for (const to of hosts) if (from !== to) fleet.network.cut(from, to);
    }
    await demandFor(12_000);
    // A host may use up to one right at once; these are counted besides.
    expect(mostInWindow() - size).toBeLessThanOrEqual(MAX_PER_WINDOW);
  });

  it("are asked for with a limit that has ended, which the granter learns", async () => {
    // Hubs pass on what they learn; a leaf only asks with it.
    const leaf = [...fleet.daemons.values()].find(({ peers }) =>
      !peers.isHub
    ) ??
      anyDaemon();
    const { granter } = leaf.limitRights.list()[0]!;
    leaf.limitTable.merge({
      ...leaf.limitTable.get(PROCESS)!,
      requestsPerS: undefined,
      revision: 9,
    });
    void leaf.limitRights.take(PROCESS, 0);
    await fleet.advance(100);
    const known = fleet.daemons.get(granter)!.limitTable.get(PROCESS);
    expect(known?.revision).toBe(9);
  });

  it("follow limits that change and end", async () => {
    await demandFor(4_000);
    name(anyDaemon(), 0);
    await fleet.advance(100);
    sentMs = [];
    await demandFor(8_000);
    expect(mostInWindow()).toBeLessThanOrEqual(5);
    const nowMs = fleet.clock.monotonicMs();
    anyDaemon().limitTable.observe(PROCESS, { kind: "none" }, nowMs);
    await fleet.advance(100);
    for (const { limitTable } of fleet.daemons.values()) {
      expect(limitTable.get(PROCESS)?.requestsPerS).toBeUndefined();
    }
    await fleet.advance(4_000);
    expect(anyDaemon().limitRights.isLimited(PROCESS)).toBe(false);
  });
});
