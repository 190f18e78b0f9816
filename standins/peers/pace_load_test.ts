import { ManualClock } from "../../src/base/common/clock.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { NOOP_DISPOSABLE } from "../../src/base/common/lifecycle.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { EndpointPaces } from "../../src/features/gateway/common/load/endpoint_pace.ts";
import {
  EndpointPaceSync,
  PACE_CHANNEL,
} from "../../src/features/gateway/common/load/endpoint_pace_sync.ts";
import { LOAD_CHANNEL } from "../../src/features/gateway/common/load/load_message.ts";
import { LoadTable } from "../../src/features/gateway/common/load/load_table.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { InProcessNetwork } from "./in_process_links.ts";

const ENDPOINTS = 5;
const USUAL_MS = 36;
/** Each leaf with its hub. */
const HUB_OF: Readonly<Record<string, string>> = {
  "leaf-a": "hub-a",
  "leaf-b": "hub-b",
};
const HUBS = ["hub-a", "hub-b"] as HostId[];
const HOSTS = [...HUBS, ...Object.keys(HUB_OF)] as HostId[];

describe("learned speeds for the load of other hosts", () => {
  let clock: ManualClock;
  let network: InProcessNetwork;
  let hosts: Map<HostId, ReturnType<typeof start>>;

  beforeEach(() => {
    clock = new ManualClock();
    network = new InProcessNetwork();
    hosts = new Map(HOSTS.map((host) => [host, start(host)]));
  });

  function start(host: HostId) {
    const links = network.addHost(host, clock);
    links.measuredChannel = PACE_CHANNEL.name;
    const registry = new EndpointRegistry(clock, NOOP_LOGGER);
    for (let number = 1; number <= ENDPOINTS; number++) {
      registry.announce({
        id: `llm-${number}` as EndpointId,
        service: "llm" as ServiceId,
        address: `10.0.0.${number}:80` as Address,
        zone: "zone-a" as ZoneName,
        slots: 24,
        bornMs: 1,
        isDraining: false,
        warmUpRemainingMs: 0,
      });
    }
    const home = HUB_OF[host] as HostId | undefined;
    const otherHubs = HUBS.filter((hub) => hub !== host);
    const leaves = HOSTS.filter((leaf) => HUB_OF[leaf] === host);
    const paces = new EndpointPaces(clock, new LoadTable(clock));
    new EndpointPaceSync({
      clock,
      links,
      overlay: {
        onDidChangeHomeHub: () => NOOP_DISPOSABLE,
        isHub: home === undefined,
        homeHub: () => home,
        zoneHubFor: () => home ?? host,
        linkedHubs: () => home === undefined ? otherHubs : [home],
        linkedLeaves: () => leaves,
      },
      paces,
      registry,
    });
    const peers = home === undefined ? [...otherHubs, ...leaves] : [home];
    links.setPeers(peers.map((peer) => ({
      host: peer,
      zone: "zone-a" as ZoneName,
      address: "127.0.0.1:1" as Address,
    })));
    return { links, paces, registry };
  }

  /** Lets a leaf run streams on all endpoints, of which the first may be slow. */
  async function stream(durationMs: number, firstMs: number): Promise<void> {
    const { paces, registry } = hosts.get("leaf-a" as HostId)!;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      for (const endpoint of registry.all) {
        const isFirst = endpoint.id === "llm-1";
        paces.recordEventTime(endpoint, isFirst ? firstMs : USUAL_MS, 0);
      }
      await clock.advanceAsync(100);
    }
  }

  function relativeTimes(): number[] {
    return [...hosts.values()].map(({ paces, registry }) =>
      paces.relativeTime(registry.get("llm-1" as EndpointId)!)
    );
  }

  function messagesReceived(): number {
    return [...hosts.values()].reduce(
      (sum, { links }) =>
        sum + (links.traffic().channels.get(PACE_CHANNEL.name)
          ?.messagesReceived ?? 0),
      0,
    );
  }

  it("reach the hubs and the leaves of other hubs, and return to usual", async () => {
    await stream(2_000, USUAL_MS);
    expect(relativeTimes()).toEqual([1, 1, 1, 1]);
    await stream(2_000, 3 * USUAL_MS);
    for (const time of relativeTimes()) expect(time).toBeCloseTo(3, 1);
    await stream(2_000, USUAL_MS);
    expect(relativeTimes()).toEqual([1, 1, 1, 1]);
  });

  it("tell all hosts that the endpoints report a pace, so that they use small ones", async () => {
    const { paces, registry } = hosts.get("leaf-a" as HostId)!;
    const load = { running: 1, waiting: 0, slots: 24, pacePercent: 100 };
    paces.recordLoad(registry.get("llm-2" as EndpointId)!, load);
    await stream(2_000, 1.4 * USUAL_MS);
    for (const time of relativeTimes()) expect(time).toBeCloseTo(1.4, 1);
  });

  // Bytes between zones are expensive.
  it("are sent only once while they do not change", async () => {
    await stream(2_000, USUAL_MS);
    const before = messagesReceived();
    await stream(10_000, 1.1 * USUAL_MS);
    expect(messagesReceived()).toBe(before);
  });

  it("are repeated for a host whose link comes up later", async () => {
    network.cut("hub-a" as HostId, "hub-b" as HostId);
    await stream(3_000, 3 * USUAL_MS);
    expect(relativeTimes().filter((time) => time === 1)).toHaveLength(2);
    network.heal();
    await stream(1_500, 3 * USUAL_MS);
    expect(relativeTimes().filter((time) => time === 1)).toHaveLength(0);
  });

  it("are read with figures that a later version appends", () => {
    const row = ["llm-1", 1, "event", 3_600, 40, true];
    const expected = {
      endpoint: "llm-1",
      bornMs: 1,
      kind: "event",
      timeMs: 36,
      ageMs: 40,
      reportsPace: true,
    };
    expect(PACE_CHANNEL.decode([[row]]).extract()).toEqual([expected]);
    expect(PACE_CHANNEL.decode([[[...row, 7]], "more"]).extract())
      .toEqual([expected]);
  });

  it.each([
    [undefined],
    [[["llm-1"]]],
    [[["llm-1", 1, "event", 0, 0, true]]],
    [[["llm-1", 1, "other", 1, 0, true]]],
    [[["llm-1", 1, "event", 1, -1, true]]],
    [[["llm-1", 1, "event", 1, 0, 1]]],
  ])("are refused as malformed: %j", (rows) => {
    expect(PACE_CHANNEL.decode([rows]).isLeft()).toBe(true);
  });

  // Hosts of earlier builds reject rows of another length.
  it("leave the messages of the load table in their older form", () => {
    const encoded = [false, [["host-1", 7, true, [["llm-1", 1, 20, 3, 4]]]]];
    const message = LOAD_CHANNEL.decode(encoded).unsafeCoerce();
    expect(message.groups[0]!.rows).toEqual([{
      endpoint: "llm-1",
      runs: 1,
      memoryTokens: 20,
      pendingPrefillTokens: 3,
      backupTokens: 4,
    }]);
    expect(LOAD_CHANNEL.encode!(message)).toEqual(encoded);
  });
});
