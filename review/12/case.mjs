/** Open connections to the replicas fall silent while streams run. */

import { fileURLToPath } from "node:url";
import { Engine } from "../kit-3/engine.mjs";
import { configuration, hasTrouble, runCase } from "../kit-3/world.mjs";

const CONTACT_MS = 3_000;
const OVERLAP_MS = 400;
const STREAMS = 16;
const RECORD = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(RECORD, async (world) => {
  world.store.put("op/config", configuration(1));
  const memory = Engine.createMemory();
  const engines = [];
  for (const [index, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
    const engine = new Engine({
      id: `i-${index + 1}`,
      service: "modelo",
      zone,
      memory,
      world,
    });
    await engine.start();
    engines.push(engine);
  }
  const hosts = [];
  for (const [index, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
    hosts.push(await world.startHost(`front-${index + 1}`, zone, index + 1));
  }
  await world.sleep(4_000);
  world.eventCountOf = () => 250;
  const answers = [];
  for (let index = 0; index < STREAMS; index++) {
    answers.push(world.call(hosts[index % hosts.length], {
      id: `draft-${index}`,
      path: "/draft/1",
      headers: {
        "X-Model": "m",
        "X-Token-Count": "800,1000",
        "X-Prompt-Prefix": `5c1e07a2:79,${(4_096 + index).toString(16)}:721`,
        "X-Deadline-Ms": "39000",
      },
      body: `brief ${index}`,
    }));
    await world.sleep(37);
  }
  await world.sleep(3_000);
  const silentMs = world.nowMs;
  if (hasTrouble) {
    const count = engines.map(({ proxy }) => proxy.silence());
    world.note("connections-silent", { count });
  }
  const results = await Promise.all(answers);
  const whole = results.filter(({ isWhole, status }) =>
    isWhole && status === 200
  ).length;
  world.note("streams", { whole, of: STREAMS });
  await world.sleep(300);
  return doubleRuns(world.runs, silentMs);
});

/** Runs that were still at work 400 ms after the next one of their request. */
function doubleRuns(runs, silentMs) {
  const broken = [];
  for (const next of runs) {
    for (const before of runs) {
      if (before.id !== next.id || before.beginMs >= next.beginMs) continue;
      const atMs = next.beginMs + OVERLAP_MS;
      const endMs = before.endMs ?? Infinity;
      if (endMs <= atMs) continue;
      // The hosts are in touch again `contact-ms` after the connections fell
      // silent, which counts as a reset of them.
      if (atMs < silentMs + CONTACT_MS) continue;
      broken.push({
        rule: "TWICE",
        id: next.id,
        before: before.replica,
        next: next.replica,
        nextBeganMs: Math.round(next.beginMs - silentMs),
        beforeEndedMs: Math.round(endMs - silentMs),
        how: before.how,
      });
    }
  }
  return broken;
}
