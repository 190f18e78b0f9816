import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type { HostId, ServiceId } from "../../src/base/common/ids.ts";
import { Fleet } from "./in_process_fleet.ts";

const SERVICE = "llm" as ServiceId;
const VERSION = "v1";
const CONTACT_MS = 3_000;

describe("parts of prompts in a fleet of 90 hosts", () => {
  let hasher: Hasher;
  let fleet: Fleet;

  beforeAll(async () => {
    hasher = await createHasher();
  });

  beforeEach(async () => {
    fleet = new Fleet(hasher, 30);
    await fleet.advance(3_000);
  });

  const hosts = () => [...fleet.daemons.keys()];

  async function crash(host: HostId, endpoint: string, parts: string[]) {
    await fleet.advance(100);
    const nowMs = fleet.clock.nowMs();
    fleet.daemons.get(host)!.promptParts.recordCrash(SERVICE, parts, {
      endpoint,
      version: VERSION,
      atMs: nowMs,
      startedMs: nowMs - 50,
    });
  }

  function hostsAllowing(part: string): HostId[] {
    return [...fleet.daemons].filter(([, { promptParts }]) =>
      promptParts.verdictOn(SERVICE, [part], new Set([VERSION])).kind ===
        "allowed"
    ).map(([host]) => host);
  }

  it("are refused by all when each crash was seen by another host", async () => {
    const [first, second, third] = [hosts()[0], hosts()[40], hosts()[89]];
    await crash(first!, "e1", ["bad", "a"]);
    await crash(second!, "e2", ["bad", "b"]);
    await crash(third!, "e3", ["c", "bad"]);
    await fleet.advance(100);
    expect(hostsAllowing("bad")).toEqual([]);
    expect(hostsAllowing("a")).toHaveLength(90);
  });

  it("are allowed by all as soon as one host knows them to be sound", async () => {
    fleet.daemons.get(hosts()[50]!)!.promptParts.recordSound(
      SERVICE,
      VERSION,
      ["shared"],
    );
    for (const [index, endpoint] of ["e1", "e2", "e3", "e4"].entries()) {
      await crash(hosts()[index]!, endpoint, ["shared", "bad"]);
    }
    await fleet.advance(100);
    expect(hostsAllowing("shared")).toHaveLength(90);
    expect(hostsAllowing("bad")).toEqual([]);
  });

  it("are refused by a host that has just started", async () => {
    for (const endpoint of ["e1", "e2", "e3"]) {
      await crash(hosts()[0]!, endpoint, ["bad"]);
    }
    const started = hosts().at(-1)!;
    fleet.kill(started);
    await fleet.advance(1_000);
    fleet.restart(started);
    await fleet.advance(500);
    expect(hostsAllowing("bad")).toEqual([]);
  });

  it("are refused in a zone that was cut off once the cut has healed", async () => {
    const isInside = (host: HostId) => host.startsWith("zone-b");
    const inside = hosts().filter(isInside);
    const outside = hosts().filter((host) => !isInside(host));
    for (const left of inside) {
      for (const right of outside) {
        fleet.network.cut(left, right);
        fleet.network.cut(right, left);
      }
    }
    await crash(inside[0]!, "e1", ["bad"]);
    await crash(outside[0]!, "e2", ["bad"]);
    await crash(outside[5]!, "e3", ["bad"]);
    await fleet.advance(500);
    expect(hostsAllowing("bad").length).toBeGreaterThanOrEqual(30);
    fleet.network.heal();
    await fleet.advance(CONTACT_MS);
    expect(hostsAllowing("bad")).toEqual([]);
  });
});
