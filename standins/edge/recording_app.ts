/** Stand-in app service that keeps the raw bytes that arrive. */

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type Address, asId } from "../../src/base/common/ids.ts";

const DEFAULT_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** One connection of the service. */
export interface RecordedConnection {
  readonly socket: Socket;
  received: string;
}

/** Answers each request that has arrived whole with prepared bytes. */
export class RecordingApp {
  readonly connections: RecordedConnection[] = [];
  /** Bytes that answer a request; `undefined` leaves it without an answer. */
  createResponse: (request: string) => string | undefined = () =>
    DEFAULT_RESPONSE;
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  /** @returns Its address, once it listens. */
  async listen(): Promise<Address> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return asId<Address>(`127.0.0.1:${port}`);
  }

  /** All that has arrived, in the order of the connections. */
  get received(): string {
    return this.connections.map((connection) => connection.received).join("");
  }

  /** Closes everything. */
  close(): void {
    for (const { socket } of this.connections) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    const connection: RecordedConnection = { socket, received: "" };
    this.connections.push(connection);
    let pending = "";
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => {
      const text = chunk.toString("latin1");
      connection.received += text;
      pending += text;
      if (!isCompleteRequest(pending)) return;
      const answer = this.createResponse(pending);
      pending = "";
      if (answer !== undefined) socket.write(answer, "latin1");
    });
  }
}

function isCompleteRequest(text: string): boolean {
  const head = text.indexOf("\r\n\r\n");
  if (head < 0) return false;
  const length = /^content-length: *(\d+)/im.exec(text.slice(0, head))?.[1];
  return text.length - head - 4 >= Number(length ?? 0);
}
