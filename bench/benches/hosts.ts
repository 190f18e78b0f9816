/** What it costs the daemons to know of each other and of the configuration. */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "../../src/base/common/clock.ts";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { KvStore } from "../../standins/store/kv_store.ts";
import { createStoreServer } from "../../standins/store/store_server.ts";
import type { Bench, BenchOptions } from "../bench.ts";
import type { WorkerSample } from "../hosts/worker_messages.ts";
import { measureIdleMb, WorkerProcess } from "../hosts/worker_process.ts";

const SIZES = [8, 24, 57];
const OTHER_ZONES = 5;
const HOSTS_PER_OTHER_ZONE = 6;
const SHARED_WORKERS = 4;
const SETTLE_MS = 20_000;
const WINDOWS = 6;
const WINDOW_MS = 5_000;
const WRITES = 20;
const WRITE_PERIOD_MS = 300;
const REMOVAL_LIMIT_MS = 12_000;
/** Links of a daemon in six zones of 57: its zone, two ways to five others. */
const FULL_SIZE_LINKS = 56 + 2 * 2 * OTHER_ZONES;
const KEY = "config/teams/bench";
const ZONE = "zone-0";

const clock = new SystemClock();

interface Row {
  readonly membersInZone: number;
  readonly linksPerDaemon: number;
  readonly cpuPercent: number;
  readonly rssMbAboveIdle: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
}

class Fleet {
  readonly store = new KvStore(clock);
  readonly workers: WorkerProcess[] = [];
  /** Runs one daemon of the zone alone, for figures of one process. */
  readonly single: WorkerProcess;
  readonly size: number;
  readonly #server: Server = createStoreServer(clock, this.store);

  constructor(size: number) {
    this.size = size;
    for (let index = 0; index <= SHARED_WORKERS + 1; index++) {
      this.workers.push(new WorkerProcess());
    }
    this.single = this.workers[0]!;
  }

  async start(): Promise<void> {
    const store = await listen(this.#server);
    const groups = this.#groups();
    const started = await Promise.all(
      this.workers.map((worker, index) =>
        worker.ask({ kind: "start", names: groups[index]!, store }, "listening")
      ),
    );
    const peers = started.flatMap((report) => report.peers);
    const zones = new Map(peers.map((peer) => [peer.zone, peer]));
    const seeds = [...zones.values()];
    for (const worker of this.workers) worker.tell({ kind: "join", seeds });
    await sleep(clock, SETTLE_MS);
  }

  stop(): void {
    for (const worker of this.workers) worker.stop();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** The first group has one daemon, the last one those of other zones. */
  #groups() {
    const names = Array.from({ length: this.size }, (_, index) => ({
      host: `host-0-${index}`,
      zone: ZONE,
    }));
    const others = Array.from(
      { length: OTHER_ZONES * HOSTS_PER_OTHER_ZONE },
      (_, index) => ({
        host: `host-${1 + index % OTHER_ZONES}-${index}`,
        zone: `zone-${1 + index % OTHER_ZONES}`,
      }),
    );
    const shared = Array.from(
      { length: SHARED_WORKERS },
      (_, worker) =>
        names.slice(1).filter((_name, index) =>
          index % SHARED_WORKERS === worker
        ),
    );
    return [names.slice(0, 1), ...shared, others];
  }
}

async function listen(server: Server): Promise<Address> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return asId<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`);
}

function perSecond(
  field: "cpuMs" | "messages" | "bytes",
  before: WorkerSample,
  after: WorkerSample,
): number {
  const seconds = (after.atMs - before.atMs) / 1_000;
  return (after[field] - before[field]) / seconds / after.daemons;
}

/** Samples of all workers, one more than there are windows. */
async function sampleWindows(fleet: Fleet): Promise<WorkerSample[][]> {
  const samples: WorkerSample[][] = [];
  for (let window = 0; window <= WINDOWS; window++) {
    if (window > 0) await sleep(clock, WINDOW_MS);
    samples.push(await Promise.all(fleet.workers.map((each) => each.sample())));
  }
  return samples;
}

/** Percent of a core that each daemon of a worker takes, in each window. */
function cpuOf(samples: readonly WorkerSample[][], worker: number): number[] {
  return samples.slice(1).map((after, index) =>
    perSecond("cpuMs", samples[index]![worker]!, after[worker]!) / 10
  );
}

/**
 * Node collects all garbage once or twice in the first minute, also in a process
 * that does nothing; the median of the windows leaves that out.
 */
async function measureCost(fleet: Fleet, idleMb: number) {
  const callsBefore = { ...fleet.store.callCounts };
  const samples = await sampleWindows(fleet);
  const { read, write } = fleet.store.callCounts;
  const calls = read + write - callsBefore.read - callsBefore.write;
  const [before, after] = [samples[0]!, samples.at(-1)!];
  const [first, last] = [before[0]!, after[0]!];
  const shared = fleet.workers.slice(1, -1).map((_worker, index) =>
    quantile(cpuOf(samples, index + 1), 0.5)
  );
  const alone = cpuOf(samples, 0);
  return {
    membersInZone: fleet.size,
    membersInAll: fleet.size + OTHER_ZONES * HOSTS_PER_OTHER_ZONE,
    fewestMembersSeen: Math.min(...after.map((each) => each.fewestMembers)),
    linksPerDaemon: last.links,
    cpuPercent: quantile(alone, 0.5),
    cpuPercentMean: mean(alone),
    cpuPercentInWorstWindow: Math.max(...alone),
    cpuPercentSharedProcess: mean(shared),
    rssMbAboveIdle: last.rssMb - idleMb,
    bytesPerSecond: perSecond("bytes", first, last),
    messagesPerSecond: perSecond("messages", first, last),
    storeCallsPerSecond: calls / (WINDOWS * WINDOW_MS / 1_000),
  };
}

async function measureConfiguration(fleet: Fleet): Promise<number[]> {
  const writtenMs = new Map<number, number>();
  const delaysMs: number[] = [];
  const following = fleet.workers.map((worker) =>
    worker.onDidReport((report) => {
      if (report.kind !== "in-force") return;
      const startMs = writtenMs.get(report.revision);
      if (startMs !== undefined) delaysMs.push(report.atMs - startMs);
    })
  );
  for (let number = 0; number < WRITES; number++) {
    const { store } = fleet;
    const expectedRevision = store.get(KEY)?.revision ?? 0;
    writtenMs.set(store.revision + 1, Date.now());
    const value = `classes: { bench: { priority: 1, maxWaitMs: ${
      number + 1
    } } }`;
    store.put({ key: KEY, value, expectedRevision });
    await sleep(clock, WRITE_PERIOD_MS);
  }
  await sleep(clock, 5_000);
  following.forEach((each) => each.dispose());
  return delaysMs;
}

async function measureRemoval(fleet: Fleet): Promise<number[]> {
  const removedMs: number[] = [];
  const victim = "host-0-1";
  const following = fleet.workers.map((worker) =>
    worker.onDidReport((report) => {
      if (report.kind !== "removed" || report.host !== victim) return;
      removedMs.push(report.atMs - killedMs);
    })
  );
  const killedMs = Date.now();
  for (const worker of fleet.workers) {
    worker.tell({ kind: "kill", host: victim });
  }
  await sleep(clock, REMOVAL_LIMIT_MS);
  following.forEach((each) => each.dispose());
  return removedMs;
}

async function measureSize(size: number, idleMb: number) {
  const fleet = new Fleet(size);
  await fleet.start();
  const cost = await measureCost(fleet, idleMb);
  const delaysMs = await measureConfiguration(fleet);
  const removedMs = await measureRemoval(fleet);
  fleet.stop();
  return {
    ...cost,
    configInForceP99Ms: quantile(delaysMs, 0.99),
    configInForceShare: delaysMs.length / (WRITES * cost.membersInAll),
    removedAfterMs: Math.max(...removedMs),
    removedByShare: removedMs.length / (cost.membersInAll - 1),
  };
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ] ??
    Infinity;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(row: Readonly<Record<string, number>>): object {
  return Object.fromEntries(
    Object.entries(row).map((
      [name, value],
    ) => [name, Math.round(value * 1_000) / 1_000]),
  );
}

/** Straight line through the two largest sizes, over the number of links. */
function extrapolate(rows: readonly Row[], field: keyof Row): number {
  const [small, large] = [rows.at(-2)!, rows.at(-1)!];
  const slope = (large[field] - small[field]) /
    (large.linksPerDaemon - small.linksPerDaemon);
  return large[field] + slope * (FULL_SIZE_LINKS - large.linksPerDaemon);
}

function slopePerMember(rows: readonly Row[], field: keyof Row): number {
  const [small, large] = [rows[0]!, rows.at(-1)!];
  return (large[field] - small[field]) /
    (large.membersInZone - small.membersInZone);
}

/** The measurement. */
export const bench: Bench = {
  description: "links, membership and configuration of many daemons",
  run: async (options: BenchOptions) => {
    const idleMb = await measureIdleMb(1_000);
    const sizes = options.args.length > 0 ? options.args.map(Number) : SIZES;
    const rows = [];
    for (const size of sizes) {
      options.printNote(`${size} members in the zone`);
      const row = await measureSize(size, idleMb);
      rows.push(row);
      options.printRow(round(row));
    }
    if (rows.length < 2) return { idleMb };
    const cpu = slopePerMember(rows, "cpuPercent");
    return round({
      idleMb,
      cpuPercentPerMember: cpu,
      bytesPerSecondPerMember: slopePerMember(rows, "bytesPerSecond"),
      rssMbPerMember: slopePerMember(rows, "rssMbAboveIdle"),
      fullSizeLinks: FULL_SIZE_LINKS,
      fullSizeCpuPercent: extrapolate(rows, "cpuPercent"),
      fullSizeRssMb: extrapolate(rows, "rssMbAboveIdle"),
      fullSizeBytesPerSecond: extrapolate(rows, "bytesPerSecond"),
    });
  },
};
