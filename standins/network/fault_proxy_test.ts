import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOnLoopback } from "../../platform/standins/loopback_server.ts";
import { FaultProxy } from "./fault_proxy.ts";

describe("FaultProxy", () => {
  let server: Server;
  let accepted: Promise<Socket>;
  let proxy: FaultProxy;
  let client: Socket;
  let received: string;
  let end: Promise<"end" | "reset">;

  beforeEach(async () => {
    server = createServer();
    accepted = new Promise((resolve) =>
      server.once("connection", (socket: Socket) => {
        socket.on("error", () => undefined);
        resolve(socket);
      })
    );
    proxy = new FaultProxy(await listenOnLoopback(server));
    const [host, port] = (await proxy.listen()).split(":");
    client = connect(Number(port), host);
    received = "";
    client.on("data", (bytes) => received += bytes.toString());
    end = new Promise((resolve) => {
      client.on("end", () => resolve("end"));
      client.on("error", () => resolve("reset"));
    });
  });

  afterEach(() => {
    client.destroy();
    proxy.close();
    server.close();
  });

  async function receive(text: string): Promise<void> {
    while (!received.endsWith(text)) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  it("passes the end of a connection on", async () => {
    const socket = await accepted;
    socket.end("whole");
    expect(await end).toBe("end");
    expect(received).toBe("whole");
  });

  it("passes a reset on", async () => {
    const socket = await accepted;
    socket.write("part");
    await receive("part");
    socket.resetAndDestroy();
    expect(await end).toBe("reset");
  });

  it.each([true, false])(
    "ends no connection in order after it has lost bytes (one way: %s)",
    async (isOneWay) => {
      const socket = await accepted;
      socket.write("part");
      await receive("part");
      proxy.setFault({ kind: "silence", isOneWay });
      socket.end("lost");
      proxy.setFault({ kind: "none" });
      expect(await end).toBe("reset");
      expect(received).toBe("part");
    },
  );
});
