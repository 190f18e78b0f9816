/** What a daemon adds to a request, over real sockets on loopback. */

import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { sleep } from "../../src/base/common/clock.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import type { Bench, BenchOptions } from "../bench.ts";
import {
  measureFirstToken,
  openStream,
  runCalls,
} from "../path/load_client.ts";
import {
  type DaemonWithEngine,
  PathDeployment,
} from "../path/path_deployment.ts";

const FAST_STEP_MS = 1;
const STREAM_STEP_MS = 50;
const FIRST_TOKEN_ROUNDS = 400;
const WARM_UP_ROUNDS = 1_500;
const LOAD_STREAMS = 500;
const LOAD_TOKENS = 200;
const IDLE_STREAMS = 2_000;
const IDLE_TOKENS = 100_000;
const IDLE_SETTLE_MS = 4_000;
const CALL_CONCURRENCY = 32;
const CALL_DURATION_MS = 4_000;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

interface AddedDelay {
  readonly addedFirstTokenP50Ms: number;
  readonly addedFirstTokenP99Ms: number;
}

interface TokenRate {
  readonly streams: number;
  readonly tokens: number;
  readonly expectedTokens: number;
  readonly tokensPerSecond: number;
  readonly tokensPerCoreSecond: number;
}

interface IdleMemory {
  readonly idleStreams: number;
  readonly bytesPerStream: number;
}

/** Alternates direct and routed requests, so that both see the same machine. */
async function measureAdded(
  { engine, daemon }: DaemonWithEngine,
): Promise<AddedDelay> {
  const direct = buildHistogram();
  const routed = buildHistogram();
  for (let round = 0; round < FIRST_TOKEN_ROUNDS + WARM_UP_ROUNDS; round++) {
    const directMs = await measureFirstToken(engine.address, "engine");
    const routedMs = await measureFirstToken(daemon.address, "daemon");
    if (round < WARM_UP_ROUNDS) continue;
    direct.recordValue(Math.round(directMs * MICROSECONDS_PER_MS));
    routed.recordValue(Math.round(routedMs * MICROSECONDS_PER_MS));
  }
  return {
    addedFirstTokenP50Ms: differenceMs(routed, direct, 50),
    addedFirstTokenP99Ms: differenceMs(routed, direct, 99),
  };
}

function differenceMs(
  left: Histogram,
  right: Histogram,
  percentile: number,
): number {
  const microseconds = left.getValueAtPercentile(percentile) -
    right.getValueAtPercentile(percentile);
  return microseconds / MICROSECONDS_PER_MS;
}

async function measureCalls({ daemon }: DaemonWithEngine): Promise<number> {
  const answered = await runCalls(
    daemon.address,
    CALL_CONCURRENCY,
    CALL_DURATION_MS,
  );
  return Math.round(answered / CALL_DURATION_MS * MS_PER_SECOND);
}

async function measureTokens({ daemon }: DaemonWithEngine): Promise<TokenRate> {
  const before = await daemon.readUsage();
  const startMs = performance.now();
  const streams = Array.from(
    { length: LOAD_STREAMS },
    () => openStream(daemon.address, LOAD_TOKENS),
  );
  await Promise.all(streams.map((stream) => stream.ended));
  const elapsedMs = performance.now() - startMs;
  const after = await daemon.readUsage();
  const tokens = streams.reduce((sum, stream) => sum + stream.tokens, 0);
  const cpuMs = after.cpuMs - before.cpuMs;
  return {
    streams: LOAD_STREAMS,
    tokens,
    expectedTokens: LOAD_STREAMS * LOAD_TOKENS,
    tokensPerSecond: Math.round(tokens / elapsedMs * MS_PER_SECOND),
    tokensPerCoreSecond: Math.round(tokens / cpuMs * MS_PER_SECOND),
  };
}

async function measureIdle(
  { engine, daemon }: DaemonWithEngine,
): Promise<IdleMemory> {
  const before = await daemon.readUsage();
  await engine.ask({ kind: "stall", isStalled: true });
  const streams = Array.from(
    { length: IDLE_STREAMS },
    () => openStream(daemon.address, IDLE_TOKENS),
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
  const fast = new PathDeployment();
  const first = await fast.start(FAST_STEP_MS);
  printNote("measuring the time added to the first token");
  const added = await measureAdded(first);
  printRow({ measure: "first-token", ...added });
  printNote("measuring plain calls");
  const callsPerSecond = await measureCalls(first);
  printRow({ measure: "calls", callsPerSecond });
  fast.stop();

  const slow = new PathDeployment();
  const second = await slow.start(STREAM_STEP_MS);
  printNote("measuring streamed tokens");
  const tokens = await measureTokens(second);
  printRow({ measure: "tokens", stepMs: STREAM_STEP_MS, ...tokens });
  printNote("measuring idle streams");
  const { bytesPerStream, idleStreams } = await measureIdle(second);
  printRow({ measure: "idle", idleStreams, bytesPerStream });
  slow.stop();
  const { tokensPerCoreSecond } = tokens;
  return {
    bench: "path",
    ...added,
    tokensPerCoreSecond,
    bytesPerStream,
    callsPerSecond,
  };
}

/** Time added to the first token, tokens a core, memory a stream, calls. */
export const bench: Bench = {
  description: "what one daemon adds to a request, over sockets",
  run,
};
