import fc from "fast-check";
import { asId } from "../../src/base/common/ids.ts";
import { World, WORLD_TEAM } from "./world.ts";
import type { WorldHost } from "./world_host.ts";

const HOSTS = ["a-host-1", "a-host-2", "a-host-3", "b-host-1", "b-host-2"];

/** Runs one schedule and watches every revision that comes into force. */
class Schedule {
  accepted = 0;
  reverts = 0;
  readonly world: World;
  readonly #newest = new Map<WorldHost, number>();

  constructor(world: World) {
    this.world = world;
    for (const host of world.hosts.values()) this.#follow(host);
  }

  apply(kind: string, host: string, other: string): void {
    const { world } = this;
    const { store, clock } = world.host(host);
    if (kind === "write") this.write();
    if (kind === "cut") world.network.cut(asId(host), asId(other));
    if (kind === "heal") world.network.heal();
    if (kind === "cut-store") store.isDisconnected = true;
    if (kind === "store-down") world.store.faults.isDown = true;
    if (kind === "store-up") world.store.faults.isDown = false;
    if (kind === "compact") world.store.compact();
    if (kind === "snapshot") world.store.takeSnapshot();
    if (kind === "freeze") clock.freeze();
    if (kind === "thaw") clock.thaw();
    if (kind === "restart") {
      world.restartHost(host);
      this.#follow(world.host(host));
    }
  }

  write(): void {
    this.world.setClassLimit("concept", 1_000 + this.accepted);
    this.accepted = this.world.store.revision;
  }

  async mend(): Promise<void> {
    this.world.network.heal();
    this.world.store.faults.isDown = false;
    for (const host of this.world.hosts.values()) {
      host.store.isDisconnected = false;
      host.clock.thaw();
    }
    await this.world.clock.advanceAsync(16_000);
  }

  inForce(): number[] {
    return [...this.world.hosts.values()].map(({ core }) =>
      core.configuration.revisions().find(({ team }) => team === WORLD_TEAM)
        ?.revision ?? 0
    );
  }

  #follow(host: WorldHost): void {
    host.core.configuration.onDidChangeConfiguration(({ revision }) => {
      if (revision < (this.#newest.get(host) ?? 0)) this.reverts++;
      this.#newest.set(host, revision);
    });
  }
}

function createWorld(): Promise<World> {
  return World.create({
    zones: { a: { hosts: 3 }, b: { hosts: 2 } },
    services: {},
    workspaces: ["w"],
    classes: { concept: { priority: 1 } },
  });
}

describe("the configuration", () => {
  it("converges to the last accepted one and never reverts", async () => {
    const step = fc.record({
      kind: fc.constantFrom(
        ...["write", "write", "cut", "heal", "cut-store", "store-down"],
        ...["store-up", "compact", "freeze", "thaw", "restart"],
      ),
      host: fc.constantFrom(...HOSTS),
      other: fc.constantFrom(...HOSTS),
      waitMs: fc.integer({ min: 0, max: 8_000 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
        const schedule = new Schedule(await createWorld());
        for (const { kind, host, other, waitMs } of steps) {
          schedule.apply(kind, host, other);
          await schedule.world.clock.advanceAsync(waitMs);
        }
        schedule.write();
        await schedule.mend();
        expect(schedule.reverts).toBe(0);
        expect(schedule.inForce()).toEqual(HOSTS.map(() => schedule.accepted));
      }),
      { seed: 4, numRuns: 40 },
    );
  });

  it("outlives a store that falls back to an older state", async () => {
    const schedule = new Schedule(await createWorld());
    schedule.apply("snapshot", HOSTS[0]!, HOSTS[0]!);
    schedule.write();
    await schedule.world.clock.advanceAsync(1_000);
    schedule.world.store.failOver();
    for (const host of HOSTS.slice(1)) schedule.apply("restart", host, host);
    await schedule.world.clock.advanceAsync(20_000);
    expect(schedule.inForce()).toEqual(HOSTS.map(() => schedule.accepted));
  });

  it("calls the store as often for many daemons as for few", async () => {
    const callsOf = async (hosts: number): Promise<number> => {
      const world = await World.create({
        zones: { a: { hosts } },
        services: {},
        workspaces: [],
        classes: {},
      });
      await world.clock.advanceAsync(10_000);
      const before = world.store.callCounts.read;
      await world.clock.advanceAsync(60_000);
      return world.store.callCounts.read - before;
    };
    expect(await callsOf(12)).toBe(await callsOf(4));
  });
});
