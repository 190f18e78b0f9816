import { flushPromises } from "../../src/base/common/clock.ts";
import { NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import { APP, configuration, GatewayHarness } from "./gateway_harness.ts";

describe("Gateway", () => {
  let world: GatewayHarness;

  beforeEach(async () => {
    world = await GatewayHarness.create();
    world.announce(APP, 1);
    world.announce(APP, 2);
  });

  describe("admission", () => {
    it("refuses an unknown key, and says 503 when it may only be new", async () => {
      expect((await world.send("/read/x", ["key", "?"])).status).toBe(401);
      world.confirmationAgeMs = 2_000;
      const uncertain = await world.send("/read/x", ["key", "?"]);
      expect(uncertain.status).toBe(503);
      expect(Number(uncertain.responseHeader("retry-after"))).toBeGreaterThan(
        0,
      );
    });

    it("refuses an unknown route in the same two ways", async () => {
      const unknown = ["host", "other.example"];
      expect((await world.send("nowhere", unknown)).status).toBe(400);
      world.state.apply(configuration(2, { routes: [] }), 2);
      expect((await world.send("/read/x")).status).toBe(404);
      world.confirmationAgeMs = 2_000;
      expect((await world.send("/read/x")).status).toBe(503);
    });

    it("passes no keyed request on once nobody vouches for the keys", async () => {
      world.confirmationAgeMs = 4_500;
      expect((await world.send("/read/x")).status).toBe(503);
      expect(world.endpoints.transfers).toHaveLength(0);
      await world.send("/open/x", []);
      expect(world.endpoints.transfers).toHaveLength(1);
    });

    it("never goes back to an older configuration", async () => {
      world.state.apply(configuration(9, { keys: new Map() }), 9);
      world.state.apply(configuration(8), 8);
      expect((await world.send("/read/x")).status).toBe(401);
    });

    it("keeps the caller's key to itself and names the workspace", async () => {
      await world.send("/read/x");
      expect(world.endpoints.last.header("key")).toBeUndefined();
      expect(world.endpoints.last.header("workspace")).toBe("w");
    });

    it("passes on how much time is left, not what the caller said", async () => {
      await world.send("/read/x", ["key", "key-1", "patience", "9000"]);
      expect(Number(world.endpoints.last.header("left"))).toBe(1_500);
    });

    it("starts no generation on a host that stops", async () => {
      world.gateway.beginDrain();
      const refused = await world.send("/draft/x");
      expect(refused.status).toBe(503);
      expect(Number(refused.responseHeader("retry-after"))).toBeLessThan(0.2);
      await world.send("/read/x");
      expect(world.endpoints.transfers).toHaveLength(1);
    });
  });

  it("begins nothing at the very end of a stop", async () => {
    world.gateway.stopAdmitting();
    const refused = await world.send("/book/x");
    expect(refused.status).toBe(503);
    expect(world.endpoints.transfers).toHaveLength(0);
  });

  describe("plain calls", () => {
    it("passes an answer on as it is", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.respond(409, "taken", ["x-response-stamp", "s"]);
      await flushPromises();
      expect(exchange.status).toBe(409);
      expect(exchange.responseText).toBe("taken");
      expect(exchange.responseHeader("x-response-stamp")).toBe("s");
    });

    it("tries another endpoint after proof that nothing ran", async () => {
      const exchange = await world.send("/book/x");
      const [first] = world.endpoints.transfers;
      first!.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
      expect(world.endpoints.transfers).toHaveLength(2);
      expect(world.endpoints.last.request.address)
        .not.toBe(first!.request.address);
      world.endpoints.last.respond(200, "done");
      await flushPromises();
      expect(exchange.responseText).toBe("done");
    });

    it("refuses as not run when every endpoint refused", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
      world.endpoints.last.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
      expect(exchange.status).toBe(503);
      expect(exchange.responseHeader("retry-after")).toBeDefined();
    });

    it("sends a body that it passes on while it arrives only once", async () => {
      const large = new Uint8Array(300_000);
      const key = ["key", "key-1"];
      const refused = await world.send("/read/x", key, large);
      world.endpoints.last.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
      expect(refused.status).toBe(503);
      expect(world.endpoints.transfers).toHaveLength(1);
      const broken = await world.send("/read/x", key, large);
      world.endpoints.last.breakConnection();
      await flushPromises();
      expect(broken.status).toBe(502);
      expect(world.endpoints.transfers).toHaveLength(2);
    });

    it("tries another endpoint when none of a large body was taken", async () => {
      world.endpoints.unreachable.add(world.addressOf(1));
      for (let count = 0; count < 4; count++) {
        const exchange = await world.send(
          "/book/x",
          ["key", "key-1"],
          new Uint8Array(300_000),
        );
        world.endpoints.last.respond(200, "done");
        await flushPromises();
        expect(exchange.responseText).toBe("done");
      }
    });

    it("does not take a caller that sends slowly for a silent endpoint", async () => {
      const key = ["key", "key-1"];
      const large = new Uint8Array(300_000);
      const exchange = await world.send("/read/x", key, large);
      await world.advance(1_200);
      expect(world.endpoints.transfers).toHaveLength(1);
      world.endpoints.last.respond(200, "done");
      await flushPromises();
      expect(exchange.status).toBe(200);
    });

    it("runs a booking at most once, and never calls a broken one not run", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.breakConnection();
      await flushPromises();
      expect(world.endpoints.transfers).toHaveLength(1);
      expect(exchange.status).toBe(502);
    });

    it("does not pass on a 503 that proves nothing", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.respond(503, "", ["x-response-stamp", "s"]);
      await flushPromises();
      expect(exchange.status).toBe(502);
      expect(exchange.responseHeader("x-response-stamp")).toBeUndefined();
    });

    it("repeats a read elsewhere after a torn answer, which nobody sees", async () => {
      const exchange = await world.send("/read/x");
      world.endpoints.last.head(200).data("half").breakConnection();
      await flushPromises();
      world.endpoints.last.respond(200, "whole");
      await flushPromises();
      expect(exchange.responseText).toBe("whole");
    });

    it("drops an answer that belongs to another request", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.head(200, ["x-response-stamp", "s", "id", "other"]);
      await flushPromises();
      expect(world.endpoints.last.isAborted).toBe(true);
      expect(exchange.status).toBe(502);
    });

    it("takes no success without the endpoint's signature", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.respond(200, "forged", []);
      await flushPromises();
      expect(exchange.status).toBe(502);
    });

    it("claims no completeness for an answer that had no length", async () => {
      const exchange = await world.send("/book/x");
      world.endpoints.last.respond(200, "maybe short");
      await flushPromises();
      expect(exchange.isEndedByClose).toBe(true);
      const framed = await world.send("/book/x");
      const headers = ["x-response-stamp", "s", "content-length", "5"];
      world.endpoints.last.respond(200, "whole", headers);
      await flushPromises();
      expect(framed.isEndedByClose).toBe(false);
    });

    it("gives up on a silent endpoint for a read, but not for a booking", async () => {
      await world.send("/read/x");
      await world.advance(500);
      expect(world.endpoints.transfers).toHaveLength(2);
      await world.send("/book/x");
      await world.advance(500);
      expect(world.endpoints.transfers).toHaveLength(3);
    });

    it("stays away from an endpoint that leaves a booking unanswered", async () => {
      world.endpoints.unreachable.add(world.addressOf(2));
      for (let count = 0; count < 2; count++) await world.send("/book/x");
      const silent = world.addressOf(1);
      await world.advance(500);
      expect(world.endpoints.forgotten).toContain(silent);
      world.endpoints.unreachable.clear();
      await world.advance(600);
      for (let count = 0; count < 4; count++) {
        await world.send("/book/x");
        expect(world.endpoints.last.request.address).not.toBe(silent);
        world.endpoints.last.respond(200, "done");
        await flushPromises();
      }
    });

    it("says not run when no connection opened before the deadline", async () => {
      for (const number of [1, 2]) {
        world.endpoints.unresponsive.add(world.addressOf(number));
      }
      const exchange = await world.send("/book/x");
      await world.advance(1_600);
      expect(exchange.status).toBe(503);
    });

    it("answers 504 at the route's time limit and ends the work", async () => {
      const exchange = await world.send("/book/x");
      await world.advance(1_500);
      expect(exchange.status).toBe(504);
      expect(world.endpoints.last.isAborted).toBe(true);
    });

    it("ends the endpoint's work when the caller leaves", async () => {
      const exchange = await world.send("/read/x");
      exchange.disconnect();
      await flushPromises();
      expect(world.endpoints.last.isAborted).toBe(true);
    });

    it("goes elsewhere when a connection cannot be opened, and stays away", async () => {
      world.endpoints.unreachable.add(world.addressOf(1));
      for (let count = 0; count < 4; count++) {
        await world.send("/book/x");
        world.endpoints.last.respond(200, "done");
        await flushPromises();
      }
      const refused = world.endpoints.transfers.filter(({ request }) =>
        request.address === world.addressOf(1)
      );
      expect(refused.length).toBeLessThanOrEqual(1);
    });

    it("refuses at once when no endpoint is known", async () => {
      world.registry.markDraining(world.announce(APP, 1), "draining");
      world.registry.markDraining(world.announce(APP, 2), "draining");
      const exchange = await world.send("/book/x");
      expect(exchange.status).toBe(503);
      expect(exchange.responseHeader("retry-after")).toBeDefined();
    });
  });

  it("writes one line with the cause of each request that failed", async () => {
    await world.send("/book/x");
    world.endpoints.last.breakConnection("reset by peer");
    await flushPromises();
    expect(world.logger.lastFields("request-ended")).toMatchObject({
      request: "r1",
      end: "unknown",
      status: 502,
      reason: "reset by peer",
      sent: 1,
    });
  });

  it("goes past any number of endpoints that take no connection", async () => {
    for (let number = 4; number <= 7; number++) world.announce(APP, number);
    for (const { announcement } of world.registry.all) {
      world.endpoints.unreachable.add(announcement.address);
    }
    world.endpoints.unreachable.delete(world.addressOf(7));
    const exchange = await world.send("/book/x");
    await flushPromises();
    world.endpoints.last.respond(200, "done");
    await flushPromises();
    expect(exchange.status).toBe(200);
  });
});
