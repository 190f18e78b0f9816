import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type Address, asId } from "../../../base/common/ids.ts";
import type { EngineFrame, StreamClose } from "../common/engine_client.ts";
import { HttpEngineClient } from "./http_engine_client.ts";

const GOOD = 'data: {"g":"g","o":0,"t":"first"}\n\n';

interface Received {
  readonly frames: readonly EngineFrame[];
  readonly close: StreamClose;
}

/**
 * Starts a server that responds to every request with a text and keeps the
 * connection open.
 */
async function serve(text: string): Promise<Server> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(text);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function receive(text: string): Promise<Received> {
  const server = await serve(text);
  const { port } = server.address() as AddressInfo;
  const address = asId<Address>(`127.0.0.1:${port}`);
  const client = new HttpEngineClient();
  const frames: EngineFrame[] = [];
  const close = await new Promise<StreamClose>((resolve) => {
    client.resume({ id: asId("e"), address }, asId("g"), 0, {
      onAccepted: () => undefined,
      onFrames: (arrived) => frames.push(...arrived),
      onClosed: resolve,
    });
  });
  client.dispose();
  server.closeAllConnections();
  server.close();
  return { frames, close };
}

describe("HttpEngineStream", () => {
  const malformed = {
    "invalid JSON": "data: {\n\n",
    "no generation id": 'data: {"o":1,"t":"x"}\n\n',
    "a negative offset": 'data: {"g":"g","o":-1,"t":"x"}\n\n',
    "a token of one megabyte": `data: {"g":"g","o":1,"t":"${
      "x".repeat(1_048_576)
    }"}\n\n`,
    "an unterminated event": `data: ${"x".repeat(1_048_576)}`,
  };

  for (const [what, text] of Object.entries(malformed)) {
    it(`closes the connection at a frame with ${what}`, async () => {
      const { frames, close } = await receive(GOOD + text);
      expect(close.kind).toBe("lost");
      expect(frames).toEqual([
        { kind: "token", generation: "g", offset: 0, text: "first" },
      ]);
    });
  }

  it("reports a port on which no process listens as down", async () => {
    const server = await serve("");
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    const client = new HttpEngineClient();
    const address = asId<Address>(`127.0.0.1:${port}`);
    const close = await new Promise<StreamClose>((resolve) => {
      client.resume({ id: asId("e"), address }, asId("g"), 0, {
        onAccepted: () => undefined,
        onFrames: () => undefined,
        onClosed: resolve,
      });
    });
    client.dispose();
    expect(close).toMatchObject({ kind: "not-run", reason: "down" });
  });
});
