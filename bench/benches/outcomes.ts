/**
 * Benchmark that sends requests over loopback sockets while a fault is injected
 * every 200 ms, and checks their outcomes against what the endpoints ran.
 */

import { SeededRandom } from "../../src/base/common/random.ts";
import type { Bench, BenchOptions } from "../bench.ts";
import {
  BenchCallers,
  type ReceivedCall,
  type ReceivedGeneration,
} from "../outcomes/bench_callers.ts";
import { FaultInjector } from "../outcomes/fault_injector.ts";
import { LoopbackDeployment } from "../outcomes/loopback_deployment.ts";
import { OutcomeTally } from "../outcomes/outcome_tally.ts";

const DEFAULT_REQUESTS = 20_000;
const CONCURRENT_CALLERS = 100;
const MIN_TOKENS = 5;
const MAX_TOKENS = 60;
/** Number of requests between two progress messages. */
const NOTE_PERIOD = 2_000;
const RESUME_QUANTILE = 0.99;

/** Request of a caller. */
type BenchRequest =
  | {
    readonly kind: "stream" | "whole";
    readonly prompt: string;
    readonly tokens: number;
  }
  | {
    readonly kind: "call";
    readonly body: string;
    readonly key: string | undefined;
  };

/** Received responses; a generation comes with its expected token count. */
interface Results {
  readonly generations: (readonly [ReceivedGeneration, number])[];
  readonly calls: ReceivedCall[];
}

/** Benchmark of request outcomes under faults. */
export const bench: Bench = {
  description: "outcomes of requests under a fault every 200 ms",
  run: runBench,
};

async function runBench(options: BenchOptions): Promise<object> {
  const requestCount = Number(options.args[0] ?? DEFAULT_REQUESTS);
  const random = new SeededRandom(options.seed);
  const deployment = new LoopbackDeployment();
  await deployment.start();
  const faults = new FaultInjector(
    deployment,
    new SeededRandom(options.seed + 1),
  );
  const resumeTimesMs: number[] = [];
  const callers = createCallers(deployment, faults, random, resumeTimesMs);
  const results: Results = { generations: [], calls: [] };
  const startMs = deployment.clock.monotonicMs();
  let sent = 0;
  const runCaller = async (): Promise<void> => {
    while (sent < requestCount) {
      if (sent % NOTE_PERIOD === 0) options.printNote(`${sent} requests sent`);
      await sendRequest(callers, createRequest(sent++, random), results);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, runCaller));
  const durationMs = deployment.clock.monotonicMs() - startMs;
  faults.dispose();
  const tally = new OutcomeTally(
    deployment.engines.map(({ model }) => model),
    deployment.apps.map(({ model }) => model),
  );
  for (const [received, tokens] of results.generations) {
    tally.addGeneration(received, tokens);
  }
  for (const received of results.calls) tally.addCall(received);
  await callers.close();
  await faults.waitForRecovery();
  await deployment.stop();
  return {
    ...tally.summarize(),
    resumes: resumeTimesMs.length,
    resumeP50Ms: quantile(resumeTimesMs, 0.5),
    resumeP99Ms: quantile(resumeTimesMs, RESUME_QUANTILE),
    faults: Object.fromEntries(faults.counts),
    durationMs: Math.round(durationMs),
  };
}

function createCallers(
  deployment: LoopbackDeployment,
  faults: FaultInjector,
  random: SeededRandom,
  resumeTimesMs: number[],
): BenchCallers {
  const { clock } = deployment;
  return new BenchCallers({
    clock,
    pickDaemon: () => random.pick(deployment.daemons).callerAddress,
    onToken: (id, previousMs) => {
      const stalledAtMs = faults.stalledAtMs.get(id);
      if (stalledAtMs === undefined || previousMs > stalledAtMs) return;
      faults.stalledAtMs.delete(id);
      resumeTimesMs.push(clock.monotonicMs() - stalledAtMs);
    },
    onResumed: (resumeMs) => resumeTimesMs.push(resumeMs),
  });
}

/**
 * Creates a random request: of ten requests, on average seven are streams, one
 * is a generation without streaming, one a call with an idempotency key and one
 * a call without.
 */
function createRequest(index: number, random: SeededRandom): BenchRequest {
  const kind = random.int(0, 9);
  if (kind >= 8) {
    const body = `booking ${index}`;
    return {
      kind: "call",
      body,
      key: kind === 8 ? `key ${index}` : undefined,
    };
  }
  const tokens = random.int(MIN_TOKENS, MAX_TOKENS);
  const prompt = `timetable ${index} #tokens=${tokens}`;
  return { kind: kind === 7 ? "whole" : "stream", prompt, tokens };
}

async function sendRequest(
  callers: BenchCallers,
  request: BenchRequest,
  results: Results,
): Promise<void> {
  if (request.kind === "call") {
    results.calls.push(await callers.sendCall(request.body, request.key));
    return;
  }
  const { kind, prompt, tokens } = request;
  const received = kind === "stream"
    ? await callers.streamGeneration(prompt)
    : await callers.requestWholeGeneration(prompt);
  results.generations.push([received, tokens]);
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return Math.round(sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0);
}
