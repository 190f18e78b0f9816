/**
 * DRAIN: the open connections to the platform's store fall silent while new ones
 * work. Just then a replica is taken away that never reports that it drains.
 */

import { hasTrouble, runCase, watchPauses } from "../kit-2/case.mjs";
import { Client, Entry } from "../kit-2/entry.mjs";
import { BOUNDS, Fleet, freePort, wait } from "../kit-2/fleet.mjs";
import { Proxy } from "../kit-2/proxy.mjs";
import { Store } from "../kit-2/store.mjs";
import { answerCall, configuration, Replica } from "../kit-2/wire.mjs";

const ZONES = ["sala-bogota", "sala-tunja", "sala-ibague"];
const CLIENTS = 30;
const MAX_PAUSE_MS = 250;
/** The replica goes on serving for drain-ms "and a little longer". */
const SERVES_ON_MS = 8_000;

await runCase(import.meta.url, async (record) => {
  const store = new Store();
  const [storePort, proxyPort] = [await freePort(), await freePort()];
  await store.listen("127.0.0.1", storePort);
  const proxy = new Proxy("127.0.0.1", storePort);
  await proxy.listen("127.0.0.1", proxyPort);
  store.put("op/config", configuration(3));
  const replicas = [];
  for (const zone of ZONES) {
    const replica = new Replica({
      service: "portal",
      zone,
      slots: 6,
      run: answerCall,
    });
    await replica.listen("127.0.0.1", 0);
    replica.register(store);
    replicas.push(replica);
  }
  const fleet = new Fleet(`127.0.0.1:${proxyPort}`, ZONES);
  for (const zone of ZONES) await fleet.start(`front-${zone}-1`, zone);
  await wait(3_000);
  const entry = new Entry(fleet);
  const results = [];
  let isOver = false;
  const clients = Array.from({ length: CLIENTS }, async (_none, index) => {
    const client = new Client(index, entry);
    while (!isOver) {
      results.push(await client.send("/plantilla/file", { deadlineMs: 1_500 }));
      await wait(150 + 10 * (index % 10));
    }
    client.leave();
  });
  await wait(5_000);

  const longestPauseMs = watchPauses();
  // The watches of all daemons go on together after a change.
  store.put("op/config", configuration(4));
  record("the operator writes version 4");
  await wait(50);
  const silentMs = performance.now();
  if (hasTrouble) {
    record(
      `${proxy.openCount} open connections to the store fall silent; new ones work`,
    );
    proxy.silence();
  }
  await wait(100);
  const [leaving] = replicas;
  store.remove(`servers/${leaving.id}`);
  const acknowledgedMs = performance.now();
  record(
    `the entry of ${leaving.id} is removed; it serves on for ${SERVES_ON_MS} ms`,
  );
  await wait(SERVES_ON_MS);
  isOver = true;
  await Promise.race([Promise.all(clients), wait(3_000)]);
  entry.stop();
  if (longestPauseMs() > MAX_PAUSE_MS) {
    throw new Error(
      `the machine was too busy: a pause of ${Math.round(longestPauseMs())} ms`,
    );
  }

  const dueMs = Math.max(
    acknowledgedMs + BOUNDS["drain-ms"],
    // All machines count as in touch again from then.
    hasTrouble ? silentMs + BOUNDS["contact-ms"] : 0,
  );
  const late = leaving.runs.filter(({ atMs }) => atMs > dueMs);
  for (const { atMs, headers, id } of late) {
    record(
      `${id} reaches ${leaving.id} ${
        Math.round(atMs - acknowledgedMs)
      } ms after the acknowledgement, ` +
        `${Math.round(atMs - silentMs)} ms after the silence, X-Deadline-Ms ${
          headers["x-deadline-ms"]
        }`,
    );
  }
  const last = Math.max(...leaving.runs.map(({ atMs }) => atMs));
  const served = results.filter(({ status }) => status === 200).length;
  record(
    `sent ${results.length}, 200: ${served}; the last request reached ${leaving.id} ` +
      `${Math.round(last - acknowledgedMs)} ms after the acknowledgement`,
  );
  for (const { log, name } of fleet.daemons) {
    for (const line of log.split("\n")) {
      if (
        /"(store-lost|store-listed|endpoint-lapsed|endpoint-leaving)"/.test(
          line,
        )
      ) record(`${name}: ${line.slice(0, 300)}`);
    }
  }
  return {
    isBroken: late.length > 0,
    text:
      `${late.length} requests reached a replica that had gone later than drain-ms, from machines in touch`,
  };
});
