/** An open socket that waits for its first request. */

import type { Socket } from "node:net";

/** Closes the socket if the server ends it or sends anything unasked. */
export class KeptSocket {
  readonly #socket: Socket;
  #isTaken = false;
  #isClosed = false;
  readonly #close = (): void => {
    this.#isClosed = true;
    this.#socket.destroy();
  };

  /** @param socket - An open socket without listeners for data. */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", this.#close);
    socket.on("end", this.#close);
    socket.on("close", this.#close);
  }

  /** Whether a request can still be sent. */
  get isOpen(): boolean {
    return !this.#isClosed && !this.#isTaken;
  }

  /** @returns The socket, which is no longer watched. */
  take(): Socket {
    this.#isTaken = true;
    this.#socket.off("data", this.#close);
    this.#socket.off("end", this.#close);
    this.#socket.off("close", this.#close);
    this.#socket.pause();
    return this.#socket;
  }

  /** Closes the socket, unless it was taken. */
  dispose(): void {
    if (!this.#isTaken) this.#close();
  }
}
