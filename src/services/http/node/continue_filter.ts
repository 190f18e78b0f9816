/**
 * Lets the HTTP client accept `100 Continue`, which it takes for a failure of
 * the server. Recipients have to parse any interim response, also one that they
 * have not asked for (RFC 9110, section 15.2).
 */

import type { Socket } from "node:net";

/** Position of the status code after `HTTP/1.1 `. */
const STATUS_POSITION = 9;
const LAST_STATUS_POSITION = 11;
const CR = 13;
const LF = 10;
const [ZERO, ONE, THREE] = [48, 49, 51];

/**
 * Changes the status of `100 Continue` into that of another interim response
 * without a meaning of its own, before the client reads it.
 */
export class ContinueFilter {
  #part: "status-line" | "interim-head" | "final" = "final";
  /** Number of bytes read of the status line. */
  #position = 0;
  #status: number[] = [];
  #lineBytes = 0;

  /** @param socket - Socket that only calls of `read` take data from. */
  constructor(socket: Socket) {
    const read = socket.read.bind(socket);
    socket.read = (sizeBytes?: number): unknown => {
      const chunk: unknown = read(sizeBytes);
      if (chunk instanceof Uint8Array) this.#scan(chunk);
      return chunk;
    };
  }

  /** The next byte that is received begins the response to a request. */
  expectResponse(): void {
    this.#part = "status-line";
    this.#position = 0;
  }

  #scan(chunk: Uint8Array): void {
    for (let index = 0; index < chunk.length; index++) {
      switch (this.#part) {
        case "final":
          return;
        case "status-line":
          this.#scanStatusLine(chunk, index);
          break;
        case "interim-head":
          this.#scanInterimHead(chunk[index]!);
      }
    }
  }

  #scanStatusLine(chunk: Uint8Array, index: number): void {
    const byte = chunk[index]!;
    // Parsers ignore empty lines before a status line.
    if (this.#position === 0 && (byte === CR || byte === LF)) return;
    const position = this.#position++;
    if (position < STATUS_POSITION) return;
    if (position === STATUS_POSITION) this.#status = [];
    this.#status.push(byte);
    if (position < LAST_STATUS_POSITION) return;
    const [first, second, third] = this.#status;
    if (first !== ONE) {
      this.#part = "final";
      return;
    }
    if (second === ZERO && third === ZERO) chunk[index] = THREE;
    this.#part = "interim-head";
    this.#lineBytes = this.#position;
  }

  #scanInterimHead(byte: number): void {
    if (byte === CR) return;
    if (byte !== LF) this.#lineBytes++;
    else if (this.#lineBytes === 0) this.expectResponse();
    else this.#lineBytes = 0;
  }
}
