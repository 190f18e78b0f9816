/**
 * LOST: another writer leaves one entry under the replicas' keys of the store.
 * Its address is text that is no address; all its other fields are sound.
 */

import { hasTrouble, runCase } from "../kit-2/case.mjs";
import { Client, Entry, restartEnded } from "../kit-2/entry.mjs";
import { Fleet, freePort, wait } from "../kit-2/fleet.mjs";
import { Store } from "../kit-2/store.mjs";
import {
  answerCall,
  configuration,
  readBody,
  Replica,
} from "../kit-2/wire.mjs";

const ZONES = ["sala-bogota", "sala-tunja", "sala-ibague"];
/** Clients that keep their connections, as on the sheet of piel-ruta. */
const CLIENTS = 46;
/** Each part of the number is padded to three digits. */
const PADDED_ADDRESS = "127.000.000.089:8601";
const CALM_MS = 5_000;
const TROUBLE_MS = 25_000;
const RESTART_DELAY_MS = 1_000;
/** LOST allows three. */
const ALLOWED_LOST = 3;
/** "Fault": ends of a process by itself, and machines on which they count. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;

/** A stream whose first event comes after the prompt has been read. */
async function answerDraft({ replica, request, response, run }) {
  if (!await readBody(request, run)) return;
  await wait(600);
  response.writeHead(200, {
    ...replica.head(run.id),
    "Content-Type": "text/event-stream",
  });
  for (let event = 1; event <= 10 && !response.destroyed; event++) {
    response.write(`id: ${event}\ndata: ${"x".repeat(200)}\n\n`);
    await wait(20);
  }
  response.end();
}

await runCase(import.meta.url, async (record) => {
  const store = new Store();
  const storePort = await freePort();
  await store.listen("127.0.0.1", storePort);
  store.put("op/config", configuration(3));
  const replicas = [];
  for (const zone of ZONES) {
    for (
      const [service, slots, run] of [["taller", 24, answerDraft], [
        "portal",
        6,
        answerCall,
      ]]
    ) {
      const replica = new Replica({ service, zone, slots, run });
      await replica.listen("127.0.0.1", 0);
      replica.register(store);
      replicas.push(replica);
    }
  }
  const fleet = new Fleet(`127.0.0.1:${storePort}`, ZONES);
  for (const zone of ZONES) await fleet.start(`front-${zone}-1`, zone);
  await wait(2_000);
  const entry = new Entry(fleet);
  const ends = new Map();
  const watcher = restartEnded(
    fleet,
    RESTART_DELAY_MS,
    (daemon, { code, signal }) => {
      ends.set(daemon.name, (ends.get(daemon.name) ?? 0) + 1);
      const cause = /^(\w*Error[^\n]*)/m.exec(daemon.log)?.[1];
      daemon.log = "";
      record(
        `${daemon.name} has ended by itself: code ${code}, signal ${signal}; ${cause}`,
      );
    },
  );

  const results = [];
  let isOver = false;
  const clients = Array.from({ length: CLIENTS }, async (_none, index) => {
    const client = new Client(index, entry);
    for (let count = index; !isOver; count++) {
      const result = count % 2 === 0
        ? await client.send("/concepto/draft", {
          headers: { "X-Model": "m", "X-Token-Count": "600,40" },
        })
        : await client.send("/plantilla/file", { deadlineMs: 1_500 });
      results.push(result);
      await wait(result.status === 200 ? 250 : 500);
    }
    client.leave();
  });
  await wait(CALM_MS);
  if (hasTrouble) {
    const sample = JSON.parse(replicas[1].entry());
    const odd = { ...sample, address: PADDED_ADDRESS };
    store.put("servers/i-4f0d9a11c2", JSON.stringify(odd));
    record(`another writer puts servers/i-4f0d9a11c2: ${JSON.stringify(odd)}`);
  }
  await wait(TROUBLE_MS);
  isOver = true;
  await Promise.race([Promise.all(clients), wait(5_000)]);
  entry.stop();
  clearInterval(watcher);

  const runIds = new Set(
    replicas.flatMap(({ runs }) => runs.map(({ id }) => id)),
  );
  const lost = results.filter(({ bytes, error, id, isKept, status }) =>
    isKept && status === 0 && bytes === 0 && error === "ECONNRESET" &&
    runIds.has(id)
  );
  for (const { daemon, id, path, sentMs, endMs } of lost.slice(0, 40)) {
    record(
      `${id} ${path} ran at a replica, ${daemon} closed its kept connection without an answer after ${
        Math.round(endMs - sentMs)
      } ms`,
    );
  }
  const count = (test) => results.filter(test).length;
  record(
    `sent ${results.length}, ran ${runIds.size}, 200: ${
      count(({ status }) => status === 200)
    }, ` +
      `no answer: ${
        count(({ status }) => status === 0)
      }, refused connections: ${
        count(({ error }) => error === "ECONNREFUSED")
      }`,
  );
  const often = [...ends].filter(([, number]) => number >= FAULT_ENDS);
  const endsText = [...ends].map(([name, number]) =>
    `${name} ${number}`
  ).join(", ") || "none";
  const text =
    `${lost.length} requests from kept connections ran at sound replicas and got no answer (allowed ${ALLOWED_LOST}); ` +
    `processes ended by themselves: ${endsText} (Fault: ${often.length} machines three times or more, allowed ${
      FAULT_MACHINES - 1
    })`;
  return {
    isBroken: lost.length > ALLOWED_LOST || often.length >= FAULT_MACHINES,
    text,
  };
});
