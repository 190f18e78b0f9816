/**
 * A part of prompts crashes replicas. The machine of the first one goes dark;
 * of the others, only the process ends.
 */

import { fileURLToPath } from "node:url";
import { Engine } from "../kit-3/engine.mjs";
import { configuration, hasTrouble, runCase } from "../kit-3/world.mjs";

const CONTACT_MS = 3_000;
const CRASHES_BEFORE = 5;
const MAX_REQUESTS = 3;
/** Time until a replica is back. */
const AWAY_MS = 3_000;
const PERIOD_MS = 1_500;
const TIMES = 24;
const RECORD = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(RECORD, async (world) => {
  world.store.put("op/config", configuration(1));
  const memory = Engine.createMemory();
  const badIds = new Set();
  const crashesMs = [];
  let incarnations = 0;
  const onBegin = ({ id, events, replica }) => {
    if (!hasTrouble || !badIds.has(id) || events > 1) return;
    crashesMs.push(world.nowMs);
    const isFirst = crashesMs.length === 1;
    world.note("replica-crashes", { replica: replica.id, id, isFirst });
    const next = `i-${replica.id.split("-")[1]}-${++incarnations}`;
    setImmediate(() => {
      if (isFirst) void replica.losePower(AWAY_MS, next);
      else void replica.crash(AWAY_MS, next);
    });
  };
  const zones = ["zone-a", "zone-b", "zone-c"];
  for (let index = 0; index < 6; index++) {
    const id = `i-${index}`;
    const zone = zones[index % 3];
    const service = "modelo";
    await new Engine({ id, service, zone, memory, world, onBegin }).start();
  }
  const hosts = [];
  for (const [index, zone] of zones.entries()) {
    hosts.push(await world.startHost(`front-${index + 1}`, zone, index + 1));
  }
  await world.sleep(4_000);
  world.eventCountOf = (id) => badIds.has(id) ? 60 : 30;
  let number = 0;
  const send = (id, host, part) =>
    world.call(hosts[host % hosts.length], {
      id,
      path: `/draft/${id}`,
      headers: {
        "X-Model": "m",
        "X-Token-Count": "800,400",
        "X-Prompt-Prefix": `5c1e07a2:79,${part}:300,${
          (4_096 + number++).toString(16)
        }:421`,
        "X-Deadline-Ms": "39000",
      },
      body: `brief of ${id}`,
      leaveAfterMs: 7_200,
    });
  const answers = [];
  for (let index = 0; index < TIMES; index++) {
    const id = `bad-${index}`;
    badIds.add(id);
    answers.push(send(`sound-${index}`, index + 1, "91bd3f06"));
    answers.push(send(id, index, "badbad01"));
    await world.sleep(PERIOD_MS);
  }
  await Promise.all(answers);
  const fifth = crashesMs[CRASHES_BEFORE - 1];
  const late = world.runs.filter(({ id, beginMs }) =>
    badIds.has(id) && beginMs > fifth + CONTACT_MS
  );
  world.note("seen", { crashes: crashesMs.length, late: late.length });
  if (late.length <= MAX_REQUESTS) return [];
  return late.map(({ id, replica, beginMs }) => ({
    rule: "BUDGET",
    id,
    replica,
    afterFifthMs: Math.round(beginMs - fifth),
  }));
});
