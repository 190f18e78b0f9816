import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  WorkspaceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { Fleet } from "./in_process_fleet.ts";

const SERVICE = "llm" as ServiceId;
const WORKSPACE = "w" as WorkspaceId;
const STREAMS_PER_HOST_AND_S = 1;
const CHANNEL = "stream-versions.v1";

describe("versions of streams in a fleet of 90 hosts", () => {
  let hasher: Hasher;
  let fleet: Fleet;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  beforeEach(async () => {
    fleet = new Fleet(hasher, 30);
    for (const { links } of fleet.daemons.values()) {
      links.measuredChannel = CHANNEL;
    }
    announce("e1", "v1");
    await fleet.advance(3_000);
  });

  const hosts = () => [...fleet.daemons.keys()];

  function announce(id: string, softwareVersion: string): void {
    for (const { registry } of fleet.daemons.values()) {
      registry.announce({
        id: id as EndpointId,
        service: SERVICE,
        address: `127.0.0.1:${id.length}` as Address,
        zone: "zone-a" as ZoneName,
        softwareVersion,
        slots: 8,
        bornMs: 1,
        isDraining: false,
        warmUpRemainingMs: 0,
      });
    }
  }

  function begin(host: HostId, id: string, leftMs = 6_000): void {
    fleet.daemons.get(host)!.streamVersions.table.record({
      id,
      workspace: WORKSPACE,
      service: SERVICE,
      softwareVersion: "v1",
      expiresMs: fleet.clock.monotonicMs() + leftMs,
    });
  }

  const hostsKnowing = (id: string) =>
    [...fleet.daemons].filter(([, { streamVersions }]) =>
      streamVersions.table.versionOf({
        id,
        workspace: WORKSPACE,
        service: SERVICE,
      }) === "v1"
    ).length;

  const messagesReceived = () =>
    [...fleet.daemons.values()].reduce(
      (sum, { links }) =>
        sum + (links.traffic().channels.get(CHANNEL)?.messagesReceived ?? 0),
      0,
    );

  it("reach all hosts within 200 ms and outlive the host that served the stream", async () => {
    announce("e2", "v2");
    const served = hosts().at(-1)!;
    begin(served, "first");
    await fleet.advance(200);
    fleet.kill(served);
    expect(hostsKnowing("first")).toBe(89);
  });

  it("are sent once a second version appears, and not before", async () => {
    begin(hosts()[5]!, "first");
    await fleet.advance(500);
    expect(messagesReceived()).toBe(0);
    announce("e2", "v2");
    await fleet.advance(200);
    expect(hostsKnowing("first")).toBe(90);
  });

  it("reach a host that has just started, and are forgotten after the deadline", async () => {
    announce("e2", "v2");
    begin(hosts()[5]!, "first");
    await fleet.advance(200);
    const started = hosts().at(-1)!;
    fleet.kill(started);
    await fleet.advance(500);
    fleet.restart(started);
    await fleet.advance(500);
    expect(hostsKnowing("first")).toBe(90);
    await fleet.advance(6_000);
    expect(hostsKnowing("first")).toBe(0);
  });

  it("are not relayed for ever when they expire on the way", async () => {
    announce("e2", "v2");
    for (const leftMs of [20, 55, 105]) {
      begin(hosts()[5]!, `s${leftMs}`, leftMs);
    }
    await fleet.advance(1_000);
    const before = messagesReceived();
    await fleet.advance(1_000);
    expect(messagesReceived()).toBe(before);
  });

  it("cost a host few messages and bytes while two versions serve", async () => {
    announce("e2", "v2");
    await fleet.advance(100);
    const seconds = 5;
    for (let step = 0; step < seconds * 90 * STREAMS_PER_HOST_AND_S; step++) {
      begin(hosts()[step % 90]!, `00112233${step}aabbccdd`);
      await fleet.advance(1_000 / 90 / STREAMS_PER_HOST_AND_S);
    }
    const perHostAndS = messagesReceived() / 90 / seconds;
    const bytes = [...fleet.daemons.values()].reduce(
      (sum, { links }) =>
        sum + (links.traffic().channels.get(CHANNEL)?.bytesReceived ?? 0),
      0,
    );
    const bytesPerHostAndS = bytes / 90 / seconds;
    expect(perHostAndS).toBeGreaterThan(1);
    expect(perHostAndS).toBeLessThan(100);
    expect(bytesPerHostAndS).toBeLessThan(40_000);
  });
});
