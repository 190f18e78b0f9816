/**
 * A host that stops takes a resumable stream more than 3 s after SIGTERM on a
 * connection that it has kept open, and cuts it at the end of its drain.
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
} from "../lib/world.mjs";

const KEY = "xd9dnn2ctnfzs989anu6";
const CLIENTS = 4;
const GAP_MS = 170;
/** The first stream of each connection ends about 3.6 s after SIGTERM. */
const DRAFT_EVENTS = 30;
const CHECK_EVENTS = 30;
const CHECK_DEADLINE_MS = 6_000;
const GRACE_MS = 8_000;

runCase(import.meta.url, async (world) => {
  await world.start({
    configuration: createConfiguration(7, { keys: [KEY] }),
    daemonCount: 2,
    zone: "sala-bogota",
  });
  const plan = (request) => ({
    events: request.url.startsWith("/draft/") ? DRAFT_EVENTS : CHECK_EVENTS,
    gapMs: GAP_MS,
  });
  const replicas = [];
  for (let count = 0; count < 2; count++) {
    replicas.push(
      await world.addReplica({
        service: "modelo",
        version: "v1",
        zone: "sala-bogota",
        plan,
      }),
    );
  }
  await sleep(1_500);
  const [daemon] = world.daemons;
  let termMs;
  const clients = Array.from({ length: CLIENTS }, async (_, number) => {
    const connection = new ClientConnection(daemon.front);
    await connection.opened;
    const draft = newId();
    world.note(`client ${number} sends the first stream ${draft}`);
    const first = await connection.request({
      path: "/draft/2f",
      headers: streamHeaders(draft, 39_000, KEY),
    });
    world.note(
      `client ${number} has ${
        eventsOf(first.text).length
      } events of ${draft}, complete ${first.isComplete}, ` +
        `keeps the connection ${first.keepsConnection}`,
    );
    if (!first.isComplete || !first.keepsConnection || connection.isEnded) {
      return { isSent: false };
    }
    const check = newId();
    const sentMs = world.nowMs();
    world.note(`client ${number} sends the next stream ${check}`);
    const second = await connection.request({
      path: "/check/2f",
      headers: streamHeaders(check, CHECK_DEADLINE_MS, KEY),
    });
    const endedMs = world.nowMs();
    const events = eventsOf(second.text).length;
    world.note(
      `client ${number} has status ${second.status} and ${events} events of ` +
        `${check}, complete ${second.isComplete}, after ${endedMs - sentMs} ms`,
    );
    connection.close();
    const hasRun = replicas.some(({ runs }) =>
      runs.some(({ id }) => id === check)
    );
    return {
      isSent: true,
      sentMs,
      isBroken: hasRun && !second.isComplete &&
        endedMs - sentMs < CHECK_DEADLINE_MS - 200,
    };
  });
  await sleep(1_500);
  termMs = world.nowMs();
  if (HAS_TROUBLE) daemon.signal("SIGTERM");
  const results = await Promise.all(clients);
  if (HAS_TROUBLE) {
    await Promise.race([daemon.ended, sleep(GRACE_MS)]);
    if (daemon.isRunning) daemon.signal("SIGKILL");
  }
  const late = results.filter(({ isSent, sentMs }) =>
    isSent && sentMs - termMs > 3_000
  );
  const broken = late.filter(({ isBroken }) => isBroken);
  world.note(
    `${late.length} streams sent later than 3 s after ` +
      `${HAS_TROUBLE ? "SIGTERM" : "the moment without a signal"}; ` +
      `${broken.length} of them had run and ended without a complete answer`,
  );
  if (late.length === 0) throw new Error("no stream was sent in time");
  return broken.length > 0;
});
