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
const POISON_PROMPT = "a prompt that kills #poison";

/** Creates three hosts and some engines; requests rotate over the hosts. */
async function createWorld(engineCount: number) {
  const world = await SimulatedDeployment.create({
    zones: { zone: { hosts: HOSTS.length } },
    services: { llm: { kind: "engine", replicas: { zone: engineCount } } },
    workspaces: ["own", "other"],
    classes: { normal: { priority: 3 } },
  });
  let requestCount = 0;
  const start = (prompt: string, workspace = "own") => {
    const host = HOSTS[requestCount % HOSTS.length]!;
    const record = new GenerationRecord(workspace);
    world.host(host).core.generations.start({
      requestId: asId<RequestId>(`r${requestCount++}`),
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
    for (let advancedMs = 0; advancedMs < byMs; advancedMs += 1_000) {
      await world.clock.advanceAsync(1_000);
      for (const engine of world.engines.values()) {
        if (engine.isDown) engine.restart();
      }
    }
  };
  const crashes = () =>
    [...world.engines.values()].reduce(
      (sum, { counters }) => sum + counters.crashes,
      0,
    );
  return { world, start, advance, crashes };
}

describe("requests that crash endpoints", () => {
  it.each([2, 4, 8])(
    "are quarantined without any of 30 harmless requests, with %d engines",
    async (engineCount) => {
      const { world, start, advance, crashes } = await createWorld(engineCount);
      const harmless = [...Array(30).keys()].map((number) =>
        start(`innocent ${number} #tokens=40`, number % 2 ? "own" : "other")
      );
      const poison = start(POISON_PROMPT);
      await advance(60_000);
      const quarantined = world.host(HOSTS[0]!).core.quarantine.list();
      expect(quarantined).toHaveLength(1);
      expect(poison.outcome).toBe("interrupted");
      // Generations that had delivered tokens before a crash are interrupted.
      const unexpected = harmless.filter(({ outcome }) =>
        outcome !== "completed" && outcome !== "interrupted"
      );
      expect(unexpected).toEqual([]);
      expect(crashes()).toBeLessThanOrEqual(3);
    },
  );

  it("are refused by every host until they are released", async () => {
    const { world, start, advance, crashes } = await createWorld(4);
    start(POISON_PROMPT);
    await advance(20_000);
    const previousCrashes = crashes();
    const repeated = HOSTS.map(() => start(POISON_PROMPT));
    const otherWorkspace = start(POISON_PROMPT, "other");
    await advance(1_000);
    expect(repeated.map(({ outcome, reason }) => [outcome, reason]))
      .toEqual(HOSTS.map(() => ["not-run", "quarantined"]));
    expect(otherWorkspace.outcome).not.toBe("not-run");
    await advance(10_000);
    expect(crashes()).toBeLessThanOrEqual(previousCrashes + 3);
    const { quarantine } = world.host(HOSTS[1]!).core;
    const ownEntry = quarantine.list().find(({ workspace }) =>
      workspace === toWorkspaceId(TEAM, "own")
    );
    expect(quarantine.release(ownEntry!.fingerprint)).toBe(true);
    await advance(1_000);
    expect(
      HOSTS.flatMap((host) => world.host(host).core.quarantine.list())
        .filter(({ workspace }) => workspace === ownEntry!.workspace),
    ).toEqual([]);
  });

  it("do not quarantine a request of another workspace after two crashes", async () => {
    const { world, start, advance } = await createWorld(1);
    for (const prefix of ["first", "second"]) {
      start("a long timetable #tokens=90");
      start("a short one #tokens=90", "other");
      await advance(1_000);
      start(`${prefix} ${POISON_PROMPT}`, "other");
      await advance(12_000);
    }
    const quarantined = world.host(HOSTS[0]!).core.quarantine.list();
    expect(
      quarantined.filter(({ workspace }) =>
        workspace === toWorkspaceId(TEAM, "own")
      ),
    ).toEqual([]);
  });

  it("are not suspected when an endpoint is reclaimed", async () => {
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
