/** Fake app service that records the raw bytes of its requests. */

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type Address, asId } from "../../src/base/common/ids.ts";

const DEFAULT_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Connection to the service with the bytes received over it. */
export interface RecordedConnection {
  readonly socket: Socket;
  received: string;
}

/** Responds to each complete request with configured bytes. */
export class RecordingApp {
  readonly connections: RecordedConnection[] = [];
  /** Returns the bytes of the response, or `undefined` to send no response. */
  createResponse: (request: string) => string | undefined = () =>
    DEFAULT_RESPONSE;
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  /** @returns The address of the service, once it is listening. */
  async listen(): Promise<Address> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return asId<Address>(`127.0.0.1:${port}`);
  }

  /** All bytes received, decoded as Latin-1, in the order of connections. */
  get received(): string {
    return this.connections.map((connection) => connection.received).join("");
  }

  /** Closes all connections and stops listening. */
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
      const response = this.createResponse(pending);
      pending = "";
      if (response !== undefined) socket.write(response, "latin1");
    });
  }
}

function isCompleteRequest(text: string): boolean {
  const headLength = text.indexOf("\r\n\r\n");
  if (headLength < 0) return false;
  const length = /^content-length: *(\d+)/im.exec(text.slice(0, headLength))
    ?.[1];
  return text.length - headLength - 4 >= Number(length ?? 0);
}
