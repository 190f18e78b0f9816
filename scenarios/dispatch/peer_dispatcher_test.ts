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
  readonly membersEmitter = new Emitter<void>();
  readonly onDidChangeMembers = this.membersEmitter.event;
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
    // There are no other members to notify.
  }

  applyHostList(): void {
    // The test sets the members directly.
  }

  remove(host: HostId): void {
    this.#members = this.#members.filter((member) => member.host !== host);
    this.membersEmitter.fire();
  }
}

interface DispatchNode {
  readonly host: HostId;
  readonly clock: ProcessClock;
  readonly membership: FakeMembership;
  readonly dispatcher: PeerDispatcher;
}

class DispatchZone {
  readonly clock = new ManualClock();
  readonly network = new InProcessNetwork();
  readonly nodes: DispatchNode[];
  #requestCount = 0;

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

  get owner(): DispatchNode {
    return this.nodes.find(({ dispatcher }) =>
      dispatcher.groupServers.size > 0
    )!;
  }

  get nonOwners(): DispatchNode[] {
    const { owner } = this;
    return this.nodes.filter((node) => node !== owner);
  }

  acquire(
    node: DispatchNode,
    overrides: Partial<GrantRequest> = {},
  ): { grant?: Grant; refusal?: Refusal } {
    const result: { grant?: Grant; refusal?: Refusal } = {};
    void node.dispatcher.acquire({
      requestId: asId<RequestId>(`r${this.#requestCount++}`),
      service: SERVICE,
      workspace: asId<WorkspaceId>("team/w"),
      className: "concept",
      prompt: "x".repeat(400),
      maxTokens: 4_000,
      sizeBytes: 400,
      deadlineMs: undefined,
      excludedEndpoints: [],
      ...overrides,
    }, new AbortController().signal).then((answer) => {
      const grant = rightOf(answer);
      const refusal = leftOf(answer);
      if (grant) result.grant = grant;
      if (refusal) result.refusal = refusal;
    });
    return result;
  }

  kill(node: DispatchNode): void {
    node.clock.kill();
    node.dispatcher.dispose();
    this.network.removeHost(node.host);
    for (const otherNode of this.nodes) {
      if (otherNode !== node) otherNode.membership.remove(node.host);
    }
  }
}

describe("PeerDispatcher", () => {
  let hasher: Hasher;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  async function createZone(names = ["a", "b", "c"]): Promise<DispatchZone> {
    const zone = new DispatchZone(hasher, names);
    await zone.clock.advanceAsync(3_000);
    return zone;
  }

  it("grants requests of all daemons through one dispatcher per group", async () => {
    const zone = await createZone();
    expect(zone.nonOwners).toHaveLength(2);
    const requests = zone.nodes.map((node) => zone.acquire(node));
    await zone.clock.advanceAsync(50);
    const [server] = zone.owner.dispatcher.groupServers.values();
    expect(requests.every(({ grant }) => grant !== undefined)).toBe(true);
    expect(server!.dispatcher.runningCount).toBe(3);
    zone.nonOwners[0]!.dispatcher.reportProgress(requests[0]!.grant!.id, 100);
    zone.nodes.forEach(({ dispatcher }, index) =>
      dispatcher.release(requests[index]!.grant!.id, "completed", 100)
    );
    await zone.clock.advanceAsync(1_000);
    expect(server!.dispatcher.runningCount).toBe(0);
    expect(server!.dispatcher.states[0]!.reservations.heldTokens).toBe(0);
  });

  it("transfers queued requests and grants in use to a new dispatcher", async () => {
    const zone = await createZone();
    const [requester] = zone.nonOwners;
    const requests = Array.from({ length: 30 }, () => zone.acquire(requester!));
    await zone.clock.advanceAsync(100);
    const granted = requests.filter(({ grant }) => grant);
    expect(granted.length).toBeLessThan(30);
    zone.kill(zone.owner);
    await zone.clock.advanceAsync(3_000);
    const servers = zone.nodes
      .filter(({ clock }) => !clock.isKilled)
      .flatMap(({ dispatcher }) => [...dispatcher.groupServers.values()]);
    const [server] = servers.sort((left, right) =>
      right.dispatcher.runningCount - left.dispatcher.runningCount
    );
    expect(server!.dispatcher.runningCount).toBeGreaterThanOrEqual(
      granted.length,
    );
    expect(server!.dispatcher.runningCount + server!.dispatcher.queuedCount)
      .toBe(
        30,
      );
    for (const { grant } of granted) {
      requester!.dispatcher.release(grant!.id, "completed", 10);
    }
    await zone.clock.advanceAsync(100);
    const grantedAfterRelease = requests.filter(({ grant }) => grant);
    expect(grantedAfterRelease.length).toBeGreaterThan(granted.length);
  });

  it("admits requests locally within its share if the dispatcher is unreachable", async () => {
    const zone = await createZone();
    const { owner } = zone;
    const [requester] = zone.nonOwners;
    zone.network.cut(requester!.host, owner.host);
    const requests = Array.from({ length: 40 }, () => zone.acquire(requester!));
    await zone.clock.advanceAsync(2_000);
    const grantedLocally = requests.filter(({ grant }) => grant).length;
    const [server] = requester!.dispatcher.groupServers.values();
    const [state] = server!.dispatcher.states;
    expect(grantedLocally).toBeGreaterThan(0);
    expect(state!.reservations.heldTokens).toBeLessThanOrEqual(
      MEMORY_TOKENS / 3,
    );
  });

  it("replaces a dispatcher that accepts messages but does not respond", async () => {
    const zone = await createZone();
    zone.owner.clock.freeze();
    const request = zone.acquire(zone.nonOwners[0]!);
    await zone.clock.advanceAsync(500);
    expect(request.grant).toBeUndefined();
    await zone.clock.advanceAsync(2_000);
    expect(request.grant).toBeDefined();
    zone.owner.clock.thaw();
    await zone.clock.advanceAsync(3_000);
    const [server] = zone.owner.dispatcher.groupServers.values();
    expect(server!.dispatcher.runningCount).toBeLessThanOrEqual(1);
  });

  it("refuses a request queued at another daemon when its deadline passes", async () => {
    const zone = await createZone();
    const [requester] = zone.nonOwners;
    for (let count = 0; count < 40; count++) zone.acquire(requester!);
    const expiring = zone.acquire(requester!, {
      deadlineMs: zone.clock.nowMs() + 500,
    });
    await zone.clock.advanceAsync(1_000);
    expect(expiring.refusal?.reason).toBe("deadline");
  });
});
