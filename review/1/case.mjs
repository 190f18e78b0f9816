/**
 * A replica crashes. Callers upload large bodies in chunks. The host that finds
 * the replica gone asks a peer to pass the request on, and then sends what is
 * left of the body to another replica, which runs it.
 */

import { randomBytes } from "node:crypto";
import {
  callHeaders,
  ClientConnection,
  createConfiguration,
  HAS_TROUBLE,
  hashOf,
  newId,
  runCase,
  sleep,
} from "../lib/world.mjs";

const KEY = "xd9dnn2ctnfzs989anu6";
const ZONE = "sala-bogota";
/** One that crashes is 0.17 of them, the largest share of srv_crash. */
const REPLICAS = 6;
const ROUNDS = 1;
const UPLOADS_PER_HOST = 12;
const BODY_BYTES = 1_200_000;
const CHUNK_BYTES = 32_768;
const DEADLINE_MS = 6_000;

async function upload(world, daemon) {
  const body = randomBytes(BODY_BYTES);
  const chunks = [];
  for (let start = 0; start < body.length; start += CHUNK_BYTES) {
    chunks.push(body.subarray(start, start + CHUNK_BYTES));
  }
  const id = newId();
  const sent = { id, hash: hashOf(body), daemon: daemon.name };
  const connection = new ClientConnection(daemon.front);
  if (!(await connection.opened)) throw new Error("no connection");
  const answer = await connection.request({
    path: "/upload/2f",
    headers: callHeaders(id, DEADLINE_MS, KEY),
    chunks,
  });
  connection.close();
  sent.status = answer.status;
  sent.text = answer.text.trim();
  return sent;
}

runCase(import.meta.url, async (world) => {
  const route = {
    name: "r-upload",
    host: "ficu95.example",
    prefix: "/upload/",
    kind: "non_idempotent",
    "timeout-ms": DEADLINE_MS,
    "slo-ms": 1_000,
    priority: 2,
    service: "portal",
    "max-attempts": 1,
    public: false,
  };
  await world.start({
    configuration: createConfiguration(7, { keys: [KEY], routes: [route] }),
    daemonCount: 3,
    zone: ZONE,
  });
  const add = () =>
    world.addReplica({
      service: "portal",
      zone: ZONE,
      slots: 6,
      plan: () => ({ callMs: 30 }),
    });
  const portals = [];
  for (let count = 0; count < REPLICAS; count++) portals.push(await add());
  await sleep(2_000);
  const results = [];
  for (let round = 0; round < ROUNDS; round++) {
    const target = portals.at(-1);
    if (HAS_TROUBLE) {
      world.note(`replica ${target.id} crashes`);
      target.crash();
    }
    const uploads = world.daemons.flatMap((daemon) =>
      Array.from({ length: UPLOADS_PER_HOST }, () => upload(world, daemon))
    );
    results.push(...await Promise.all(uploads));
    portals.push(await add());
    await sleep(5_000);
  }
  const runs = new Map();
  for (const run of portals.flatMap((portal) => portal.runs)) {
    runs.set(run.id, [...runs.get(run.id) ?? [], run]);
  }
  let changedCount = 0;
  for (const { id, hash, daemon, status, text } of results) {
    for (const run of runs.get(id) ?? []) {
      const isChanged = run.bodyHash !== hash;
      if (isChanged) changedCount++;
      world.note(
        `${id} by ${daemon}: sent ${BODY_BYTES} bytes ${hash}, replica ` +
          `${run.replica} ran it with ${run.bodyBytes} bytes ${run.bodyHash}` +
          `${isChanged ? " (changed)" : ""}; the caller has status ${status}`,
      );
    }
    if (!runs.has(id)) {
      world.note(`${id} by ${daemon}: not run, status ${status} (${text})`);
    }
  }
  world.note(
    `${results.length} uploads, ${changedCount} run with a changed body`,
  );
  return changedCount > 0;
});
