import { flushPromises } from "../../src/base/common/clock.ts";
import type { RequestId } from "../../src/base/common/ids.ts";
import type { HeaderList } from "../../src/services/http/common/header_list.ts";
import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { APP, ENGINE, KEY } from "./harness_configuration.ts";

/** An exchange that cannot send the head of the endpoint's response. */
class HeadlessExchange extends FakeCallerExchange {
  override sendHead(status: number, headers: HeaderList): void {
    if (status < 500) throw new TypeError("invalid character in header");
    super.sendHead(status, headers);
  }
}

function exchangeFor(target: string, id = "r1" as RequestId): HeadlessExchange {
  const headers = ["host", "app.example", "id", id, "key", KEY];
  return new HeadlessExchange({
    target,
    headers: [...headers, "prompt", "3000,2000"],
  });
}

describe("an unexpected error while a request is served", () => {
  const ROUTES = ["/read/x", "/book/x", "/draft/x"];

  describe("before it was sent", () => {
    let harness: GatewayHarness;
    const endpoints = new FakeEndpoints();

    beforeEach(async () => {
      let sendCount = 0;
      harness = await GatewayHarness.create({
        client: {
          send: (request, listener) => {
            if (++sendCount === 1) throw new TypeError("Invalid URL");
            return endpoints.send(request, listener);
          },
          closeIdleConnections: () => undefined,
        },
      });
      harness.announce(APP, 1);
      harness.announce(ENGINE, 2);
    });

    it.each(ROUTES)(
      "refuses it with 503 and a time to come back, and serves others, on %s",
      async (target) => {
        const refused = await harness.send(target);
        expect(refused.status).toBe(503);
        expect(Number(refused.responseHeader("retry-after")))
          .toBeGreaterThan(0);
        expect(harness.logger.lastFields("request-crashed"))
          .toMatchObject({ request: "r1", detail: "Invalid URL" });
        const served = await harness.send(target);
        endpoints.last.respond(200, "id: 1\ndata: e\n\n");
        await flushPromises();
        expect(served.status).toBe(200);
      },
    );
  });

  // Guards against an error in a listener of an event, of the caller's connection
  // or of the fleet, that ends the process and with it all other requests.
  it.each(ROUTES)(
    "ends no other request when its caller has left, on %s",
    async (target) => {
      const endpoints = new FakeEndpoints();
      let sendCount = 0;
      const harness = await GatewayHarness.create({
        client: {
          send: (request, listener) => {
            const exchange = endpoints.send(request, listener);
            if (++sendCount > 1) return exchange;
            const abort = (): void => {
              throw new TypeError("already closed");
            };
            return { resume: () => undefined, abort };
          },
          closeIdleConnections: () => undefined,
        },
      });
      harness.announce(APP, 1);
      harness.announce(ENGINE, 2);
      const left = await harness.send(target);
      expect(() => left.disconnect()).not.toThrow();
      expect(harness.logger.lastFields("request-crashed"))
        .toMatchObject({ detail: "already closed" });
      expect(harness.gateway.activeCount).toBe(0);
      const served = await harness.send(target);
      endpoints.last.respond(200, "id: 1\ndata: e\n\n");
      await flushPromises();
      expect(served.status).toBe(200);
    },
  );

  it.each(ROUTES)(
    "after it may have run promises nothing, on %s",
    async (target) => {
      const harness = await GatewayHarness.create();
      harness.announce(APP, 1);
      harness.announce(ENGINE, 2);
      const exchange = exchangeFor(target);
      void harness.gateway.handle(exchange);
      await flushPromises();
      harness.endpoints.last.respond(200, "id: 1\ndata: e\n\n");
      await flushPromises();
      expect(exchange.status).toBe(502);
      expect(exchange.responseHeader("retry-after")).toBeUndefined();
      expect(harness.logger.lastFields("request-crashed")).toBeDefined();
      expect(harness.gateway.activeCount).toBe(0);
    },
  );
});
