/** Answers what the HTTP parser refuses, before there is a request. */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { toProblemBody } from "../../services/outcomes/common/failure.ts";
import { withClientError } from "../common/openai_format.ts";
import { refusal } from "./problem_reply.ts";

const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";
/** Other errors are those of the connection or of its TLS handshake. */
const PARSER_ERROR_CODE_PREFIX = "HPE_";
const REQUEST_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Knows which answers are open on each connection. */
export class MalformedRequestHandler {
  readonly #openResponses = new WeakMap<Socket, Set<ServerResponse>>();

  /**
   * Starts to follow the answers of a server.
   *
   * @param server - The server.
   */
  trackResponses(server: Server): void {
    server.on("request", (request, response) => {
      const open = this.#openResponses.get(request.socket) ?? new Set();
      this.#openResponses.set(request.socket, open.add(response));
      response.on("close", () => open.delete(response));
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
  handleError(error: Error & { readonly code?: string }, socket: Socket): void {
    const open = [...this.#openResponses.get(socket) ?? []];
    const mayHaveRun = open.some(({ req, headersSent }) =>
      req.complete || headersSent
    );
    const isParserError = error.code === REQUEST_TIMEOUT_CODE ||
      error.code?.startsWith(PARSER_ERROR_CODE_PREFIX) === true;
    if (!isParserError || !socket.writable || mayHaveRun) {
      socket.destroy();
      return;
    }
    socket.end(formatErrorResponse(error.code));
  }
}

function formatErrorResponse(code: string | undefined): string {
  const { status, detail } = describeError(code);
  const problem = toProblemBody(refusal("bad-request", detail));
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

function describeError(
  code: string | undefined,
): { readonly status: number; readonly detail: string } {
  if (code === HEADER_OVERFLOW_CODE) {
    return { status: 431, detail: "the header lines are too large" };
  }
  if (code === REQUEST_TIMEOUT_CODE) {
    return { status: 408, detail: "the request did not arrive in time" };
  }
  return { status: 400, detail: "the request is not valid HTTP/1.1" };
}
