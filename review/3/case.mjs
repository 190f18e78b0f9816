/**
 * Hosts are restarted in turn. A host that stops closes the connections that
 * have become idle, and still passes on a request that crosses the close. It
 * runs, and its caller never gets an answer.
 */

import net from "node:net";
import {
  callHeaders,
  ClientConnection,
  createConfiguration,
  HAS_TROUBLE,
  newId,
  runCase,
  sleep,
  streamHeaders,
} from "../lib/world.mjs";

const KEY = "xd9dnn2ctnfzs989anu6";
const REPLICAS = 10;
const STREAMS = 180;
const ROUNDS = 2;
const GAP_MS = 170;
const EVENTS = 26;
/** One way between clients and hosts, as in SYSTEM.md. */
const LINK_DELAY_MS = 1;
/** Time over which the streams begin. */
const BEGIN_SPREAD_MS = 2_500;
const MAX_THINK_MS = 100;
const GRACE_MS = 8_000;
const CALL_MS = 40;

/** Passes bytes on after the delay of a link. */
function startLink(world, target) {
  const [host, port] = target.split(":");
  const pass = (from, to) => {
    from.on(
      "data",
      (chunk) =>
        setTimeout(() => to.writable && to.write(chunk), LINK_DELAY_MS),
    );
    from.on(
      "end",
      () => setTimeout(() => to.writable && to.end(), LINK_DELAY_MS),
    );
    from.on("error", () => to.destroy());
    from.on("close", () => setTimeout(() => to.destroy(), 4 * LINK_DELAY_MS));
  };
  const server = net.createServer(
    { allowHalfOpen: true, noDelay: true },
    (client) => {
      const upstream = net.connect({
        host,
        port: Number(port),
        noDelay: true,
        allowHalfOpen: true,
      });
      pass(client, upstream);
      pass(upstream, client);
    },
  );
  world.onClose(() => server.close());
  return new Promise((resolve) => {
    server.listen(0, world.ip(3), () => {
      resolve(`${world.ip(3)}:${server.address().port}`);
    });
  });
}

async function playClient(world, link) {
  await sleep(Math.random() * BEGIN_SPREAD_MS);
  const connection = new ClientConnection(link);
  await connection.opened;
  const first = await connection.request({
    path: "/draft/2f",
    headers: streamHeaders(newId(), 39_000, KEY),
  });
  if (!first.isComplete || !first.keepsConnection) {
    connection.close();
    return { isSent: false };
  }
  await sleep(Math.random() * MAX_THINK_MS);
  if (connection.isEnded) {
    connection.close();
    return { isSent: false };
  }
  const id = newId();
  const sentMs = world.nowMs();
  const answer = await connection.request({
    path: "/order/2f",
    headers: callHeaders(id, 1_500, KEY),
    body: "one",
  });
  const endedMs = world.nowMs();
  connection.close();
  return { isSent: true, id, sentMs, endedMs, answer };
}

runCase(import.meta.url, async (world) => {
  await world.start({
    configuration: createConfiguration(7, { keys: [KEY] }),
    daemonCount: 2,
    zone: "sala-bogota",
  });
  const zone = "sala-bogota";
  const plan = () => ({ events: EVENTS, gapMs: GAP_MS });
  for (let count = 0; count < REPLICAS; count++) {
    await world.addReplica({ service: "modelo", version: "v1", zone, plan });
  }
  const portals = [];
  for (let count = 0; count < 3; count++) {
    portals.push(
      await world.addReplica({
        service: "portal",
        version: "v1",
        zone,
        slots: 6,
        plan: () => ({ callMs: CALL_MS }),
      }),
    );
  }
  await sleep(1_500);
  const results = [];
  for (const daemon of world.daemons.slice(0, ROUNDS)) {
    const link = await startLink(world, daemon.front);
    const clients = Array.from(
      { length: STREAMS },
      () => playClient(world, link),
    );
    await sleep(BEGIN_SPREAD_MS - 500);
    if (HAS_TROUBLE) daemon.signal("SIGTERM");
    results.push(...await Promise.all(clients));
    if (HAS_TROUBLE) {
      await Promise.race([daemon.ended, sleep(GRACE_MS)]);
      if (daemon.isRunning) daemon.signal("SIGKILL");
      await daemon.ended;
      await sleep(800);
      daemon.start();
      await world.allReady();
      await sleep(1_000);
    }
  }
  const runs = new Map(
    portals.flatMap((portal) => portal.runs).map((run) => [run.id, run]),
  );
  const sent = results.filter(({ isSent }) => isSent);
  const answered = sent.filter(({ answer }) => answer.isComplete);
  const lost = sent.filter(({ id, answer }) =>
    runs.has(id) && !answer.isComplete
  );
  for (const { id, sentMs, endedMs } of lost) {
    const { replica, startMs, end } = runs.get(id);
    world.note(
      `lost: ${id} sent at ${sentMs} ms, run by ${replica} at ${startMs} ms ` +
        `(${end}), connection ended at ${endedMs} ms without an answer`,
    );
  }
  world.note(
    `${sent.length} calls sent, ${answered.length} answered, ` +
      `${sent.length - answered.length - lost.length} closed unread, ` +
      `${lost.length} passed on and never answered`,
  );
  return lost.length > 0;
});
