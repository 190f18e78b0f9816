/**
 * Benchmark of the metrics: processor time of recording, memory of the
 * histograms of all series, and traffic to StatsD. Compares the histogram of
 * this project with hdr-histogram-js.
 */

import { createSocket, type Socket } from "node:dgram";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { build } from "hdr-histogram-js";
import { ManualClock, sleep } from "../../src/base/common/clock.ts";
import {
  asId,
  type ServiceId,
  type WorkspaceId,
} from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { HistogramMetrics } from "../../src/services/metrics/common/histogram_metrics.ts";
import { createHistogram } from "../../src/services/metrics/common/histogram_names.ts";
import type {
  MetricLabels,
  RequestRecorder,
} from "../../src/services/metrics/common/metrics.ts";
import { StatsdSink } from "../../src/services/metrics/node/statsd_sink.ts";
import type { Bench } from "../bench.ts";

const WORKSPACE_COUNT = 6_100;
const SERVICE_COUNT = 6;
const CLASS_COUNT = 3;
const TOKEN_RECORDS = 5_000_000;
const REQUEST_RECORDS = 500_000;
const HISTOGRAM_COUNT = 1_000;
const SEND_DURATION_MS = 21_000;
const SEND_INTERVAL_MS = 10;
const REQUESTS_PER_INTERVAL = 10;
const TOKENS_PER_INTERVAL = 1_000;
const BYTES_PER_MB = 1_048_576;
const DAEMON_IDENTITY = { host: "bench-1", zone: "bench-zone" };
/** Options of the compared histogram: one significant digit, up to 2^27. */
const HDR_OPTIONS = {
  bitBucketSize: 32,
  lowestDiscernibleValue: 1,
  highestTrackableValue: 2 ** 27,
  numberOfSignificantValueDigits: 1,
} as const;

/** Benchmark of the metrics. */
export const bench: Bench = {
  description: "cost of recording, memory of histograms, traffic to StatsD",
  run: async ({ printRow }) => {
    const agent = await startStatsdAgent();
    printRow({ variant: "log-histogram", ...measureLogHistogram() });
    printRow({ variant: "hdr-histogram-js", ...measureHdrHistogram() });
    const clock = new SystemClock();
    const sink = new StatsdSink(clock, agent.address, DAEMON_IDENTITY);
    const metrics = new HistogramMetrics(clock, DAEMON_IDENTITY, sink);
    const { recordTokenNs, recordRequestNs } = measureRecordingCost(metrics);
    const histogramsMb = measureHistogramsMb();
    const bytesPerSecond = await measureBytesPerSecond(clock, metrics, agent);
    metrics.dispose();
    sink.dispose();
    agent.socket.close();
    return { recordTokenNs, recordRequestNs, histogramsMb, bytesPerSecond };
  },
};

/** UDP socket in place of a StatsD agent, which counts the received bytes. */
interface StatsdAgent {
  readonly socket: Socket;
  readonly address: { readonly ip: string; readonly port: number };
  receivedBytes: number;
}

async function startStatsdAgent(): Promise<StatsdAgent> {
  const socket = createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(0, "127.0.0.1", resolve));
  const { address, port } = socket.address();
  const agent = { socket, address: { ip: address, port }, receivedBytes: 0 };
  socket.on("message", (message) => {
    agent.receivedBytes += message.byteLength;
  });
  return agent;
}

function createLabels(index: number): MetricLabels {
  const combination = Math.floor(index / WORKSPACE_COUNT);
  return {
    workspace: asId<WorkspaceId>(`team/workspace-${index % WORKSPACE_COUNT}`),
    service: asId<ServiceId>(`team/model-${combination % SERVICE_COUNT}`),
    className: `class-${Math.floor(combination / SERVICE_COUNT) % CLASS_COUNT}`,
  };
}

function measureRecordingCost(
  metrics: HistogramMetrics,
): { readonly recordTokenNs: number; readonly recordRequestNs: number } {
  const recorders: RequestRecorder[] = [];
  for (let index = 0; index < WORKSPACE_COUNT; index++) {
    recorders.push(metrics.forRequest(createLabels(index)));
  }
  const recordTokenNs = measureMeanNs(
    TOKEN_RECORDS,
    (index) =>
      recorders[index % WORKSPACE_COUNT]!.recordTokenGap(index % 997 / 10),
  );
  const labels = recorders.map((_, index) => createLabels(index));
  const recordRequestNs = measureMeanNs(REQUEST_RECORDS, (index) => {
    const recorder = metrics.forRequest(labels[index % WORKSPACE_COUNT]!);
    recorder.recordQueueWait(index % 50);
    recorder.recordFirstToken(index % 500);
    recorder.recordEnd("completed", index % 3_000);
  });
  return { recordTokenNs, recordRequestNs };
}

/**
 * Measures the memory of the histograms, in megabytes, if every workspace uses
 * every service and class.
 */
function measureHistogramsMb(): number {
  const before = measureUsedBytes();
  const clock = new ManualClock();
  const sink = {
    sample: () => undefined,
    countEnd: () => undefined,
    countPreemptions: () => undefined,
    count: () => undefined,
  };
  const metrics = new HistogramMetrics(clock, DAEMON_IDENTITY, sink);
  const seriesCount = WORKSPACE_COUNT * SERVICE_COUNT * CLASS_COUNT;
  for (let index = 0; index < seriesCount; index++) {
    const recorder = metrics.forRequest(createLabels(index));
    recorder.recordQueueWait(index % 50);
    recorder.recordFirstToken(index % 500);
    recorder.recordTokenGap(index % 100);
    recorder.recordStall(index % 1_000);
    recorder.recordEnd("completed", index % 3_000);
  }
  const usedMb = (measureUsedBytes() - before) / BYTES_PER_MB;
  metrics.dispose();
  return roundToTenth(usedMb);
}

async function measureBytesPerSecond(
  clock: SystemClock,
  metrics: HistogramMetrics,
  agent: StatsdAgent,
): Promise<number> {
  const startMs = clock.monotonicMs();
  const startBytes = agent.receivedBytes;
  let index = 0;
  while (clock.monotonicMs() - startMs < SEND_DURATION_MS) {
    for (let count = 0; count < REQUESTS_PER_INTERVAL; count++) {
      const recorder = metrics.forRequest(createLabels(index++));
      recorder.recordQueueWait(count);
      recorder.recordFirstToken(count);
      for (
        let gap = 0;
        gap < TOKENS_PER_INTERVAL / REQUESTS_PER_INTERVAL;
        gap++
      ) {
        recorder.recordTokenGap(gap);
      }
      recorder.recordEnd(
        "completed",
        TOKENS_PER_INTERVAL / REQUESTS_PER_INTERVAL,
      );
    }
    await sleep(clock, SEND_INTERVAL_MS);
  }
  const elapsedSeconds = (clock.monotonicMs() - startMs) / 1_000;
  return Math.round((agent.receivedBytes - startBytes) / elapsedSeconds);
}

function measureHdrHistogram(): object {
  const before = measureUsedBytes();
  const histograms = Array.from(
    { length: HISTOGRAM_COUNT },
    () => build(HDR_OPTIONS),
  );
  const bytesEach = (measureUsedBytes() - before) / HISTOGRAM_COUNT;
  const recordNs = measureMeanNs(
    TOKEN_RECORDS,
    (index) => histograms[index % HISTOGRAM_COUNT]!.recordValue(index % 6_400),
  );
  return { recordNs, bytesEach: Math.round(bytesEach) };
}

function measureLogHistogram(): object {
  const before = measureUsedBytes();
  const histograms = Array.from(
    { length: HISTOGRAM_COUNT },
    () => createHistogram("tokenGapMs"),
  );
  const bytesEach = (measureUsedBytes() - before) / HISTOGRAM_COUNT;
  const recordNs = measureMeanNs(
    TOKEN_RECORDS,
    (index) => histograms[index % HISTOGRAM_COUNT]!.record(index % 100),
  );
  return { recordNs, bytesEach: Math.round(bytesEach) };
}

function measureMeanNs(
  count: number,
  operation: (index: number) => void,
): number {
  const start = process.hrtime.bigint();
  for (let index = 0; index < count; index++) operation(index);
  const elapsedNs = Number(process.hrtime.bigint() - start);
  return roundToTenth(elapsedNs / count);
}

/** @returns Bytes of heap and array buffers in use after a full collection. */
function measureUsedBytes(): number {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
