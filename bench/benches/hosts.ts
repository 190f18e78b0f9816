/**
 * Benchmark of the cost of peer links, membership and configuration: processor
 * time, memory and traffic per daemon, delay until a configuration is in force,
 * and time until a dead host is removed.
 */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "../../src/base/common/clock.ts";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { KvStore } from "../../standins/store/kv_store.ts";
import { createStoreServer } from "../../standins/store/store_server.ts";
import type { Bench, BenchOptions } from "../bench.ts";
import type { WorkerSample } from "../hosts/worker_messages.ts";
import {
  measureIdleProcessMb,
  WorkerProcess,
} from "../hosts/worker_process.ts";

const ZONE_SIZES = [8, 24, 57];
const OTHER_ZONE_COUNT = 5;
const HOSTS_PER_OTHER_ZONE = 6;
const SHARED_WORKER_COUNT = 4;
const SETTLE_MS = 20_000;
const WINDOW_COUNT = 6;
const WINDOW_MS = 5_000;
const WRITE_COUNT = 20;
const WRITE_PERIOD_MS = 300;
const REMOVAL_WAIT_MS = 12_000;
/**
 * Links of a daemon in a fleet of six zones with 57 hosts each: one to every
 * other host of its zone, and two in each direction for each other zone.
 */
const FULL_SIZE_LINKS = 56 + 2 * 2 * OTHER_ZONE_COUNT;
const DOCUMENT_KEY = "config/teams/bench";
const ZONE = "zone-0";

const clock = new SystemClock();

/** Fields of a result row that are extrapolated to a fleet of full size. */
interface CostRow {
  readonly membersInZone: number;
  readonly linksPerDaemon: number;
  readonly cpuPercent: number;
  readonly rssMbAboveIdle: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
}

/** Daemons of all zones in worker processes, with a store in this process. */
class MeasuredFleet {
  readonly store = new KvStore(clock);
  readonly workers: WorkerProcess[] = [];
  /** Runs a single daemon, to measure the cost of one daemon process. */
  readonly singleDaemonWorker: WorkerProcess;
  readonly zoneSize: number;
  readonly #server: Server = createStoreServer(clock, this.store);

  constructor(size: number) {
    this.zoneSize = size;
    for (let index = 0; index <= SHARED_WORKER_COUNT + 1; index++) {
      this.workers.push(new WorkerProcess());
    }
    this.singleDaemonWorker = this.workers[0]!;
  }

  async start(): Promise<void> {
    const store = await listen(this.#server);
    const assignments = this.#assignDaemons();
    const started = await Promise.all(
      this.workers.map((worker, index) =>
        worker.request(
          { kind: "start", names: assignments[index]!, store },
          "listening",
        )
      ),
    );
    const peers = started.flatMap((report) => report.peers);
    const zones = new Map(peers.map((peer) => [peer.zone, peer]));
    const seeds = [...zones.values()];
    for (const worker of this.workers) worker.send({ kind: "join", seeds });
    await sleep(clock, SETTLE_MS);
  }

  stop(): void {
    for (const worker of this.workers) worker.stop();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /**
   * Assigns daemons to workers: a single one to the first worker, those of other
   * zones to the last.
   */
  #assignDaemons() {
    const zoneDaemons = Array.from({ length: this.zoneSize }, (_, index) => ({
      host: `host-0-${index}`,
      zone: ZONE,
    }));
    const otherZoneDaemons = Array.from(
      { length: OTHER_ZONE_COUNT * HOSTS_PER_OTHER_ZONE },
      (_, index) => ({
        host: `host-${1 + index % OTHER_ZONE_COUNT}-${index}`,
        zone: `zone-${1 + index % OTHER_ZONE_COUNT}`,
      }),
    );
    const shared = Array.from(
      { length: SHARED_WORKER_COUNT },
      (_, worker) =>
        zoneDaemons.slice(1).filter((_name, index) =>
          index % SHARED_WORKER_COUNT === worker
        ),
    );
    return [zoneDaemons.slice(0, 1), ...shared, otherZoneDaemons];
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

/** Takes samples of all workers at the start and after each window. */
async function sampleWindows(fleet: MeasuredFleet): Promise<WorkerSample[][]> {
  const samples: WorkerSample[][] = [];
  for (let window = 0; window <= WINDOW_COUNT; window++) {
    if (window > 0) await sleep(clock, WINDOW_MS);
    samples.push(
      await Promise.all(fleet.workers.map((worker) => worker.sample())),
    );
  }
  return samples;
}

/**
 * Computes the processor time per daemon of a worker in each window, in percent
 * of a core.
 */
function cpuPercentByWindow(
  samples: readonly WorkerSample[][],
  workerIndex: number,
): number[] {
  return samples.slice(1).map((after, index) =>
    perSecond("cpuMs", samples[index]![workerIndex]!, after[workerIndex]!) / 10
  );
}

/**
 * Measures the cost of a fleet without changes. Processor time is the median of
 * the windows, because Node runs one or two full garbage collections in the
 * first minute even in an idle process.
 */
async function measureCost(fleet: MeasuredFleet, idleMb: number) {
  const callsBefore = { ...fleet.store.callCounts };
  const samples = await sampleWindows(fleet);
  const { read, write } = fleet.store.callCounts;
  const calls = read + write - callsBefore.read - callsBefore.write;
  const [before, after] = [samples[0]!, samples.at(-1)!];
  const [first, last] = [before[0]!, after[0]!];
  const sharedCpuPercent = fleet.workers.slice(1, -1).map((_worker, index) =>
    quantile(cpuPercentByWindow(samples, index + 1), 0.5)
  );
  const singleCpuPercent = cpuPercentByWindow(samples, 0);
  return {
    membersInZone: fleet.zoneSize,
    membersInAll: fleet.zoneSize + OTHER_ZONE_COUNT * HOSTS_PER_OTHER_ZONE,
    fewestMembersSeen: Math.min(...after.map((sample) => sample.fewestMembers)),
    linksPerDaemon: last.links,
    cpuPercent: quantile(singleCpuPercent, 0.5),
    cpuPercentMean: mean(singleCpuPercent),
    cpuPercentInWorstWindow: Math.max(...singleCpuPercent),
    cpuPercentSharedProcess: mean(sharedCpuPercent),
    rssMbAboveIdle: last.rssMb - idleMb,
    bytesPerSecond: perSecond("bytes", first, last),
    messagesPerSecond: perSecond("messages", first, last),
    storeCallsPerSecond: calls / (WINDOW_COUNT * WINDOW_MS / 1_000),
  };
}

/**
 * Measures the delays in milliseconds until a written configuration is in force
 * on each daemon.
 */
async function measureConfigurationDelays(
  fleet: MeasuredFleet,
): Promise<number[]> {
  const writeTimesMs = new Map<number, number>();
  const delaysMs: number[] = [];
  const subscriptions = fleet.workers.map((worker) =>
    worker.onDidReport((report) => {
      if (report.kind !== "in-force") return;
      const startMs = writeTimesMs.get(report.revision);
      if (startMs !== undefined) delaysMs.push(report.atMs - startMs);
    })
  );
  for (let writeIndex = 0; writeIndex < WRITE_COUNT; writeIndex++) {
    const { store } = fleet;
    const expectedRevision = store.get(DOCUMENT_KEY)?.revision ?? 0;
    writeTimesMs.set(store.revision + 1, Date.now());
    const value = `classes: { bench: { priority: 1, maxWaitMs: ${
      writeIndex + 1
    } } }`;
    store.put({ key: DOCUMENT_KEY, value, expectedRevision });
    await sleep(clock, WRITE_PERIOD_MS);
  }
  await sleep(clock, 5_000);
  subscriptions.forEach((subscription) => subscription.dispose());
  return delaysMs;
}

/**
 * Measures the times in milliseconds until each daemon removes a killed host
 * from its members.
 */
async function measureRemovalTimes(fleet: MeasuredFleet): Promise<number[]> {
  const removedMs: number[] = [];
  const killedHost = "host-0-1";
  const subscriptions = fleet.workers.map((worker) =>
    worker.onDidReport((report) => {
      if (report.kind !== "removed" || report.host !== killedHost) return;
      removedMs.push(report.atMs - killedMs);
    })
  );
  const killedMs = Date.now();
  for (const worker of fleet.workers) {
    worker.send({ kind: "kill", host: killedHost });
  }
  await sleep(clock, REMOVAL_WAIT_MS);
  subscriptions.forEach((subscription) => subscription.dispose());
  return removedMs;
}

async function measureSize(size: number, idleMb: number) {
  const fleet = new MeasuredFleet(size);
  await fleet.start();
  const cost = await measureCost(fleet, idleMb);
  const delaysMs = await measureConfigurationDelays(fleet);
  const removedMs = await measureRemovalTimes(fleet);
  fleet.stop();
  return {
    ...cost,
    configInForceP99Ms: quantile(delaysMs, 0.99),
    configInForceShare: delaysMs.length / (WRITE_COUNT * cost.membersInAll),
    removedAfterMs: Math.max(...removedMs),
    removedByShare: removedMs.length / (cost.membersInAll - 1),
  };
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))
  ] ??
    Infinity;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function roundValues(row: Readonly<Record<string, number>>): object {
  return Object.fromEntries(
    Object.entries(row).map((
      [name, value],
    ) => [name, Math.round(value * 1_000) / 1_000]),
  );
}

/**
 * Extrapolates a field to a fleet of full size, linearly over the number of
 * links from the two largest measured sizes.
 */
function extrapolate(rows: readonly CostRow[], field: keyof CostRow): number {
  const [small, large] = [rows.at(-2)!, rows.at(-1)!];
  const slope = (large[field] - small[field]) /
    (large.linksPerDaemon - small.linksPerDaemon);
  return large[field] + slope * (FULL_SIZE_LINKS - large.linksPerDaemon);
}

function slopePerMember(
  rows: readonly CostRow[],
  field: keyof CostRow,
): number {
  const [small, large] = [rows[0]!, rows.at(-1)!];
  return (large[field] - small[field]) /
    (large.membersInZone - small.membersInZone);
}

/** Benchmark of peer links, membership and configuration. */
export const bench: Bench = {
  description: "cost of links, membership and configuration of many daemons",
  run: async (options: BenchOptions) => {
    const idleMb = await measureIdleProcessMb(1_000);
    const sizes = options.args.length > 0
      ? options.args.map(Number)
      : ZONE_SIZES;
    const rows = [];
    for (const size of sizes) {
      options.printNote(`measuring a zone with ${size} members`);
      const row = await measureSize(size, idleMb);
      rows.push(row);
      options.printRow(roundValues(row));
    }
    if (rows.length < 2) return { idleMb };
    const cpu = slopePerMember(rows, "cpuPercent");
    return roundValues({
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
