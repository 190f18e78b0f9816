import { connect, type Socket } from "node:net";
import type { Address } from "../../../base/common/ids.ts";
import { SystemClock } from "../../../base/node/system_clock.ts";
import { splitAddress } from "../../settings/common/shared_schemas.ts";
import type { CallerExchange } from "../common/caller_exchange.ts";
import { CallerServer } from "./caller_server.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

describe("CallerListener", () => {
  let listener: CallerServer;
  let socket: Socket;
  let received: string;
  let exchanges: CallerExchange[];

  beforeEach(async () => {
    listener = new CallerServer(new SystemClock());
    exchanges = [];
    listener.onDidReceive((exchange) => exchanges.push(exchange));
    const address = await listener.listen("127.0.0.1:0" as Address);
    const { ip, port } = splitAddress(address);
    socket = connect({ host: ip, port });
    received = "";
    socket.on("data", (data) => received += data.toString());
    socket.on("error", () => undefined);
  });

  afterEach(() => {
    socket.destroy();
    listener.dispose();
  });

  async function until(isDone: () => boolean): Promise<void> {
    for (let turn = 0; turn < 500 && !isDone(); turn++) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    expect(isDone()).toBe(true);
  }

  it("closes a connection whose stream began before the stop, once it has ended", async () => {
    let isClosed = false;
    socket.on("close", () => isClosed = true);
    socket.write(REQUEST);
    await until(() => exchanges.length === 1);
    const [exchange] = exchanges;
    exchange!.sendHead(200, []);
    listener.announceConnectionClose();
    listener.closeIdleConnections();
    exchange!.write(Buffer.from("event"));
    expect(listener.activeCount).toBe(1);
    exchange!.end();
    await until(() => received.endsWith("0\r\n\r\n"));
    await until(() => listener.activeCount === 0);
    listener.closeIdleConnections();
    await until(() => isClosed);
  });

  it("closes a connection that has sent nothing yet", async () => {
    let isClosed = false;
    socket.on("close", () => isClosed = true);
    await until(() => listener.connectionCount === 1);
    listener.closeIdleConnections();
    await until(() => isClosed);
  });

  it("asks to close with each answer after the stop was announced", async () => {
    listener.announceConnectionClose();
    socket.write(REQUEST);
    await until(() => exchanges.length === 1);
    exchanges[0]!.reply(200, [], "done");
    await until(() => received.includes("done"));
    expect(received.toLowerCase()).toContain("connection: close");
  });

  it("ends an answer without length by closing, and claims no length", async () => {
    let hasEnded = false;
    socket.on("end", () => hasEnded = true);
    socket.write(REQUEST);
    await until(() => exchanges.length === 1);
    exchanges[0]!.sendHead(200, [], true);
    exchanges[0]!.write(Buffer.from("maybe"));
    exchanges[0]!.end();
    await until(() => hasEnded);
    expect(received.toLowerCase()).not.toContain("transfer-encoding");
    expect(received.toLowerCase()).not.toContain("content-length");
    expect(received.endsWith("maybe")).toBe(true);
  });

  it("resets a partial answer that is broken off", async () => {
    let isClosed = false;
    socket.on("close", () => isClosed = true);
    socket.write(REQUEST);
    await until(() => exchanges.length === 1);
    exchanges[0]!.sendHead(200, []);
    exchanges[0]!.write(Buffer.from("part"));
    exchanges[0]!.abort();
    await until(() => isClosed);
    expect(received.endsWith("0\r\n\r\n")).toBe(false);
  });

  it("takes the body of a large request only as fast as it is passed on", async () => {
    const sizeBytes = 8_000_000;
    socket.write(
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${sizeBytes}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(sizeBytes, "x"));
    await until(() => exchanges.length === 1);
    const read = await exchanges[0]!.readBody({
      maxBytes: sizeBytes,
      maxBufferedBytes: 100_000,
    });
    if (read.kind !== "streamed") throw new Error(read.kind);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(socket.writableLength).toBeGreaterThan(0);
    let passedBytes = 0;
    for await (const chunk of read.body.chunks()) passedBytes += chunk.length;
    expect(passedBytes).toBe(sizeBytes);
    exchanges[0]!.reply(200, [], "whole");
    await until(() => received.endsWith("whole"));
  });

  it("answers a caller whose body is too large, in the middle of it", async () => {
    socket.write("POST / HTTP/1.1\r\nHost: a\r\n");
    socket.write("Transfer-Encoding: chunked\r\n\r\n");
    socket.write(`1000\r\n${"x".repeat(4_096)}\r\n`);
    await until(() => exchanges.length === 1);
    const limits = { maxBytes: 2_000, collectedBytes: 1_000 };
    const read = await exchanges[0]!.readBody(limits);
    expect(read.kind).toBe("too-large");
    exchanges[0]!.reply(413, [], "too large");
    await until(() => received.endsWith("too large"));
  });

  it("closes a connection whose caller never ends a body that nobody reads", async () => {
    let isClosed = false;
    socket.on("close", () => isClosed = true);
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
    await until(() => exchanges.length === 1);
    exchanges[0]!.reply(503, [], "busy");
    await until(() => received.endsWith("busy"));
    await until(() => isClosed);
  });

  it("answers 400 to what is no request, such as two lengths", async () => {
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    );
    await until(() => received.startsWith("HTTP/1.1 400"));
    expect(exchanges).toHaveLength(0);
  });
});
