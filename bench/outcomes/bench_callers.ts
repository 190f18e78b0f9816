/** Callers of the bench, over HTTP. */

import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { BENCH_API_KEY } from "./loopback_deployment.ts";

/** What a caller was told, or that it was told nothing. */
export type CallerOutcome =
  | "completed"
  | "not-run"
  | "interrupted"
  | "unknown"
  /** The connection broke before an answer began. */
  | "no-answer";

/** What a caller has received of a generation. */
export interface ReceivedGeneration {
  readonly prompt: string;
  readonly tokens: {
    readonly id: string;
    readonly offset: number;
    readonly text: string;
  }[];
  outcome: CallerOutcome;
}

/** What a caller has received of a plain call. */
export interface ReceivedCall {
  readonly body: string;
  readonly outcome: CallerOutcome;
  readonly booked: string | undefined;
}

/** What the callers work with. */
export interface CallerServices {
  readonly clock: Clock;
  /** @returns A daemon that the balancer chose. */
  pickDaemon(): Address;
  /** Told of each token with the time since the one before. */
  onToken(id: string, previousMs: number): void;
  /** Told how long it took to go on after a connection broke. */
  onResumed(resumeMs: number): void;
}

interface ProblemFields {
  readonly outcome?: CallerOutcome;
  readonly retryable?: boolean;
}

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

/** Sends requests and resumes them as a careful client does. */
export class BenchCallers {
  readonly #services: CallerServices;
  readonly #agent = new Agent({ pipelining: 1 });

  /** @param services - What the callers work with. */
  constructor(services: CallerServices) {
    this.#services = services;
  }

  /** Streams a generation, and resumes it when the connection breaks. */
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

  /** Asks for a whole answer. */
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
      // The connection broke before the answer.
    }
    return received;
  }

  /** Sends a call; with a key, sends it again until it has an end. */
  async sendCall(body: string, key: string | undefined): Promise<ReceivedCall> {
    let received = await this.#sendCallOnce(body, key);
    if (key === undefined || received.outcome !== "no-answer") return received;
    for (let attempts = 1; attempts < MAX_KEYED_ATTEMPTS; attempts++) {
      received = await this.#sendCallOnce(body, key);
      // A refusal of this try says nothing of the one without an answer.
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

  /** @returns When the first token came, if one did. */
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
      // The connection broke; what has arrived stays.
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

/** A resume that was refused for now may be tried at another host. */
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
