/**
 * The replicas of a service are replaced by a newer software version, and then
 * all daemons are killed and started again. Callers take up their broken
 * streams, which the older version began.
 */

import {
  ClientConnection,
  createConfiguration,
  eventsOf,
  HAS_TROUBLE,
  newId,
  runCase,
  sleep,
  streamHeaders,
  until,
} from "../lib/world.mjs";

const KEY = "xd9dnn2ctnfzs989anu6";
const STREAMS = 6;
const EVENTS = 60;
const GAP_MS = 170;
const DEADLINE_MS = 39_000;
const DRAIN_MS = 2_000;
const RESTART_DELAY_MS = 800;
const MAX_MIXED_STREAMS = 2;
const ZONE = "sala-bogota";
const SERVICE = "modelo";

/** One stream of a caller over all its tries. */
async function follow(world, number) {
  const endMs = world.nowMs() + DEADLINE_MS;
  const stream = { number, events: [], isComplete: false };
  let firstId;
  for (let attempt = 0; !stream.isComplete; attempt++) {
    const leftMs = endMs - world.nowMs();
    if (leftMs < 500) break;
    const daemon = world.daemons[(number + attempt) % world.daemons.length];
    const connection = new ClientConnection(daemon.front);
    if (!(await connection.opened)) {
      connection.close();
      await sleep(200);
      continue;
    }
    const id = newId();
    const last = stream.events.at(-1);
    const more = last
      ? { "Last-Event-Id": String(last.id), Resumes: firstId }
      : {};
    world.note(
      `stream ${number} sends ${id} to ${daemon.name}` +
        (last ? `, after event ${last.id}, resumes ${firstId}` : ""),
    );
    const answer = await connection.request({
      path: "/long/2f",
      headers: streamHeaders(id, leftMs, KEY, more),
    });
    connection.close();
    const events = eventsOf(answer.text);
    if (events.length > 0) firstId ??= id;
    stream.events.push(...events);
    stream.isComplete = answer.status === 200 && answer.isComplete;
    const versions = [...new Set(events.map(({ version }) => version))];
    world.note(
      `stream ${number} gets status ${answer.status}, ${events.length} ` +
        `events of ${versions.join("+") || "none"}, complete ${
          answer.isComplete && answer.status === 200
        }`,
    );
    const after = /^retry-after: *([\d.]+)/im.exec(answer.head ?? "");
    await sleep(after ? Number(after[1]) * 1_000 : 100);
  }
  return stream;
}

runCase(import.meta.url, async (world) => {
  const route = {
    name: "r-long",
    host: "ficu95.example",
    prefix: "/long/",
    kind: "stream",
    "timeout-ms": 39000,
    "slo-ms": 1800,
    priority: 1,
    service: SERVICE,
    "max-attempts": 2,
    public: false,
    sticky: true,
    resumable: true,
    "gap-aim-ms": 180,
  };
  await world.start({
    configuration: createConfiguration(7, { keys: [KEY], routes: [route] }),
    daemonCount: 3,
    zone: ZONE,
  });
  const plan = () => ({ events: EVENTS, gapMs: GAP_MS });
  const add = (version) =>
    world.addReplica({ service: SERVICE, version, zone: ZONE, plan });
  const old = [await add("v1"), await add("v1")];
  await sleep(1_500);
  const streams = Array.from(
    { length: STREAMS },
    (_, number) => follow(world, number),
  );
  await sleep(1_500);
  // Each is replaced by one that starts first. The old one serves on for
  // drain-ms and until its runs have ended.
  const leaving = old.map(async (replica, index) => {
    await sleep(index * 1_000);
    await add("v2");
    await sleep(500);
    world.note(`replica ${replica.id} drains`);
    replica.drain();
    await sleep(DRAIN_MS + 500);
    await until(() => replica.running === 0, 30_000, "the end of the runs");
    replica.stop();
    world.note(`replica ${replica.id} is gone`);
  });
  await sleep(5_000);
  if (HAS_TROUBLE) {
    for (const daemon of world.daemons) daemon.signal("SIGKILL");
    await Promise.all(world.daemons.map(({ ended }) => ended));
    await sleep(RESTART_DELAY_MS);
    for (const daemon of world.daemons) daemon.start();
  }
  const results = await Promise.all(streams);
  await Promise.all(leaving);
  const mixed = results.filter(({ events }) =>
    new Set(events.map(({ version }) => version)).size > 1
  );
  const begun = results.filter(({ events }) => events[0]?.version === "v1");
  world.note(
    `${begun.length} streams began at v1; ${mixed.length} streams hold ` +
      "events of two software versions",
  );
  if (begun.length < STREAMS) throw new Error("a stream did not begin at v1");
  return mixed.length > MAX_MIXED_STREAMS;
});
