/** A caller of the demo, over HTTP. */

import { createParser } from "eventsource-parser";
import { request } from "undici";
import type { Address } from "../../src/base/common/ids.ts";
import { DEMO_API_KEY } from "./demo_deployment.ts";

/** What a caller has received of a generation. */
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

/** @returns An empty record to receive into. */
export function createStreamRecord(): StreamRecord {
  return { id: "", texts: [], offsets: [], isDone: false, problem: undefined };
}

/**
 * Streams a chat completion.
 *
 * @param address - Daemon to ask.
 * @param prompt - The prompt.
 * @param className - Class of the request.
 * @param received - Filled while the stream runs.
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

/** Goes on with a generation at another daemon, after the last token. */
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

/** Books a trial. */
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
    // The connection broke; what has arrived stays in the record.
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
