import fc from "fast-check";
import { asId } from "../../src/base/common/ids.ts";
import {
  SimulatedDeployment,
  SIMULATION_TEAM,
} from "./simulated_deployment.ts";
import type { SimulatedHost } from "./simulated_host.ts";

const HOSTS = ["a-host-1", "a-host-2", "a-host-3", "b-host-1", "b-host-2"];

/** Runs one schedule and watches every revision that comes into force. */
class FaultSchedule {
  lastWrittenRevision = 0;
  revertCount = 0;
  readonly deployment: SimulatedDeployment;
  readonly #newestRevisions = new Map<SimulatedHost, number>();

  constructor(deployment: SimulatedDeployment) {
    this.deployment = deployment;
    for (const host of deployment.hosts.values()) this.#trackRevisions(host);
  }

  apply(kind: string, host: string, other: string): void {
    const { deployment: deployment } = this;
    const { store, clock } = deployment.host(host);
    if (kind === "write") this.write();
    if (kind === "cut") deployment.network.cut(asId(host), asId(other));
    if (kind === "heal") deployment.network.heal();
    if (kind === "cut-store") store.isDisconnected = true;
    if (kind === "store-down") deployment.store.faults.isDown = true;
    if (kind === "store-up") deployment.store.faults.isDown = false;
    if (kind === "compact") deployment.store.compact();
    if (kind === "snapshot") deployment.store.takeSnapshot();
    if (kind === "freeze") clock.freeze();
    if (kind === "thaw") clock.thaw();
    if (kind === "restart") {
      deployment.restartHost(host);
      this.#trackRevisions(deployment.host(host));
    }
  }

  write(): void {
    this.deployment.setClassLimit("concept", 1_000 + this.lastWrittenRevision);
    this.lastWrittenRevision = this.deployment.store.revision;
  }

  async repairAll(): Promise<void> {
    this.deployment.network.heal();
    this.deployment.store.faults.isDown = false;
    for (const host of this.deployment.hosts.values()) {
      host.store.isDisconnected = false;
      host.clock.thaw();
    }
    await this.deployment.clock.advanceAsync(16_000);
  }

  activeRevisions(): number[] {
    return [...this.deployment.hosts.values()].map(({ core }) =>
      core.configuration.revisions().find(({ team }) =>
        team === SIMULATION_TEAM
      )
        ?.revision ?? 0
    );
  }

  #trackRevisions(host: SimulatedHost): void {
    host.core.configuration.onDidChangeConfiguration(({ revision }) => {
      if (revision < (this.#newestRevisions.get(host) ?? 0)) this.revertCount++;
      this.#newestRevisions.set(host, revision);
    });
  }
}

function createDeployment(): Promise<SimulatedDeployment> {
  return SimulatedDeployment.create({
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
        const schedule = new FaultSchedule(await createDeployment());
        for (const { kind, host, other, waitMs } of steps) {
          schedule.apply(kind, host, other);
          await schedule.deployment.clock.advanceAsync(waitMs);
        }
        schedule.write();
        await schedule.repairAll();
        expect(schedule.revertCount).toBe(0);
        expect(schedule.activeRevisions()).toEqual(
          HOSTS.map(() => schedule.lastWrittenRevision),
        );
      }),
      { seed: 4, numRuns: 40 },
    );
  });

  it("outlives a store that falls back to an older state", async () => {
    const schedule = new FaultSchedule(await createDeployment());
    schedule.apply("snapshot", HOSTS[0]!, HOSTS[0]!);
    schedule.write();
    await schedule.deployment.clock.advanceAsync(1_000);
    schedule.deployment.store.failOver();
    for (const host of HOSTS.slice(1)) schedule.apply("restart", host, host);
    await schedule.deployment.clock.advanceAsync(20_000);
    expect(schedule.activeRevisions()).toEqual(
      HOSTS.map(() => schedule.lastWrittenRevision),
    );
  });

  it("calls the store as often for many daemons as for few", async () => {
    const countReads = async (hosts: number): Promise<number> => {
      const deployment = await SimulatedDeployment.create({
        zones: { a: { hosts } },
        services: {},
        workspaces: [],
        classes: {},
      });
      await deployment.clock.advanceAsync(10_000);
      const before = deployment.store.callCounts.read;
      await deployment.clock.advanceAsync(60_000);
      return deployment.store.callCounts.read - before;
    };
    expect(await countReads(12)).toBe(await countReads(4));
  });
});
