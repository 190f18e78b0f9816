/** Sends one request of a soak, and records what its caller receives. */

import { type Agent, request as sendRequest } from "node:http";
import type { DaemonProcess } from "./daemon_process.ts";
import type { RequestResult, SentRequest } from "./invariant_checker.ts";

/** Part that all prompts share. */
export const SYSTEM_PART = "5c1e";
/** Time within which a request is to be answered, which its head says. */
export const REQUEST_TIMEOUT_MS = 8_000;
/** Time after the deadline in which its answer still reaches the caller. */
const LATE_ANSWER_MS = 1_500;
/** Begins the codes of errors of the HTTP parser. */
const MALFORMED_PREFIX = "HPE_INVALID";
const UPLOAD_CHUNK_CHARACTERS = 60_000;

/** What only some requests need. */
export interface SendOptions {
  /** Number of events after which the connection is closed. */
  readonly breakAfterEvents?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Sends a request to a daemon.
 *
 * @param agent - Keeps the connections.
 * @param daemon - Daemon that receives the request.
 * @param sent - Id and API key of the request.
 * @param path - Path of the request.
 * @param body - Body, whose length is declared if it is short.
 * @param options - What only some requests need.
 * @returns What came back.
 */
export function sendToDaemon(
  agent: Agent,
  daemon: DaemonProcess,
  { id, key }: SentRequest,
  path: string,
  body: string,
  { breakAfterEvents, headers }: SendOptions = {},
): Promise<RequestResult> {
  const { ip, port } = daemon.options;
  return new Promise((resolve) => {
    let text = "";
    let status: number | undefined;
    let stamp: string | undefined;
    let isByCaller = false;
    let isUnanswered = false;
    let isConnected = false;
    let malformation: string | undefined;
    const sentMs = Date.now();
    const cut = (): void => {
      const isExcused = daemon.disturbedMs >= sentMs || !daemon.isServing;
      resolve({
        kind: "cut",
        status,
        stamp,
        text,
        isByCaller,
        ...(isUnanswered && { unanswered: { isExcused } }),
        ...(malformation !== undefined && { malformation }),
      });
    };
    const request = sendRequest({
      host: ip,
      port,
      path,
      method: "POST",
      agent,
      headers: {
        "Host": "app.example",
        "X-Request-Id": id,
        "X-Deadline-Ms": String(REQUEST_TIMEOUT_MS),
        "X-Token-Count": "300,400",
        "X-Prompt-Prefix": `${SYSTEM_PART}:80,${key}:40,${id}:200`,
        "Authorization": `Bearer ${key}`,
        ...headers,
      },
    }, (response) => {
      status = response.statusCode ?? 0;
      stamp = response.headers["x-response-stamp"]?.toString();
      response.on("data", (chunk) => {
        text += String(chunk);
        const eventCount = text.split("\n\n").length - 1;
        if (breakAfterEvents && eventCount >= breakAfterEvents) {
          isByCaller = true;
          cut();
          request.destroy();
        }
      });
      response.on("error", cut);
      response.on("close", () => {
        if (!response.complete) cut();
      });
      response.on("end", () => {
        if (!response.complete) cut();
        else resolve({ kind: "answered", status: status!, stamp, text });
      });
    });
    request.on("error", ({ code }: NodeJS.ErrnoException) => {
      if (code?.startsWith(MALFORMED_PREFIX)) malformation = code;
      cut();
    });
    request.on("socket", (socket) => {
      isConnected = !socket.connecting;
      if (socket.connecting) socket.once("connect", () => isConnected = true);
    });
    request.setTimeout(REQUEST_TIMEOUT_MS + LATE_ANSWER_MS, () => {
      isByCaller = true;
      isUnanswered = isConnected && status === undefined;
      request.destroy();
    });
    for (let at = 0; at < body.length; at += UPLOAD_CHUNK_CHARACTERS) {
      const isLast = at + UPLOAD_CHUNK_CHARACTERS >= body.length;
      const chunk = body.slice(at, at + UPLOAD_CHUNK_CHARACTERS);
      // With one write the length is declared.
      if (isLast) request.end(chunk);
      else request.write(chunk);
    }
    if (body === "") request.end();
  });
}
