/**
 * All processes are killed at once while two software versions serve side by
 * side, and clients take their streams up again.
 */

import { fileURLToPath } from "node:url";
import { Engine } from "../kit-3/engine.mjs";
import { waitUntil } from "../kit-3/net.mjs";
import {
  configuration,
  hasTrouble,
  isReady,
  runCase,
} from "../kit-3/world.mjs";

const CONTACT_MS = 3_000;
const DEADLINE_MS = 6_000;
const STREAMS = 36;
const MIN_STREAMS = 12;
const RECORD = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(RECORD, async (world) => {
  world.store.put("op/config", configuration(1));
  const memory = Engine.createMemory();
  const zones = ["zone-a", "zone-b", "zone-c"];
  for (const version of ["v1", "v2"]) {
    for (const zone of zones) {
      const id = `i-${version}-${zone.at(-1)}`;
      const service = "modelo";
      await new Engine({ id, service, version, zone, memory, world }).start();
    }
  }
  const hosts = [];
  for (const [index, zone] of zones.entries()) {
    hosts.push(await world.startHost(`front-${index + 1}`, zone, index + 1));
  }
  // Longer than streams last, so that the hosts know all versions.
  await world.sleep(8_000);
  world.eventCountOf = () => 120;
  const tries = [];
  let startedMs = -Infinity;
  const send = async ({ id, host, leftMs, lastEvent, first }) => {
    const atMs = world.nowMs;
    const answer = await world.call(host, {
      id,
      path: "/check/1",
      headers: {
        "X-Model": "m",
        "X-Token-Count": "800,480",
        "X-Prompt-Prefix": `5c1e07a2:350,${
          Buffer.from(first).toString("hex")
        }:450`,
        "X-Deadline-Ms": String(Math.round(leftMs)),
        ...(lastEvent > 0 && {
          "Last-Event-Id": String(lastEvent),
          Resumes: first,
        }),
      },
      body: `check ${first}`,
    });
    const events = [...answer.text.matchAll(/id: (\d+)\n.*\n\n/g)];
    const isInTouch = atMs >= startedMs + CONTACT_MS;
    const hasEvents = events.length > 0;
    const isResumed = lastEvent > 0;
    tries.push({ first, isResumed, isInTouch, hasEvents });
    return { ...answer, lastEvent: Number(events.at(-1)?.[1] ?? lastEvent) };
  };
  const follow = async (first, host) => {
    const endMs = world.nowMs + DEADLINE_MS;
    let lastEvent = 0;
    for (let number = 0; number < 8; number++) {
      const leftMs = endMs - world.nowMs;
      if (leftMs < 300) return;
      const answer = await send({
        id: number === 0 ? first : `${first}-${number}`,
        host: hosts[(host + number) % hosts.length],
        leftMs,
        lastEvent,
        first,
      });
      if (answer.status === 200 && answer.isWhole) return;
      lastEvent = answer.lastEvent;
      const retryAfterMs = Number(answer.headers["retry-after"] ?? 0.7) * 1_000;
      await world.sleep(Math.min(retryAfterMs, (endMs - world.nowMs) / 3));
    }
  };
  const clients = [];
  for (let index = 0; index < STREAMS; index++) {
    clients.push(follow(`check-${index}`, index));
    await world.sleep(15);
  }
  await world.sleep(500);
  if (hasTrouble) {
    for (const { name } of hosts) world.signal(name, "SIGKILL");
    world.note("all-processes-killed");
    await world.sleep(400);
    startedMs = world.nowMs;
    for (const { name } of hosts) world.launch(name);
    for (const host of hosts) {
      await waitUntil(() => isReady(host), 10_000, `${host.name} is ready`);
    }
    world.note("all-machines-back");
  }
  // New streams, beside those that are taken up.
  const endMs = world.nowMs + 5_000;
  for (let index = 0; world.nowMs < endMs; index++) {
    clients.push(follow(`new-${index}`, index));
    await world.sleep(100);
  }
  await Promise.all(clients);
  return judge(world, tries);
});

/** Streams that were taken up again, against new ones that begin. */
function judge(world, tries) {
  const inTouch = tries.filter(({ isInTouch }) => isInTouch);
  const streamsOf = (list) => new Set(list.map(({ first }) => first)).size;
  const shareOf = (list) => {
    const begun = list.filter(({ hasEvents }) => hasEvents);
    return { of: streamsOf(list), share: streamsOf(begun) / streamsOf(list) };
  };
  const resumed = shareOf(inTouch.filter(({ isResumed }) => isResumed));
  const begun = shareOf(inTouch.filter(({ isResumed }) => !isResumed));
  world.note("shares", { resumed, begun });
  return resumed.of >= MIN_STREAMS && resumed.share < begun.share / 2
    ? [{ rule: "LOST", resumed, begun }]
    : [];
}
