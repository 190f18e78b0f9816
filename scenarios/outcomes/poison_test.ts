import {
  asId,
  type RequestId,
  type TeamName,
} from "../../src/base/common/ids.ts";
import {
  toServiceId,
  toWorkspaceId,
} from "../../src/features/configuration/common/configuration.ts";
import {
  SimulatedDeployment,
  SIMULATION_TEAM,
} from "../../standins/world/simulated_deployment.ts";
import { GenerationRecord } from "../runner/caller_record.ts";

const TEAM = asId<TeamName>(SIMULATION_TEAM);
const HOSTS = ["zone-host-1", "zone-host-2", "zone-host-3"];
const POISON = "a prompt that kills #poison";

/** Three hosts before some engines; each request may go through any host. */
async function createWorld(engineCount: number) {
  const world = await SimulatedDeployment.create({
    zones: { zone: { hosts: HOSTS.length } },
    services: { llm: { kind: "engine", replicas: { zone: engineCount } } },
    workspaces: ["own", "other"],
    classes: { normal: { priority: 3 } },
  });
  let requests = 0;
  const start = (prompt: string, workspace = "own") => {
    const host = HOSTS[requests % HOSTS.length]!;
    const record = new GenerationRecord(workspace);
    world.host(host).core.generations.start({
      requestId: asId<RequestId>(`r${requests++}`),
      workspace: toWorkspaceId(TEAM, workspace),
      service: toServiceId(TEAM, "llm"),
      className: "normal",
      model: "llm",
      prompt,
      maxTokens: 100,
      sizeBytes: prompt.length,
      maxWaitMs: undefined,
      delivery: "stream",
    }, record);
    return record;
  };
  const advance = async (byMs: number) => {
    for (let passedMs = 0; passedMs < byMs; passedMs += 1_000) {
      await world.clock.advanceAsync(1_000);
      for (const engine of world.engines.values()) {
        if (engine.isDown) engine.restart();
      }
    }
  };
  const crashes = () =>
    [...world.engines.values()].reduce(
      (sum, { counters: counts }) => sum + counts.crashes,
      0,
    );
  return { world, start, advance, crashes };
}

describe("requests that kill endpoints", () => {
  it.each([2, 4, 8])(
    "accuse none of 30 innocent ones, with %d engines",
    async (engineCount) => {
      const { world, start, advance, crashes } = await createWorld(engineCount);
      const innocent = [...Array(30).keys()].map((number) =>
        start(`innocent ${number} #tokens=40`, number % 2 ? "own" : "other")
      );
      const poison = start(POISON);
      await advance(60_000);
      const quarantined = world.host(HOSTS[0]!).core.quarantine.list();
      expect(quarantined).toHaveLength(1);
      expect(poison.outcome).toBe("interrupted");
      // What had delivered tokens when the poison came by is interrupted.
      const others = innocent.filter(({ outcome }) =>
        outcome !== "completed" && outcome !== "interrupted"
      );
      expect(others).toEqual([]);
      expect(crashes()).toBeLessThanOrEqual(3);
    },
  );

  it("are refused at every host until they are released", async () => {
    const { world, start, advance, crashes } = await createWorld(4);
    start(POISON);
    await advance(20_000);
    const before = crashes();
    const again = HOSTS.map(() => start(POISON));
    const other = start(POISON, "other");
    await advance(1_000);
    expect(again.map(({ outcome, reason }) => [outcome, reason]))
      .toEqual(HOSTS.map(() => ["not-run", "quarantined"]));
    expect(other.outcome).not.toBe("not-run");
    await advance(10_000);
    expect(crashes()).toBeLessThanOrEqual(before + 3);
    const { quarantine } = world.host(HOSTS[1]!).core;
    const mine = quarantine.list().find(({ workspace }) =>
      workspace === toWorkspaceId(TEAM, "own")
    );
    expect(quarantine.release(mine!.fingerprint)).toBe(true);
    await advance(1_000);
    expect(
      HOSTS.flatMap((host) => world.host(host).core.quarantine.list())
        .filter(({ workspace }) => workspace === mine!.workspace),
    ).toEqual([]);
  });

  it("do not get another workspace's request refused by two deaths", async () => {
    const { world, start, advance } = await createWorld(1);
    for (const kill of ["first", "second"]) {
      start("a long timetable #tokens=90");
      start("a short one #tokens=90", "other");
      await advance(1_000);
      start(`${kill} ${POISON}`, "other");
      await advance(12_000);
    }
    const refused = world.host(HOSTS[0]!).core.quarantine.list();
    expect(
      refused.filter(({ workspace }) =>
        workspace === toWorkspaceId(TEAM, "own")
      ),
    ).toEqual([]);
  });

  it("are not looked for when an endpoint was reclaimed", async () => {
    const { world, start, advance } = await createWorld(2);
    const streams = [start("one #tokens=90"), start("two #tokens=90")];
    await world.clock.advanceAsync(200);
    for (const engine of world.engines.values()) engine.reclaim(500);
    start("refused as leaving");
    start("refused as leaving");
    start("refused as leaving");
    await advance(10_000);
    expect(streams.map(({ outcome }) => outcome))
      .toEqual(["interrupted", "interrupted"]);
    for (const prompt of ["one #tokens=90", "two #tokens=90"]) start(prompt);
    for (const host of HOSTS) {
      expect(world.host(host).core.quarantine.list()).toEqual([]);
    }
  });
});
