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
import { LeavingMarks } from "../../src/features/gateway/common/endpoints/leaving_marks.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { InProcessNetwork } from "./in_process_links.ts";

const ENDPOINT = "llm-1" as EndpointId;
const HOSTS = ["host-1", "host-2"] as HostId[];

describe("marks of leaving endpoints", () => {
  let clock: ManualClock;
  let network: InProcessNetwork;

  beforeEach(() => {
    clock = new ManualClock();
    network = new InProcessNetwork();
  });

  function start(host: HostId) {
    const links = network.addHost(host, clock);
    const registry = new EndpointRegistry(clock, NOOP_LOGGER);
    const marks = new LeavingMarks(
      links,
      {
        onDidChangeHomeHub: () => NOOP_DISPOSABLE,
        isHub: true,
        homeHub: () => undefined,
        zoneHubFor: () => host,
        linkedHubs: () => links.connectedHosts(),
        linkedLeaves: () => [],
      },
      registry,
    );
    links.setPeers(
      HOSTS.filter((other) => other !== host).map((other) => ({
        host: other,
        zone: "zone-a" as ZoneName,
        address: "127.0.0.1:1" as Address,
      })),
    );
    return { links, marks, registry };
  }

  function announce(registry: EndpointRegistry, bornMs = 1): void {
    registry.announce({
      id: ENDPOINT,
      service: "llm" as ServiceId,
      address: "127.0.0.1:2" as Address,
      zone: "zone-a" as ZoneName,
      slots: 8,
      bornMs,
      isDraining: false,
      warmUpRemainingMs: 0,
    });
  }

  async function markOnFirst() {
    const first = start(HOSTS[0]!);
    announce(first.registry);
    first.marks.mark(first.registry.get(ENDPOINT)!, "answer");
    await clock.advanceAsync(10);
    return first;
  }

  it("reach a host whose link comes up later", async () => {
    await markOnFirst();
    const second = start(HOSTS[1]!);
    announce(second.registry);
    await clock.advanceAsync(100);
    expect(second.registry.get(ENDPOINT)!.isUsable).toBe(false);
  });

  it("reach a host that learns of the endpoint later", async () => {
    await markOnFirst();
    const second = start(HOSTS[1]!);
    await clock.advanceAsync(100);
    announce(second.registry);
    expect(second.registry.get(ENDPOINT)!.isUsable).toBe(false);
  });

  it("do not concern another process of the endpoint", async () => {
    await markOnFirst();
    const second = start(HOSTS[1]!);
    await clock.advanceAsync(100);
    announce(second.registry, 2);
    expect(second.registry.get(ENDPOINT)!.isUsable).toBe(true);
  });

  it("are not told again once the endpoint is forgotten", async () => {
    const first = await markOnFirst();
    await clock.advanceAsync(20_000);
    first.registry.expirePhases();
    const before = first.links.traffic().messagesSent;
    start(HOSTS[1]!);
    await clock.advanceAsync(100);
    expect(first.links.traffic().messagesSent).toBe(before);
  });
});
