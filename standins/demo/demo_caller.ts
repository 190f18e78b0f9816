/** HTTP caller of the demo, which records the events of a stream. */

import { createParser } from "eventsource-parser";
import { request } from "undici";
import type { Address } from "../../src/base/common/ids.ts";
import { DEMO_API_KEY } from "./demo_deployment.ts";

/** The part of a generation that a caller has received. */
export interface StreamRecord {
  id: string;
  texts: string[];
  offsets: number[];
  isDone: boolean;
  problem: string | undefined;
}

interface ChunkBody {
  readonly choices: readonly {
    readonly delta?: { readonly content?: string };
  }[];
}

const AUTHORIZATION_HEADERS = { authorization: `Bearer ${DEMO_API_KEY}` };

/** @returns An empty record. */
export function createStreamRecord(): StreamRecord {
  return { id: "", texts: [], offsets: [], isDone: false, problem: undefined };
}

/**
 * Streams a chat completion.
 *
 * @param address - Address of the daemon for callers.
 * @param prompt - The prompt.
 * @param className - Service class of the request.
 * @param received - Record to which received events are added.
 */
export async function streamChat(
  address: Address,
  prompt: string,
  className: string,
  received: StreamRecord,
): Promise<void> {
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      ...AUTHORIZATION_HEADERS,
      "content-type": "application/json",
      "x-ragwort-class": className,
    },
    body: JSON.stringify({
      model: "timetable-1",
      stream: true,
      messages: [{ role: "user", content: prompt }],
    }),
  });
  received.id = String(response.headers["x-ragwort-generation"] ?? "");
  await readEvents(response.body, received);
}

/** Resumes a generation on another daemon, after the last received token. */
export async function resumeChat(
  address: Address,
  received: StreamRecord,
): Promise<void> {
  const last = received.offsets.at(-1) ?? -1;
  const response = await request(
    `http://${address}/v1/generations/${received.id}`,
    {
      headers: {
        ...AUTHORIZATION_HEADERS,
        "last-event-id": `${received.id}:${last}`,
      },
    },
  );
  await readEvents(response.body, received);
}

/** Sends a booking to the app service, with an idempotency key. */
export async function book(
  address: Address,
  key: string,
  body: string,
): Promise<{ readonly status: number; readonly text: string }> {
  const response = await request(`http://${address}/bookings/trial`, {
    method: "POST",
    headers: {
      ...AUTHORIZATION_HEADERS,
      "idempotency-key": key,
      "content-type": "text/plain",
    },
    body,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

async function readEvents(
  body: AsyncIterable<Uint8Array>,
  received: StreamRecord,
): Promise<void> {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({ id, data, event }) => {
      if (event === "error") received.problem = data;
      else if (data === "[DONE]") received.isDone = true;
      else addChunk(received, id, JSON.parse(data) as ChunkBody);
    },
  });
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
  } catch {
    // The connection was closed; the record keeps the events received before.
  }
}

function addChunk(
  received: StreamRecord,
  id: string | undefined,
  chunk: ChunkBody,
): void {
  const text = chunk.choices[0]?.delta?.content;
  if (text === undefined || id === undefined) return;
  received.texts.push(text);
  received.offsets.push(Number(id.slice(id.lastIndexOf(":") + 1)));
}
