/** Helpers of the stand-ins: ports, bodies, waiting. */

import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export const LOOPBACK = "127.0.0.1";

/** Listens on a port, by default a free one; returns it. */
export async function listen(server, ip = LOOPBACK, atPort = 0) {
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(atPort, ip, resolve);
  });
  return server.address().port;
}

/** Returns free ports of an address. */
export async function freePorts(ip, count) {
  const servers = [];
  const ports = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    ports.push(await listen(server, ip));
    servers.push(server);
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

export async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString("latin1");
}

export async function waitUntil(isDone, limitMs, what) {
  const endMs = performance.now() + limitMs;
  while (!await isDone()) {
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`);
    await sleep(20);
  }
}
