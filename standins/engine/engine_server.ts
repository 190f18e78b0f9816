/** The stand-in engine on a port. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { asId, type GenerationId } from "../../src/base/common/ids.ts";
import type {
  EngineFrame,
  EngineRequest,
  FencedOrder,
} from "../../src/services/endpoints/common/engine_client.ts";
import type { SimulatedEngine } from "./simulated_engine.ts";
import type { FrameListener } from "./sequence.ts";

const NOT_RUN_HEADERS = { "x-not-run": "1" };
const SSE_HEADERS = { "content-type": "text/event-stream" };

/**
 * Creates the server; it does not listen yet. While the engine is down it
 * breaks every connection.
 *
 * @param engine - The engine behind it.
 */
export function createEngineServer(engine: SimulatedEngine): Server {
  return createServer((request, response) => {
    if (engine.isDown) request.socket.destroy();
    else void route(engine, request, response);
  });
}

async function route(
  engine: SimulatedEngine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://engine");
  const id = asId<GenerationId>(url.pathname.split("/")[2] ?? "");
  switch (`${request.method} /${url.pathname.split("/")[1]}`) {
    case "POST /generations":
      start(
        engine,
        JSON.parse(await readBody(request)) as EngineRequest,
        response,
      );
      return;
    case "GET /generations":
      resume(engine, id, Number(url.searchParams.get("from") ?? 0), response);
      return;
    case "DELETE /generations":
      sendJson(response, 200, { result: engine.cancel(id) });
      return;
    case "GET /load":
      sendJson(response, 200, engine.readLoad());
      return;
    case "GET /cache-events":
      sendJson(
        response,
        200,
        engine.readCacheEvents(Number(url.searchParams.get("after") ?? 0)),
      );
      return;
    case "POST /orders": {
      const state = engine.order(
        JSON.parse(await readBody(request)) as FencedOrder,
      );
      sendJson(response, state ? 200 : 412, state ?? { error: "stale fence" });
      return;
    }
    case "GET /state":
      sendJson(response, 200, engine.readState());
      return;
    default:
      sendJson(response, 404, { error: "no such call" });
  }
}

function start(
  engine: SimulatedEngine,
  request: EngineRequest,
  response: ServerResponse,
): void {
  const reader = new SseListener(response);
  const result = engine.start(request, reader);
  if (result !== "accepted") {
    response.writeHead(503, NOT_RUN_HEADERS).end();
    return;
  }
  response.on("close", () => engine.detach(request.id, reader));
}

function resume(
  engine: SimulatedEngine,
  id: GenerationId,
  fromOffset: number,
  response: ServerResponse,
): void {
  const reader = new SseListener(response);
  if (!engine.attach(id, fromOffset, reader)) {
    sendJson(response, 404, { error: "not known" });
    return;
  }
  reader.open();
  response.on("close", () => engine.detach(id, reader));
}

/** Writes frames as server-sent events. */
class SseListener implements FrameListener {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends the head of the answer. */
  open(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, SSE_HEADERS);
    this.#response.flushHeaders();
  }

  onFrames(frames: readonly EngineFrame[]): void {
    this.open();
    this.#response.write(frames.map(formatFrame).join(""));
  }

  onClosed(reason: "closed" | "broken"): void {
    if (reason === "closed") this.#response.end();
    else this.#response.destroy();
  }
}

function formatFrame(frame: EngineFrame): string {
  const { generation: g, offset: o } = frame;
  const data = frame.kind === "token"
    ? { g, o, t: frame.text }
    : { g, o, finish: frame.finish };
  return `id: ${o}\ndata: ${JSON.stringify(data)}\n\n`;
}

async function readBody(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text;
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
