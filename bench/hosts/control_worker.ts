/** A worker process that runs the control parts of several daemons. */

import { createHasher } from "../../src/base/common/hasher.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { asId } from "../../src/base/common/ids.ts";
import type { PeerAddress } from "../../src/services/peers/common/peer_links.ts";
import { ControlPart } from "./control_part.ts";
import type { WorkerCommand, WorkerReport } from "./worker_messages.ts";

const BYTES_PER_MB = 1_048_576;
const US_PER_MS = 1_000;

const parts = new Map<ControlPart, Address>();

function report(message: WorkerReport): void {
  process.send?.(message);
}

async function start(
  command: Extract<WorkerCommand, { kind: "start" }>,
): Promise<void> {
  const hasher = await createHasher();
  const peers: PeerAddress[] = [];
  for (const name of command.names) {
    const part = new ControlPart(name, hasher, command.store);
    const address = await part.listen();
    parts.set(part, address);
    follow(part);
    const { host, zone } = name;
    peers.push({ host: asId(host), zone: asId(zone), address });
  }
  report({ kind: "listening", peers });
}

function follow(part: ControlPart): void {
  const { host } = part.name;
  part.table.onDidChangeConfiguration(({ revision }) =>
    report({ kind: "in-force", host, revision, atMs: Date.now() })
  );
  let known = new Set<string>();
  part.membership.onDidChangeMembers(() => {
    const present = new Set<string>(
      part.membership.members().map((member) => member.host),
    );
    for (const gone of known) {
      if (present.has(gone)) continue;
      report({ kind: "removed", by: host, host: gone, atMs: Date.now() });
    }
    known = present;
  });
}

function sample(): void {
  const cpu = process.cpuUsage();
  let [links, messages, bytes, fewestMembers] = [0, 0, 0, Infinity];
  for (const part of parts.keys()) {
    const traffic = part.links.traffic();
    links += part.links.connectedHosts().length;
    messages += traffic.messagesSent + traffic.messagesReceived;
    bytes += traffic.bytesSent + traffic.bytesReceived;
    const { length } = part.membership.members();
    fewestMembers = Math.min(fewestMembers, length);
  }
  report({
    kind: "sample",
    atMs: performance.now(),
    cpuMs: (cpu.user + cpu.system) / US_PER_MS,
    rssMb: process.memoryUsage().rss / BYTES_PER_MB,
    daemons: parts.size,
    links,
    messages,
    bytes,
    fewestMembers,
  });
}

process.on("message", (command: WorkerCommand) => {
  switch (command.kind) {
    case "start":
      void start(command);
      return;
    case "join":
      for (const [part, address] of parts) part.join(address, command.seeds);
      return;
    case "sample":
      sample();
      return;
    case "kill":
      for (const part of [...parts.keys()]) {
        if (part.name.host !== command.host) continue;
        parts.delete(part);
        part.dispose();
      }
      return;
  }
});
process.on("disconnect", () => process.exit());
