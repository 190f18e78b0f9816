/** Holds a port that a daemon needs, as another process of its machine does. */

import { createServer, type Server } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { Address } from "../src/base/common/ids.ts";
import type { Disposable } from "../src/base/common/lifecycle.ts";
import { listenAt } from "../src/services/http/node/listen.ts";

const RETRY_INTERVAL_MS = 5;

/** A port that is held until it is disposed of. */
export class HeldPort implements Disposable {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * Takes a port, once no other process holds it.
   *
   * @param address - Address to listen at.
   * @param maxWaitMs - Time in milliseconds in which the port becomes free.
   * @returns The port, or `undefined` if it did not become free.
   */
  static async take(
    address: Address,
    maxWaitMs: number,
  ): Promise<HeldPort | undefined> {
    const endMs = Date.now() + maxWaitMs;
    while (Date.now() < endMs) {
      // Whoever connects meets a process that speaks another protocol.
      const server = createServer((socket) => socket.destroy());
      const isTaken = await listenAt(server, address).then(
        () => true,
        () => false,
      );
      if (isTaken) return new HeldPort(server);
      await wait(RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  /** Frees the port. */
  dispose(): void {
    this.#server.close();
  }
}
