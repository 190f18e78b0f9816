import { ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import {
  type Address,
  asId,
  type HostId,
  type RequestId,
  type ServiceId,
  type TeamName,
  type WorkspaceId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { leftOf, rightOf } from "../../src/base/common/result.ts";
import type {
  Member,
  Membership,
} from "../../src/services/membership/common/membership.ts";
import { SimulatedEngine } from "../../standins/engine/simulated_engine.ts";
import { InProcessEngineClient } from "../../standins/engine/in_process_engine_client.ts";
import { InProcessNetwork } from "../../standins/peers/in_process_links.ts";
import { ProcessClock } from "../../standins/world/process_clock.ts";
import { ConfigurationTable } from "../../src/features/configuration/common/configuration_table.ts";
import { teamDocumentSchema } from "../../src/features/configuration/common/team_document.ts";
import { ConfiguredEndpointDirectory } from "../../src/features/endpoints/common/configured_endpoint_directory.ts";
import type {
  Grant,
  GrantRequest,
  Refusal,
} from "../../src/features/dispatch/common/dispatcher.ts";
import { PeerDispatcher } from "../../src/features/dispatch/common/peer_dispatcher.ts";

const ZONE = asId<ZoneName>("zone");
const TEAM = asId<TeamName>("team");
const SERVICE = asId<ServiceId>("team/model");
const MEMORY_TOKENS = 8_000;

class FakeMembership implements Membership {
  readonly changed = new Emitter<void>();
  readonly onDidChangeMembers = this.changed.event;
  readonly self: Member;
  #members: readonly Member[];

  constructor(self: Member, members: readonly Member[]) {
    this.self = self;
    this.#members = members;
  }

  members(): readonly Member[] {
    return this.#members;
  }

  eligibleOwnersInZone(): readonly Member[] {
    return this.#members;
  }

  announceDraining(): void {
    // Nobody else is told.
  }

  applyHostList(): void {
    // The members are fixed.
  }

  remove(host: HostId): void {
    this.#members = this.#members.filter((member) => member.host !== host);
    this.changed.fire();
  }
}

interface Node {
  readonly host: HostId;
  readonly clock: ProcessClock;
  readonly membership: FakeMembership;
  readonly dispatcher: PeerDispatcher;
}

class Zone {
  readonly clock = new ManualClock();
  readonly network = new InProcessNetwork();
  readonly nodes: Node[];
  #requests = 0;

  constructor(hasher: Hasher, names: readonly string[]) {
    const members = names.map((name): Member => ({
      host: asId<HostId>(name),
      zone: ZONE,
      address: asId<Address>("127.0.0.1:1"),
      incarnation: 1,
      state: "alive",
    }));
    const address = asId<Address>("127.0.0.1:2");
    const engine = new SimulatedEngine(this.clock, {
      memoryTokens: MEMORY_TOKENS,
    });
    this.nodes = members.map((self) => {
      const clock = new ProcessClock(this.clock);
      const links = this.network.addHost(self.host, clock);
      links.setPeers(members.filter(({ host }) => host !== self.host));
      const configuration = new ConfigurationTable();
      const endpoints = new ConfiguredEndpointDirectory(configuration);
      const membership = new FakeMembership(self, members);
      const dispatcher = new PeerDispatcher({
        clock,
        hasher,
        links,
        membership,
        configuration,
        endpoints,
        host: self.host,
        zone: ZONE,
        engines: new InProcessEngineClient(clock, new Map([[address, engine]])),
      });
      configuration.apply({
        team: TEAM,
        revision: 1,
        document: teamDocumentSchema.parse({
          workspaces: { w: { apiKeyHashes: [] } },
          services: {
            model: {
              kind: "engine",
              endpoints: [{ id: "e1", address, zone: ZONE }],
            },
          },
          classes: { concept: { priority: 3 } },
        }),
      });
      return { host: self.host, clock, membership, dispatcher };
    });
  }

  get owner(): Node {
    return this.nodes.find(({ dispatcher }) =>
      dispatcher.groupServers.size > 0
    )!;
  }

  get others(): Node[] {
    const { owner } = this;
    return this.nodes.filter((node) => node !== owner);
  }

  acquire(
    node: Node,
    changes: Partial<GrantRequest> = {},
  ): { grant?: Grant; refusal?: Refusal } {
    const result: { grant?: Grant; refusal?: Refusal } = {};
    void node.dispatcher.acquire({
      requestId: asId<RequestId>(`r${this.#requests++}`),
      service: SERVICE,
      workspace: asId<WorkspaceId>("team/w"),
      className: "concept",
      prompt: "x".repeat(400),
      maxTokens: 4_000,
      sizeBytes: 400,
      deadlineMs: undefined,
      excludedEndpoints: [],
      ...changes,
    }, new AbortController().signal).then((answer) => {
      const grant = rightOf(answer);
      const refusal = leftOf(answer);
      if (grant) result.grant = grant;
      if (refusal) result.refusal = refusal;
    });
    return result;
  }

  kill(node: Node): void {
    node.clock.kill();
    node.dispatcher.dispose();
    this.network.removeHost(node.host);
    for (const other of this.nodes) {
      if (other !== node) other.membership.remove(node.host);
    }
  }
}

describe("PeerDispatcher", () => {
  let hasher: Hasher;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  async function createZone(names = ["a", "b", "c"]): Promise<Zone> {
    const zone = new Zone(hasher, names);
    await zone.clock.advanceAsync(3_000);
    return zone;
  }

  it("grants through the one dispatcher of the group", async () => {
    const zone = await createZone();
    expect(zone.others).toHaveLength(2);
    const asked = zone.nodes.map((node) => zone.acquire(node));
    await zone.clock.advanceAsync(50);
    const [host] = zone.owner.dispatcher.groupServers.values();
    expect(asked.every(({ grant }) => grant !== undefined)).toBe(true);
    expect(host!.dispatcher.runningCount).toBe(3);
    zone.others[0]!.dispatcher.reportProgress(asked[0]!.grant!.id, 100);
    zone.nodes.forEach(({ dispatcher }, index) =>
      dispatcher.release(asked[index]!.grant!.id, "completed", 100)
    );
    await zone.clock.advanceAsync(1_000);
    expect(host!.dispatcher.runningCount).toBe(0);
    expect(host!.dispatcher.states[0]!.reservations.heldTokens).toBe(0);
  });

  it("moves waiting requests and grants in use to a new dispatcher", async () => {
    const zone = await createZone();
    const [entry] = zone.others;
    const asked = Array.from({ length: 30 }, () => zone.acquire(entry!));
    await zone.clock.advanceAsync(100);
    const granted = asked.filter(({ grant }) => grant);
    expect(granted.length).toBeLessThan(30);
    zone.kill(zone.owner);
    await zone.clock.advanceAsync(3_000);
    const hosts = zone.nodes
      .filter(({ clock }) => !clock.isKilled)
      .flatMap(({ dispatcher }) => [...dispatcher.groupServers.values()]);
    const [host] = hosts.sort((left, right) =>
      right.dispatcher.runningCount - left.dispatcher.runningCount
    );
    expect(host!.dispatcher.runningCount).toBeGreaterThanOrEqual(
      granted.length,
    );
    expect(host!.dispatcher.runningCount + host!.dispatcher.queuedCount).toBe(
      30,
    );
    for (const { grant } of granted) {
      entry!.dispatcher.release(grant!.id, "completed", 10);
    }
    await zone.clock.advanceAsync(100);
    const now = asked.filter(({ grant }) => grant);
    expect(now.length).toBeGreaterThan(granted.length);
  });

  it("admits alone within its part when the dispatcher is cut off", async () => {
    const zone = await createZone();
    const { owner } = zone;
    const [entry] = zone.others;
    zone.network.cut(entry!.host, owner.host);
    const asked = Array.from({ length: 40 }, () => zone.acquire(entry!));
    await zone.clock.advanceAsync(2_000);
    const alone = asked.filter(({ grant }) => grant).length;
    const [host] = entry!.dispatcher.groupServers.values();
    const [state] = host!.dispatcher.states;
    expect(alone).toBeGreaterThan(0);
    expect(state!.reservations.heldTokens).toBeLessThanOrEqual(
      MEMORY_TOKENS / 3,
    );
  });

  it("leaves a dispatcher that accepts messages but is frozen", async () => {
    const zone = await createZone();
    zone.owner.clock.freeze();
    const asked = zone.acquire(zone.others[0]!);
    await zone.clock.advanceAsync(500);
    expect(asked.grant).toBeUndefined();
    await zone.clock.advanceAsync(2_000);
    expect(asked.grant).toBeDefined();
    zone.owner.clock.thaw();
    await zone.clock.advanceAsync(3_000);
    const [host] = zone.owner.dispatcher.groupServers.values();
    expect(host!.dispatcher.runningCount).toBeLessThanOrEqual(1);
  });

  it("refuses at the deadline of a request at another daemon", async () => {
    const zone = await createZone();
    const [entry] = zone.others;
    for (let count = 0; count < 40; count++) zone.acquire(entry!);
    const late = zone.acquire(entry!, {
      deadlineMs: zone.clock.nowMs() + 500,
    });
    await zone.clock.advanceAsync(1_000);
    expect(late.refusal?.reason).toBe("deadline");
  });
});
