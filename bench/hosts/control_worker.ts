/**
 * Worker process that runs the control planes of several daemons. Follows the
 * commands of its parent and reports changes and samples to it.
 */

import { createHasher } from "../../src/base/common/hasher.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { asId } from "../../src/base/common/ids.ts";
import type { PeerAddress } from "../../src/services/peers/common/peer_links.ts";
import { ControlPlaneNode } from "./control_plane_node.ts";
import type { WorkerCommand, WorkerReport } from "./worker_messages.ts";

const BYTES_PER_MB = 1_048_576;
const US_PER_MS = 1_000;

const nodes = new Map<ControlPlaneNode, Address>();

function report(message: WorkerReport): void {
  process.send?.(message);
}

async function startDaemons(
  command: Extract<WorkerCommand, { kind: "start" }>,
): Promise<void> {
  const hasher = await createHasher();
  const peers: PeerAddress[] = [];
  for (const name of command.names) {
    const node = new ControlPlaneNode(name, hasher, command.store);
    const address = await node.listen();
    nodes.set(node, address);
    reportChanges(node);
    const { host, zone } = name;
    peers.push({ host: asId(host), zone: asId(zone), address });
  }
  report({ kind: "listening", peers });
}

function reportChanges(node: ControlPlaneNode): void {
  const { host } = node.name;
  node.table.onDidChangeConfiguration(({ revision }) =>
    report({ kind: "in-force", host, revision, atMs: Date.now() })
  );
  let previousHosts = new Set<string>();
  node.membership.onDidChangeMembers(() => {
    const currentHosts = new Set<string>(
      node.membership.members().map((member) => member.host),
    );
    for (const removedHost of previousHosts) {
      if (currentHosts.has(removedHost)) continue;
      report({
        kind: "removed",
        by: host,
        host: removedHost,
        atMs: Date.now(),
      });
    }
    previousHosts = currentHosts;
  });
}

function reportSample(): void {
  const cpu = process.cpuUsage();
  let [links, messages, bytes, fewestMembers] = [0, 0, 0, Infinity];
  for (const node of nodes.keys()) {
    const traffic = node.links.traffic();
    links += node.links.connectedHosts().length;
    messages += traffic.messagesSent + traffic.messagesReceived;
    bytes += traffic.bytesSent + traffic.bytesReceived;
    const { length } = node.membership.members();
    fewestMembers = Math.min(fewestMembers, length);
  }
  report({
    kind: "sample",
    atMs: performance.now(),
    cpuMs: (cpu.user + cpu.system) / US_PER_MS,
    rssMb: process.memoryUsage().rss / BYTES_PER_MB,
    daemons: nodes.size,
    links,
    messages,
    bytes,
    fewestMembers,
  });
}

process.on("message", (command: WorkerCommand) => {
  switch (command.kind) {
    case "start":
      void startDaemons(command);
      return;
    case "join":
      for (const [node, address] of nodes) node.join(address, command.seeds);
      return;
    case "sample":
      reportSample();
      return;
    case "kill":
      for (const node of [...nodes.keys()]) {
        if (node.name.host !== command.host) continue;
        nodes.delete(node);
        node.dispose();
      }
      return;
  }
});
process.on("disconnect", () => process.exit());
