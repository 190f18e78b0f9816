/**
 * Benchmark of the overhead that a daemon adds to a request over loopback
 * sockets: latency of the first token, processor time per token, memory per
 * idle stream, and rate of calls.
 */

import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { sleep } from "../../src/base/common/clock.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import type { Bench, BenchOptions } from "../bench.ts";
import {
  measureFirstToken,
  openStream,
  runCalls,
} from "../path/load_client.ts";
import { PathDeployment, type PathProcesses } from "../path/path_deployment.ts";

const FAST_STEP_MS = 1;
const STREAM_STEP_MS = 50;
const FIRST_TOKEN_SAMPLES = 400;
const WARM_UP_SAMPLES = 1_500;
const BUSY_STREAMS = 500;
const BUSY_STREAM_TOKENS = 200;
const IDLE_STREAMS = 2_000;
const IDLE_STREAM_TOKENS = 100_000;
const IDLE_SETTLE_MS = 4_000;
const CALL_CONCURRENCY = 32;
const CALL_DURATION_MS = 4_000;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Difference of the first-token latency through the daemon and without it. */
interface AddedLatency {
  readonly addedFirstTokenP50Ms: number;
  readonly addedFirstTokenP99Ms: number;
}

/** Token rate of concurrent streams, also per second of processor time. */
interface TokenRate {
  readonly streams: number;
  readonly tokens: number;
  readonly expectedTokens: number;
  readonly tokensPerSecond: number;
  readonly tokensPerCoreSecond: number;
}

/** Resident memory that idle streams add to the daemon. */
interface IdleStreamMemory {
  readonly idleStreams: number;
  readonly bytesPerStream: number;
}

/**
 * Measures the added latency. Requests to the engine and to the daemon
 * alternate, so that other load on the machine affects both alike.
 */
async function measureAddedLatency(
  { engine, daemon }: PathProcesses,
): Promise<AddedLatency> {
  const directLatencyUs = buildHistogram();
  const routedLatencyUs = buildHistogram();
  for (
    let sample = 0;
    sample < FIRST_TOKEN_SAMPLES + WARM_UP_SAMPLES;
    sample++
  ) {
    const directMs = await measureFirstToken(engine.address, "engine");
    const routedMs = await measureFirstToken(daemon.address, "daemon");
    if (sample < WARM_UP_SAMPLES) continue;
    directLatencyUs.recordValue(Math.round(directMs * MICROSECONDS_PER_MS));
    routedLatencyUs.recordValue(Math.round(routedMs * MICROSECONDS_PER_MS));
  }
  return {
    addedFirstTokenP50Ms: percentileDifferenceMs(
      routedLatencyUs,
      directLatencyUs,
      50,
    ),
    addedFirstTokenP99Ms: percentileDifferenceMs(
      routedLatencyUs,
      directLatencyUs,
      99,
    ),
  };
}

function percentileDifferenceMs(
  minuendUs: Histogram,
  subtrahendUs: Histogram,
  percentile: number,
): number {
  const microseconds = minuendUs.getValueAtPercentile(percentile) -
    subtrahendUs.getValueAtPercentile(percentile);
  return microseconds / MICROSECONDS_PER_MS;
}

async function measureCallsPerSecond(
  { daemon }: PathProcesses,
): Promise<number> {
  const completedCalls = await runCalls(
    daemon.address,
    CALL_CONCURRENCY,
    CALL_DURATION_MS,
  );
  return Math.round(completedCalls / CALL_DURATION_MS * MS_PER_SECOND);
}

async function measureTokenRate({ daemon }: PathProcesses): Promise<TokenRate> {
  const before = await daemon.readUsage();
  const startMs = performance.now();
  const streams = Array.from(
    { length: BUSY_STREAMS },
    () => openStream(daemon.address, BUSY_STREAM_TOKENS),
  );
  await Promise.all(streams.map((stream) => stream.ended));
  const elapsedMs = performance.now() - startMs;
  const after = await daemon.readUsage();
  const tokens = streams.reduce((sum, stream) => sum + stream.tokens, 0);
  const cpuMs = after.cpuMs - before.cpuMs;
  return {
    streams: BUSY_STREAMS,
    tokens,
    expectedTokens: BUSY_STREAMS * BUSY_STREAM_TOKENS,
    tokensPerSecond: Math.round(tokens / elapsedMs * MS_PER_SECOND),
    tokensPerCoreSecond: Math.round(tokens / cpuMs * MS_PER_SECOND),
  };
}

async function measureIdleStreamMemory(
  { engine, daemon }: PathProcesses,
): Promise<IdleStreamMemory> {
  const before = await daemon.readUsage();
  await engine.request({ kind: "stall", isStalled: true });
  const streams = Array.from(
    { length: IDLE_STREAMS },
    () => openStream(daemon.address, IDLE_STREAM_TOKENS),
  );
  await sleep(new SystemClock(), IDLE_SETTLE_MS);
  const after = await daemon.readUsage();
  for (const stream of streams) stream.abort();
  await Promise.allSettled(streams.map((stream) => stream.ended));
  const addedBytes = after.rssBytes - before.rssBytes;
  return {
    idleStreams: IDLE_STREAMS,
    bytesPerStream: Math.round(addedBytes / IDLE_STREAMS),
  };
}

async function run({ printRow, printNote }: BenchOptions): Promise<object> {
  const fastDeployment = new PathDeployment();
  const fastProcesses = await fastDeployment.start(FAST_STEP_MS);
  printNote("measuring the latency added to the first token");
  const addedLatency = await measureAddedLatency(fastProcesses);
  printRow({ measure: "first-token", ...addedLatency });
  printNote("measuring the rate of calls");
  const callsPerSecond = await measureCallsPerSecond(fastProcesses);
  printRow({ measure: "calls", callsPerSecond });
  fastDeployment.stop();

  const slowDeployment = new PathDeployment();
  const slowProcesses = await slowDeployment.start(STREAM_STEP_MS);
  printNote("measuring the token rate of streams");
  const tokenRate = await measureTokenRate(slowProcesses);
  printRow({ measure: "tokens", stepMs: STREAM_STEP_MS, ...tokenRate });
  printNote("measuring the memory of idle streams");
  const { bytesPerStream, idleStreams } = await measureIdleStreamMemory(
    slowProcesses,
  );
  printRow({ measure: "idle", idleStreams, bytesPerStream });
  slowDeployment.stop();
  const { tokensPerCoreSecond } = tokenRate;
  return {
    bench: "path",
    ...addedLatency,
    tokensPerCoreSecond,
    bytesPerStream,
    callsPerSecond,
  };
}

/** Benchmark of the overhead of one daemon. */
export const bench: Bench = {
  description: "overhead of one daemon per request, over loopback sockets",
  run,
};
