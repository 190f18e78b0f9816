/**
 * Load generator of the path benchmark: sends generations and calls to a daemon
 * or an engine over HTTP.
 */

import { Agent, request } from "undici";

/** API key of the benchmark's workspace. */
export const BENCH_API_KEY = "api key of the bench workspace";

const EVENT_ID_PREFIX = "\nid: ";
const CONNECTION_LIMIT = 10_000;

const agent = new Agent({
  connections: CONNECTION_LIMIT,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** Stream that counts the received tokens. */
export interface TokenCountingStream {
  tokens: number;
  /** Resolves when the stream has ended, and rejects if it fails. */
  readonly ended: Promise<void>;
  /** Closes the connection. */
  abort(): void;
}

/** @returns Body of a request that is sent to the engine directly. */
function createEngineBody(tokens: number, id: string): string {
  return JSON.stringify({
    id,
    model: "m",
    prompt: `#tokens=${tokens}`,
    maxTokens: tokens,
    priority: 1,
  });
}

/** @returns Body of a request that is sent to a daemon. */
function createDaemonBody(tokens: number): string {
  return JSON.stringify({
    model: "bench-model",
    prompt: `#tokens=${tokens}`,
    max_tokens: tokens,
    stream: true,
  });
}

let generationCount = 0;

async function openBody(
  address: string,
  target: "engine" | "daemon",
  tokens: number,
  signal: AbortSignal | null,
): Promise<AsyncIterable<Uint8Array>> {
  const isEngine = target === "engine";
  const path = isEngine ? "/generations" : "/v1/completions";
  const response = await request(`http://${address}${path}`, {
    method: "POST",
    dispatcher: agent,
    signal,
    headers: {
      authorization: `Bearer ${BENCH_API_KEY}`,
      "content-type": "application/json",
    },
    body: isEngine
      ? createEngineBody(tokens, `bench-${generationCount++}`)
      : createDaemonBody(tokens),
  });
  if (response.statusCode === 200) return response.body;
  throw new Error(
    `request to the ${target} failed: ${await response.body.text()}`,
  );
}

/**
 * Measures the time to the first token of one generation.
 *
 * @param address - Address of the daemon or the engine.
 * @param target - Kind of process at the address.
 * @returns The time in milliseconds, or `NaN` if no data was received.
 */
export async function measureFirstToken(
  address: string,
  target: "engine" | "daemon",
): Promise<number> {
  const startMs = performance.now();
  const body = await openBody(address, target, 1, null);
  let firstMs: number | undefined;
  for await (const chunk of body) {
    if (firstMs === undefined && chunk.byteLength > 0) {
      firstMs = performance.now() - startMs;
    }
  }
  return firstMs ?? NaN;
}

/**
 * Opens a stream through a daemon.
 *
 * @param address - Address of the daemon.
 * @param tokens - Number of tokens to request.
 */
export function openStream(
  address: string,
  tokens: number,
): TokenCountingStream {
  const abort = new AbortController();
  const stream: TokenCountingStream = {
    tokens: 0,
    ended: Promise.resolve(),
    abort: () => abort.abort(),
  };
  const read = async (): Promise<void> => {
    const body = await openBody(address, "daemon", tokens, abort.signal);
    for await (const chunk of body) {
      stream.tokens += countEvents(Buffer.from(chunk).toString("latin1"));
    }
  };
  return Object.assign(stream, {
    ended: read().catch((thrown: unknown) => {
      if (!abort.signal.aborted) throw thrown;
    }),
  });
}

/**
 * Sends calls to a daemon for a period of time.
 *
 * @param address - Address of the daemon.
 * @param concurrency - Number of concurrent calls.
 * @param durationMs - Length of the period in milliseconds.
 * @returns Number of calls with a successful response.
 */
export async function runCalls(
  address: string,
  concurrency: number,
  durationMs: number,
): Promise<number> {
  const endMs = performance.now() + durationMs;
  let completedCalls = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endMs) {
      const response = await request(`http://${address}/calls/lookup`, {
        dispatcher: agent,
        headers: { authorization: `Bearer ${BENCH_API_KEY}` },
      });
      await response.body.dump();
      if (response.statusCode === 200) completedCalls++;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runCaller));
  return completedCalls;
}

/** Counts the `id` lines, of which each event has one at its start. */
function countEvents(text: string): number {
  let count = text.startsWith(EVENT_ID_PREFIX.slice(1)) ? 1 : 0;
  let index = text.indexOf(EVENT_ID_PREFIX);
  while (index >= 0) {
    count++;
    index = text.indexOf(EVENT_ID_PREFIX, index + 1);
  }
  return count;
}
