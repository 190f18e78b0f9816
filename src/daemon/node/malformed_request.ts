/** Answers what the HTTP parser refuses, before there is a request. */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { toProblemBody } from "../../services/outcomes/common/failure.ts";
import { withClientError } from "../common/openai_format.ts";
import { refuse } from "./problem_reply.ts";

const HEADERS_TOO_LARGE = "HPE_HEADER_OVERFLOW";
/** Other errors are those of the connection or of its TLS handshake. */
const PARSER_ERROR_PREFIX = "HPE_";
const TOO_SLOW = "ERR_HTTP_REQUEST_TIMEOUT";

/** Knows which answers are open on each connection. */
export class MalformedRequestHandler {
  readonly #openAnswers = new WeakMap<Socket, Set<ServerResponse>>();

  /**
   * Starts to follow the answers of a server.
   *
   * @param server - The server.
   */
  follow(server: Server): void {
    server.on("request", (request, answer) => {
      const open = this.#openAnswers.get(request.socket) ?? new Set();
      this.#openAnswers.set(request.socket, open.add(answer));
      answer.on("close", () => open.delete(answer));
    });
  }

  /**
   * Answers and closes the connection. While an earlier request of the
   * connection has no whole answer, nothing is written: the caller would take
   * it for the answer to that request.
   *
   * @param error - What the parser found.
   * @param socket - The connection.
   */
  answer(error: Error & { readonly code?: string }, socket: Socket): void {
    const open = [...this.#openAnswers.get(socket) ?? []];
    const mayHaveRun = open.some(({ req, headersSent }) =>
      req.complete || headersSent
    );
    const isHttpError = error.code === TOO_SLOW ||
      error.code?.startsWith(PARSER_ERROR_PREFIX) === true;
    if (!isHttpError || !socket.writable || mayHaveRun) {
      socket.destroy();
      return;
    }
    socket.end(formatAnswer(error.code));
  }
}

function formatAnswer(code: string | undefined): string {
  const { status, detail } = describe(code);
  const problem = toProblemBody(refuse("bad-request", detail));
  const body = JSON.stringify(withClientError({ ...problem, status }));
  return [
    `HTTP/1.1 ${status} Refused`,
    "Content-Type: application/problem+json",
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
    "",
    body,
  ].join("\r\n");
}

function describe(
  code: string | undefined,
): { readonly status: number; readonly detail: string } {
  if (code === HEADERS_TOO_LARGE) {
    return { status: 431, detail: "the header lines are too large" };
  }
  if (code === TOO_SLOW) {
    return { status: 408, detail: "the request did not arrive in time" };
  }
  return { status: 400, detail: "the request is not valid HTTP/1.1" };
}
