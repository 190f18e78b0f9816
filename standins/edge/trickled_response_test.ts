/**
 * Servers that send a byte now and then, without end or not to the end, to the
 * clients of the product's own wire.
 */

import { createServer, type Server, type ServerResponse } from "node:http";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { leftOf } from "../../src/base/common/result.ts";
import { HttpEngineClient } from "../../src/services/endpoints/node/http_engine_client.ts";
import { HttpHostListClient } from "../../src/services/hosts/node/http_host_list_client.ts";
import { listenAt } from "../../src/services/http/node/listen.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";

/** Longer than any of the calls may take. */
const TEST_LIMIT_MS = 20_000;
const CHUNK = " ".repeat(65_536);
const MAX_SENT_BYTES = 200_000_000;

const servers: Server[] = [];
const disposables: { dispose(): void }[] = [];

async function serve(
  answer: (response: ServerResponse) => void,
): Promise<Address> {
  const server = createServer((_request, response) => answer(response));
  servers.push(server);
  return listenAt(server, "127.0.0.1:0" as Address);
}

afterEach(() => {
  for (const one of disposables.splice(0)) one.dispose();
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

const CALLS: Readonly<Record<string, (address: Address) => Promise<unknown>>> =
  {
    "the host list": async (address) =>
      leftOf(await new HttpHostListClient(address).read()),
    "the store": async (address) => {
      const client = new EtcdStoreClient([address]);
      disposables.push(client);
      return leftOf(await client.list("all/"));
    },
    "an engine's load": async (address) => {
      const client = new HttpEngineClient();
      disposables.push(client);
      return leftOf(
        await client.readLoad({ id: asId("e1"), address } as never),
      );
    },
  };

describe.each(Object.entries(CALLS))("a call for %s", (_name, call) => {
  it("ends when the response arrives a byte now and then", async () => {
    const address = await serve((response) => {
      const timer = setInterval(() => response.write(" "), 200);
      response.on("close", () => clearInterval(timer));
    });
    const result = await Promise.race([
      call(address),
      new Promise((resolve) => setTimeout(resolve, TEST_LIMIT_MS, "too late")),
    ]);
    expect(result).toMatchObject({ peer: address });
  });

  it("ends after a bounded number of bytes", async () => {
    let sentBytes = 0;
    const address = await serve((response) => {
      const send = (): void => {
        if (response.destroyed || sentBytes > MAX_SENT_BYTES) return;
        sentBytes += CHUNK.length;
        response.write(CHUNK, () => send());
      };
      send();
    });
    expect(await call(address)).toMatchObject({ peer: address });
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  it("fails when the response breaks off", async () => {
    const address = await serve((response) => {
      response.writeHead(200, { "content-length": "100" });
      response.write("[");
      setTimeout(() => response.destroy(), 50);
    });
    expect(await call(address)).toMatchObject({ peer: address });
  });
});
