import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  WorkspaceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import {
  Fleet,
  STREAM_SERVICE,
  STREAM_TIMEOUT_MS,
} from "./in_process_fleet.ts";

const SERVICE = STREAM_SERVICE;
const WORKSPACE = "w" as WorkspaceId;
const STREAMS_PER_HOST_AND_S = 1;
const CHANNEL = "stream-versions.v1";
/** Channel that earlier builds do not have. */
const HISTORY_CHANNEL = "software-versions.v1";
/** Time after which an endpoint that drains is forgotten. */
const RETENTION_MS = 15_100;

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

  function announce(
    id: string,
    softwareVersion: string,
    at: readonly HostId[] = hosts(),
  ): void {
    for (const host of at) {
      fleet.daemons.get(host)!.registry.announce({
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

  async function removeEndpoint(id: string): Promise<void> {
    for (const { registry } of fleet.daemons.values()) {
      registry.markDraining(id as EndpointId, "draining");
    }
    await fleet.advance(RETENTION_MS);
    for (const { registry } of fleet.daemons.values()) registry.expirePhases();
  }

  /** Versions that a host takes for those of the current streams. */
  const versionsAt = (host: HostId) => {
    const { history } = fleet.daemons.get(host)!.streamVersions;
    const versions = history.currentVersions(SERVICE);
    return versions && [...versions].sort();
  };

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

  // Guards against hosts that cannot tell a stream of the one version that they
  // see from one of a version that they have not seen.
  it("reach all hosts while there is one version, and are sent once", async () => {
    const served = hosts()[5]!;
    begin(served, "first");
    await fleet.advance(200);
    expect(hostsKnowing("first")).toBe(90);
    const sent = messagesReceived();
    announce("e2", "v2");
    await fleet.advance(1_000);
    expect(messagesReceived()).toBe(sent);
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

  it.each([["one version serves", ["v1"]], ["two versions serve", ["v2"]]])(
    "cost a host few messages and bytes while %s",
    async (_when, [softwareVersion]) => {
      announce("e2", softwareVersion!);
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
    },
  );

  // Guards against a host that takes the old view of a peer for a current one.
  it("have unknown versions at a host that starts beside peers with an old view", async () => {
    for (const host of hosts()) fleet.hostsWithOldView.add(host);
    await fleet.advance(4_000);
    const started = hosts().at(-1)!;
    fleet.kill(started);
    fleet.hostsWithOldView.delete(started);
    fleet.restart(started);
    announce("e1", "v1", [started]);
    await fleet.advance(1_000);
    expect(versionsAt(started)).toBeUndefined();
  });

  // Guards against hosts that take the version they see after their start for
  // the only one there was.
  it("of the former version are known at hosts that start one after the other after it left", async () => {
    announce("e2", "v2");
    begin(hosts()[5]!, "first", 30_000);
    await fleet.advance(200);
    await removeEndpoint("e1");
    announce("e3", "v2");
    const restarted = hosts().slice(10, 13);
    for (const host of restarted) {
      fleet.kill(host);
      await fleet.advance(500);
      fleet.restart(host);
      announce("e2", "v2", [host]);
      await fleet.advance(1_000);
    }
    expect(hostsKnowing("first")).toBe(90);
    expect(restarted.map(versionsAt)).toEqual(
      restarted.map(() => ["v1", "v2"]),
    );
    // Only as long as streams of the former version may last.
    await fleet.advance(STREAM_TIMEOUT_MS - 4_000);
    expect(restarted.map(versionsAt)).toEqual(restarted.map(() => ["v2"]));
  });

  it("begin at one version for a host that starts much later", async () => {
    announce("e2", "v2");
    await removeEndpoint("e1");
    await fleet.advance(STREAM_TIMEOUT_MS);
    const started = hosts().at(-1)!;
    fleet.kill(started);
    fleet.restart(started);
    announce("e2", "v2", [started]);
    expect(versionsAt(started)).toBeUndefined();
    // As an entry in the store that was written before the version left.
    fleet.daemons.get(started)!.streamVersions.history.learnStored(
      SERVICE,
      ["v1", "v2"],
    );
    expect(versionsAt(started)).toEqual(["v1", "v2"]);
    await fleet.advance(1_000);
    expect(versionsAt(started)).toEqual(["v2"]);
  });

  it("have unknown versions after all hosts started again, until streams of before are over", async () => {
    const all = hosts();
    for (const host of all) fleet.kill(host);
    for (const host of all) fleet.restart(host);
    announce("e2", "v2");
    await fleet.advance(3_000);
    expect(new Set(all.map(versionsAt))).toEqual(new Set([undefined]));
    await fleet.advance(STREAM_TIMEOUT_MS);
    expect(all.map(versionsAt)).toEqual(all.map(() => ["v2"]));
  });

  describe("beside hosts of an earlier build", () => {
    async function restartAllEarlier(): Promise<void> {
      const all = hosts();
      for (const host of all) fleet.kill(host);
      for (const host of all) fleet.restart(host, [HISTORY_CHANNEL]);
      announce("e1", "v1");
      await fleet.advance(3_000);
    }

    async function restartNewest(): Promise<HostId> {
      const started = hosts().at(-1)!;
      fleet.kill(started);
      fleet.restart(started);
      announce("e2", "v2", [started]);
      await fleet.advance(1_000);
      return started;
    }

    it("are taken from those hosts, which report streams of mixed services only", async () => {
      await restartAllEarlier();
      await fleet.advance(10_000);
      announce("e2", "v2");
      begin(hosts()[5]!, "first");
      await fleet.advance(200);
      const started = await restartNewest();
      expect(hostsKnowing("first")).toBe(90);
      expect(versionsAt(started)).toEqual(["v2"]);
    });

    it("stay unknown if those hosts have only just started, too", async () => {
      await restartAllEarlier();
      const started = await restartNewest();
      expect(versionsAt(started)).toBeUndefined();
    });
  });
});
