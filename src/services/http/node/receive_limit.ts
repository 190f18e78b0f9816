/**
 * Bounds what a server may send in answer to one request, whatever it consists
 * of. Parsers bound headers and bodies, but not all parts of a response.
 */

import type { Socket } from "node:net";

/** Counts the bytes received since the last request on one connection. */
export class ReceiveLimit {
  readonly #socket: Socket;
  #maxBytes: number;
  #writtenBytes = 0;
  #readBeforeBytes = 0;
  #lastReadBytes = 0;

  /**
   * @param socket - Socket of the connection. It is destroyed when the limit is
   * exceeded.
   * @param maxBytes - Maximum number of bytes after each request.
   */
  constructor(socket: Socket, maxBytes: number) {
    this.#socket = socket;
    this.#maxBytes = maxBytes;
    socket.on("readable", () => this.#check());
  }

  /** Replaces the limit. */
  set maxBytes(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  #check(): void {
    const { bytesRead, bytesWritten } = this.#socket;
    if (bytesWritten !== this.#writtenBytes) {
      this.#writtenBytes = bytesWritten;
      this.#readBeforeBytes = this.#lastReadBytes;
    }
    this.#lastReadBytes = bytesRead;
    if (bytesRead - this.#readBeforeBytes <= this.#maxBytes) return;
    this.#socket.destroy(
      new Error(`the response is larger than ${this.#maxBytes} bytes`),
    );
  }
}
