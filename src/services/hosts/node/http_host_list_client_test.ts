import { createServer, type Server, type ServerResponse } from "node:http";
import { type Address } from "../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import { listenAt } from "../../http/node/listen.ts";
import { HttpHostListClient } from "./http_host_list_client.ts";

/** Longer than a read may take. */
const TEST_LIMIT_MS = 6_000;
const CHUNK = " ".repeat(65_536);

const servers: Server[] = [];

async function serve(answer: (response: ServerResponse) => void) {
  const server = createServer((_request, response) => answer(response));
  servers.push(server);
  const address = await listenAt(server, "127.0.0.1:0" as Address);
  return new HttpHostListClient(address);
}

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

describe("the client of the host list", () => {
  it("ends a response that sends a byte now and then", async () => {
    const client = await serve((response) => {
      const timer = setInterval(() => response.write(" "), 200);
      response.on("close", () => clearInterval(timer));
    });
    const result = await Promise.race([
      client.read(),
      new Promise<undefined>((resolve) =>
        setTimeout(() => resolve(undefined), TEST_LIMIT_MS)
      ),
    ]);
    expect(result && leftOf(result)?.step).toBe("hosts.read");
  });

  it("ends a response without end after a bounded number of bytes", async () => {
    let sentBytes = 0;
    const client = await serve((response) => {
      const send = (): void => {
        if (response.destroyed || sentBytes > 100_000_000) return;
        sentBytes += CHUNK.length;
        response.write(CHUNK, () => send());
      };
      send();
    });
    const result = await client.read();
    expect(leftOf(result)?.detail).toMatch(/exceeds/);
    expect(sentBytes).toBeLessThan(100_000_000);
  });

  it("reports a list that breaks off", async () => {
    const client = await serve((response) => {
      response.writeHead(200, { "content-length": "100" });
      response.write("[");
      setTimeout(() => response.destroy(), 50);
    });
    expect(rightOf(await client.read())).toBeUndefined();
  });
});
