import fc from "fast-check";
import { InProcessNetwork } from "./in_process_links.ts";
import { ProcessClock } from "../world/process_clock.ts";
import { ManualClock } from "../../src/base/common/clock.ts";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import { asId } from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { GossipMembership } from "../../src/services/membership/common/gossip_membership.ts";

let hasher: Hasher;

class Fleet {
  readonly clock = new ManualClock();
  readonly network = new InProcessNetwork();
  readonly daemons = new Map<string, GossipMembership>();
  readonly clocks = new Map<string, ProcessClock>();

  readonly hosts: readonly string[];

  constructor(hosts: readonly string[]) {
    this.hosts = hosts;
    for (const host of hosts) this.start(host);
  }

  start(host: string): void {
    const clock = new ProcessClock(this.clock);
    const links = this.network.addHost(asId(host), clock);
    const membership = new GossipMembership(
      {
        clock,
        hasher,
        random: new SeededRandom(1),
        logger: NOOP_LOGGER,
        links,
      },
      {
        host: asId(host),
        zone: asId(zoneOf(host)),
        incarnation: clock.nowMs(),
      },
    );
    this.clocks.set(host, clock);
    this.daemons.set(host, membership);
    const seeds = this.hosts.slice(0, 2).filter((seed) => seed !== host);
    membership.start(
      asId("127.0.0.1:1"),
      seeds.map((seed) => ({
        host: asId(seed),
        zone: asId(zoneOf(seed)),
        address: asId("127.0.0.1:1"),
      })),
    );
  }

  crash(host: string): void {
    this.clocks.get(host)?.kill();
    this.network.removeHost(asId(host));
    this.daemons.delete(host);
  }

  viewOf(host: string): string {
    return [...this.daemons.get(host)!.members()]
      .map((member) => `${member.host}=${member.state}`).sort().join(" ");
  }

  distinctViews(): string[] {
    return [
      ...new Set([...this.daemons.keys()].map((host) => this.viewOf(host))),
    ];
  }
}

const zoneOf = (host: string): string => `zone-${host[0]}`;

beforeAll(async () => {
  hasher = await createHasher();
});

describe("membership", () => {
  it("is the same everywhere soon after the start", () => {
    const fleet = new Fleet(["a1", "a2", "a3", "b1", "b2"]);
    fleet.clock.advance(5_000);
    expect(fleet.distinctViews()).toEqual([
      "a1=alive a2=alive a3=alive b1=alive b2=alive",
    ]);
  });

  it("suspects a silent host and then removes it", () => {
    const fleet = new Fleet(["a1", "a2", "a3"]);
    fleet.clock.advance(5_000);
    fleet.crash("a3");
    fleet.clock.advance(3_500);
    expect(fleet.distinctViews()).toEqual(["a1=alive a2=alive a3=suspect"]);
    fleet.clock.advance(4_000);
    expect(fleet.distinctViews()).toEqual(["a1=alive a2=alive"]);
  });

  it("keeps a host that others still hear", () => {
    const fleet = new Fleet(["a1", "a2", "a3"]);
    fleet.clock.advance(5_000);
    fleet.network.cut(asId("a3"), asId("a1"));
    fleet.clock.advance(20_000);
    expect(fleet.viewOf("a1")).toBe("a1=alive a2=alive a3=suspect");
    expect(fleet.viewOf("a2")).toBe("a1=alive a2=alive a3=alive");
  });

  it("lets a paused process return and does not let it judge", () => {
    const fleet = new Fleet(["a1", "a2", "a3"]);
    fleet.clock.advance(5_000);
    fleet.clocks.get("a3")!.freeze();
    fleet.clock.advance(10_000);
    expect(fleet.viewOf("a1")).toBe("a1=alive a2=alive");
    fleet.clocks.get("a3")!.thaw();
    fleet.clock.advance(100);
    expect(fleet.viewOf("a3")).toBe("a1=alive a2=alive a3=alive");
    fleet.clock.advance(3_000);
    expect(fleet.distinctViews()).toEqual(["a1=alive a2=alive a3=alive"]);
  });

  it("tells at once that a host is leaving", () => {
    const fleet = new Fleet(["a1", "a2", "b1"]);
    fleet.clock.advance(5_000);
    fleet.daemons.get("a1")!.announceDraining();
    fleet.clock.advance(10);
    expect(fleet.distinctViews()).toEqual(["a1=leaving a2=alive b1=alive"]);
  });

  it("drops a silent host that the host list has dropped", () => {
    const fleet = new Fleet(["a1", "a2"]);
    fleet.clock.advance(5_000);
    const a1 = fleet.daemons.get("a1")!;
    const entry = { ...a1.members()[1]!, isLeaving: false };
    a1.applyHostList([entry]);
    a1.applyHostList([]);
    expect(fleet.viewOf("a1")).toBe("a1=alive a2=alive");
    fleet.crash("a2");
    fleet.clock.advance(3_500);
    a1.applyHostList([entry]);
    a1.applyHostList([]);
    expect(fleet.viewOf("a1")).toBe("a1=alive");
  });

  it("converges after any cuts, crashes, pauses and restarts", () => {
    const hosts = ["a1", "a2", "a3", "b1", "b2", "b3"];
    const host = fc.constantFrom(...hosts);
    const step = fc.record({
      kind: fc.constantFrom("cut", "crash", "start", "freeze", "thaw", "heal"),
      host,
      other: host,
      waitMs: fc.integer({ min: 0, max: 9_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        const fleet = new Fleet(hosts);
        fleet.clock.advance(3_000);
        for (const { kind, host, other, waitMs } of steps) {
          applyStep(fleet, kind, host, other);
          fleet.clock.advance(waitMs);
        }
        fleet.network.heal();
        for (const clock of fleet.clocks.values()) clock.thaw();
        for (const gone of hosts) {
          if (!fleet.daemons.has(gone)) fleet.start(gone);
        }
        fleet.clock.advance(30_000);
        expect(fleet.distinctViews()).toEqual([
          hosts.map((name) => `${name}=alive`).join(" "),
        ]);
      }),
      { seed: 6, numRuns: 60 },
    );
  });
});

function applyStep(
  fleet: Fleet,
  kind: string,
  host: string,
  other: string,
): void {
  const isUp = fleet.daemons.has(host);
  if (kind === "cut") fleet.network.cut(asId(host), asId(other));
  if (kind === "heal") fleet.network.heal();
  if (kind === "crash" && isUp) fleet.crash(host);
  if (kind === "start" && !isUp) fleet.start(host);
  if (kind === "freeze" && isUp) fleet.clocks.get(host)!.freeze();
  if (kind === "thaw" && isUp) fleet.clocks.get(host)!.thaw();
}
