/**
 * HTTP callers of the outcomes benchmark. They stream and resume generations,
 * send calls, and record what they receive.
 */

import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { BENCH_API_KEY } from "./loopback_deployment.ts";

/** Outcome of a request as its caller sees it. */
export type CallerOutcome =
  | "completed"
  | "not-run"
  | "interrupted"
  | "unknown"
  /** No final response was received. */
  | "no-answer";

/** Tokens and outcome that a caller has received for a generation. */
export interface ReceivedGeneration {
  readonly prompt: string;
  readonly tokens: {
    readonly id: string;
    readonly offset: number;
    readonly text: string;
  }[];
  outcome: CallerOutcome;
}

/** Outcome that a caller has received for a call. */
export interface ReceivedCall {
  readonly body: string;
  readonly outcome: CallerOutcome;
  /** Request body that the app service echoed, if the call completed. */
  readonly booked: string | undefined;
}

/** Dependencies of the callers. */
export interface CallerServices {
  readonly clock: Clock;
  /** @returns Caller address of a daemon that the load balancer chose. */
  pickDaemon(): Address;
  /**
   * Called for each token after the first of a connection.
   *
   * @param id - Identifier of the generation.
   * @param previousMs - Monotonic time in milliseconds at which the previous
   *   token was received.
   */
  onToken(id: string, previousMs: number): void;
  /**
   * Called when a generation has been resumed after a lost connection.
   *
   * @param resumeMs - Time in milliseconds from the loss of the connection to
   *   the next token.
   */
  onResumed(resumeMs: number): void;
}

/** Fields of an error response or error event. */
interface ProblemFields {
  readonly outcome?: CallerOutcome;
  readonly retryable?: boolean;
}

/** Fields of a completion or a chunk of it. */
interface ChunkFields {
  readonly choices: readonly { readonly text: string }[];
}

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const RESPONSE_TIMEOUT_MS = 30_000;
const MAX_RESUME_ATTEMPTS = 20;
const RESUME_RETRY_MS = 50;
const MAX_KEYED_ATTEMPTS = 20;
const KEYED_RETRY_MS = 50;
const AUTHORIZATION = { authorization: `Bearer ${BENCH_API_KEY}` };

/** Sends requests, and resumes and retries them as a robust client does. */
export class BenchCallers {
  readonly #services: CallerServices;
  readonly #agent = new Agent({ pipelining: 1 });

  /** @param services - Dependencies of the callers. */
  constructor(services: CallerServices) {
    this.#services = services;
  }

  /** Streams a generation, and resumes it when the connection is lost. */
  async streamGeneration(prompt: string): Promise<ReceivedGeneration> {
    const received: ReceivedGeneration = {
      prompt,
      tokens: [],
      outcome: "no-answer",
    };
    await this.#readStream(received, () => this.#postGeneration(prompt, true));
    for (let attempts = 0; attempts < MAX_RESUME_ATTEMPTS; attempts++) {
      const lastToken = received.tokens.at(-1);
      if (received.outcome !== "no-answer" || !lastToken) break;
      const disconnectedAtMs = this.#services.clock.monotonicMs();
      const previousTokenCount = received.tokens.length;
      const firstMs = await this.#readStream(
        received,
        () => this.#resumeGeneration(lastToken.id, lastToken.offset),
      );
      if (
        received.tokens.length === previousTokenCount || firstMs === undefined
      ) {
        await sleep(this.#services.clock, RESUME_RETRY_MS);
        continue;
      }
      this.#services.onResumed(firstMs - disconnectedAtMs);
    }
    return received;
  }

  /** Requests a generation without streaming. */
  async requestWholeGeneration(prompt: string): Promise<ReceivedGeneration> {
    const received: ReceivedGeneration = {
      prompt,
      tokens: [],
      outcome: "no-answer",
    };
    try {
      const response = await this.#postGeneration(prompt, false);
      const body = await response.body.json() as ChunkFields & ProblemFields & {
        readonly id: string;
      };
      if (response.statusCode !== HTTP_OK) {
        received.outcome = body.outcome ?? "no-answer";
        return received;
      }
      received.outcome = "completed";
      const texts = body.choices[0]!.text.split(" ").filter(Boolean);
      texts.forEach((text, offset) =>
        received.tokens.push({ id: body.id, offset, text: `${text} ` })
      );
    } catch {
      // The connection was lost before the complete response was received.
    }
    return received;
  }

  /**
   * Sends a call.
   *
   * @param body - Body of the request.
   * @param key - Idempotency key; a call with a key is retried until it has a
   *   final outcome.
   */
  async sendCall(body: string, key: string | undefined): Promise<ReceivedCall> {
    let received = await this.#sendCallOnce(body, key);
    if (key === undefined || received.outcome !== "no-answer") return received;
    for (let attempts = 1; attempts < MAX_KEYED_ATTEMPTS; attempts++) {
      received = await this.#sendCallOnce(body, key);
      // Earlier attempts may have run even if this one was refused.
      const isFinal = received.outcome !== "no-answer" &&
        received.outcome !== "not-run";
      if (isFinal) return received;
      await sleep(this.#services.clock, KEYED_RETRY_MS);
    }
    return { body, outcome: "unknown", booked: undefined };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /**
   * Reads a stream into `received` until it ends or the connection is lost.
   *
   * @returns Monotonic time in milliseconds of the first token, if there was one.
   */
  async #readStream(
    received: ReceivedGeneration,
    openStream: () => ReturnType<typeof request>,
  ): Promise<number | undefined> {
    const decoder = new TextDecoder();
    const { clock } = this.#services;
    let firstMs: number | undefined;
    let lastMs: number | undefined;
    const parser = createParser({
      onEvent: ({ id, data, event }) => {
        if (event === "error") {
          const problem = JSON.parse(data) as ProblemFields;
          received.outcome = problem.outcome ?? "interrupted";
        } else if (data === "[DONE]") received.outcome = "completed";
        else if (id !== undefined) {
          addToken(id, received, data);
          const nowMs = clock.monotonicMs();
          firstMs ??= nowMs;
          if (lastMs !== undefined) {
            this.#services.onToken(received.tokens.at(-1)!.id, lastMs);
          }
          lastMs = nowMs;
        }
      },
    });
    try {
      const response = await openStream();
      if (response.statusCode !== HTTP_OK) {
        const problem = await response.body.json() as ProblemFields;
        received.outcome = toStreamOutcome(problem);
        return undefined;
      }
      for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
        parser.feed(decoder.decode(chunk, { stream: true }));
      }
    } catch {
      // The connection was lost; the received tokens are kept.
    }
    return firstMs;
  }

  async #sendCallOnce(
    body: string,
    key: string | undefined,
  ): Promise<ReceivedCall> {
    try {
      const response = await request(
        `http://${this.#services.pickDaemon()}/app/calls`,
        {
          method: "POST",
          headers: {
            ...AUTHORIZATION,
            "content-type": "text/plain",
            ...(key === undefined ? {} : { "idempotency-key": key }),
          },
          body,
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
        },
      );
      const fields = await response.body.json() as ProblemFields & {
        readonly booked?: string;
      };
      if (response.statusCode === HTTP_OK) {
        return { body, outcome: "completed", booked: fields.booked };
      }
      const isRunning = response.statusCode === HTTP_CONFLICT;
      const outcome = isRunning ? "unknown" : fields.outcome ?? "no-answer";
      return { body, outcome, booked: undefined };
    } catch {
      return { body, outcome: "no-answer", booked: undefined };
    }
  }

  #postGeneration(prompt: string, stream: boolean): ReturnType<typeof request> {
    return request(`http://${this.#services.pickDaemon()}/v1/completions`, {
      method: "POST",
      headers: { ...AUTHORIZATION, "content-type": "application/json" },
      body: JSON.stringify({ model: "m", prompt, stream, max_tokens: 100 }),
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
  }

  #resumeGeneration(id: string, offset: number): ReturnType<typeof request> {
    const address = this.#services.pickDaemon();
    return request(`http://${address}/v1/generations/${id}?kind=text`, {
      headers: { ...AUTHORIZATION, "last-event-id": `${id}:${offset}` },
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
  }
}

/**
 * Treats a retryable interruption as a missing response, so that the generation
 * is resumed on another host.
 */
function toStreamOutcome({ outcome, retryable }: ProblemFields): CallerOutcome {
  if (outcome === "interrupted" && retryable === true) return "no-answer";
  return outcome ?? "no-answer";
}

function addToken(
  eventId: string,
  received: ReceivedGeneration,
  data: string,
): void {
  const { choices } = JSON.parse(data) as ChunkFields;
  const separator = eventId.lastIndexOf(":");
  const id = eventId.slice(0, separator);
  const offset = Number(eventId.slice(separator + 1));
  received.tokens.push({ id, offset, text: choices[0]!.text });
}
