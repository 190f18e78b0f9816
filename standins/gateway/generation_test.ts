import { flushPromises } from "../../src/base/common/clock.ts";
import { NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import {
  configuration,
  ENGINE,
  engineService,
  GatewayHarness,
} from "./gateway_harness.ts";

describe("generations", () => {
  let world: GatewayHarness;

  beforeEach(async () => {
    world = await GatewayHarness.create();
    for (const number of [1, 2, 3]) world.announce(ENGINE, number);
  });

  /** Starts a draft that has delivered two events. */
  async function startDraft() {
    const exchange = await world.send("/draft/x");
    const transfer = world.endpoints.last;
    transfer.head(200).event(1).event(2);
    await flushPromises();
    const source = [...world.registry.all].find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    return { exchange, transfer, source };
  }

  it("delivers whole events only, and no event twice", async () => {
    const { exchange, transfer } = await startDraft();
    transfer.data("id: 3\nda");
    expect(exchange.responseText).not.toContain("id: 3");
    transfer.data("ta: e3\n\n").event(3).event(4).finish();
    await flushPromises();
    expect(exchange.responseText).toBe(
      [1, 2, 3, 4].map((id) => `id: ${id}\ndata: e${id}\n\n`).join(""),
    );
    expect(exchange.outcome).toBe("answered");
  });

  it("goes on from its backup when its engine dies", async () => {
    const { exchange, transfer } = await startDraft();
    await world.advance(800);
    const backup = transfer.header("backup")!;
    transfer.breakConnection();
    await flushPromises();
    const next = world.endpoints.last;
    expect(next.request.address).toBe(backup);
    expect(next.header("copy")).toBe(`${backup}/r1`);
    expect(next.header("continue-after")).toBe("2");
    next.head(200).event(2).event(3).finish();
    await flushPromises();
    expect(exchange.responseText.match(/id: \d/g)).toEqual([
      "id: 1",
      "id: 2",
      "id: 3",
    ]);
  });

  /** Starts a draft whose engine leaves once its backup is settled. */
  async function leaveWithBackup() {
    const draft = await startDraft();
    await world.advance(800);
    world.registry.markDraining(draft.source.id, "draining");
    await flushPromises();
    expect(world.endpoints.transfers).toHaveLength(2);
    return { ...draft, next: world.endpoints.last };
  }

  it("closes the old run as soon as the next engine has accepted it", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    transfer.event(3);
    expect(transfer.isAborted).toBe(false);
    next.head(200);
    expect(transfer.isAborted).toBe(true);
    next.event(3).event(4).finish();
    await flushPromises();
    expect(exchange.responseText.match(/id: \d/g)).toEqual([
      "id: 1",
      "id: 2",
      "id: 3",
      "id: 4",
    ]);
    expect(exchange.outcome).toBe("answered");
  });

  it("keeps a run whose continuation is refused, and copies it elsewhere", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3);
    expect(world.engineControl.copies).toHaveLength(1);
    const moved = world.endpoints.last;
    expect(moved.header("copy")).toBe(`${transfer.request.address}/h1`);
    moved.head(200).event(3).event(4).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("lets a leaving run end where it is when nobody takes it over", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    world.engineControl.copyFailure = { kind: "no-room", message: "full" };
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("never leaves two runs at work when the next engine does not answer", async () => {
    const { transfer, next } = await leaveWithBackup();
    await world.advance(390);
    expect(transfer.isAborted !== next.isAborted).toBe(true);
  });

  it("goes on at the next engine when the old one ends meanwhile", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    transfer.breakConnection();
    await flushPromises();
    expect(world.endpoints.transfers).toHaveLength(2);
    next.head(200).event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("waits for a dark engine when its backup is not there", async () => {
    const { exchange, transfer } = await startDraft();
    await world.advance(100);
    world.engineControl.offline.add(transfer.request.address);
    for (let step = 0; step < 30; step++) {
      if (world.endpoints.transfers.length === 1) await world.advance(100);
    }
    const next = world.endpoints.last;
    expect(next).not.toBe(transfer);
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("runs once what waits for a place while its last engine is found dark", async () => {
    for (const { id } of world.registry.all.slice(1)) {
      world.loadTable.claim(id, 32_000, 0);
    }
    const [only] = world.registry.all;
    world.endpoints.unresponsive.add(only!.announcement.address);
    const exchange = await world.send("/draft/x");
    const transfer = world.endpoints.last;
    world.engineControl.offline.add(only!.announcement.address);
    await world.advance(400);
    transfer.refuseConnection();
    await world.advance(2_500);
    expect(world.endpoints.transfers).toHaveLength(1);
    for (const number of [4, 5]) world.announce(ENGINE, number);
    await world.advance(100);
    expect(world.endpoints.transfers).toHaveLength(2);
    world.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("runs elsewhere what was never sent to an engine that is dark", async () => {
    for (const { announcement } of world.registry.all) {
      world.endpoints.unresponsive.add(announcement.address);
      world.engineControl.offline.add(announcement.address);
    }
    const exchange = await world.send("/draft/x");
    const dark = world.endpoints.last;
    const other = world.registry.all.find(({ announcement }) =>
      announcement.address !== dark.request.address
    )!;
    world.endpoints.unresponsive.delete(other.announcement.address);
    world.engineControl.offline.delete(other.announcement.address);
    await world.advance(4_000);
    expect(world.endpoints.last).not.toBe(dark);
    world.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("copies a young run instead of trusting a backup that may not be there", async () => {
    const { transfer, source } = await startDraft();
    world.registry.markDraining(source.id, "draining");
    await flushPromises();
    expect(world.engineControl.copies).toHaveLength(1);
    const next = world.endpoints.last;
    expect(next).not.toBe(transfer);
    expect(next.header("copy")).toBe(`${transfer.request.address}/h1`);
  });

  it("is never run anew when its continuation cannot be sent", async () => {
    const { exchange, transfer } = await startDraft();
    await world.advance(800);
    for (const number of [1, 2, 3]) {
      world.endpoints.unreachable.add(world.addressOf(number));
    }
    transfer.breakConnection();
    await flushPromises();
    const withoutCopy = world.endpoints.transfers.slice(1).filter((sent) =>
      sent.header("copy") === undefined
    );
    expect(withoutCopy).toHaveLength(0);
    expect(exchange.outcome).toBe("broken-off");
  });

  it("moves a run at its first event when its engine leaves before", async () => {
    const exchange = await world.send("/draft/x");
    const transfer = world.endpoints.last;
    const source = world.registry.all.find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    world.registry.markDraining(source.id, "removed");
    await flushPromises();
    expect(world.engineControl.copies).toHaveLength(0);
    transfer.head(200).event(1);
    await flushPromises();
    expect(world.engineControl.copies).toHaveLength(1);
    world.endpoints.last.head(200).event(2).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("tries again for a move as long as engines have no room", async () => {
    const { exchange, source } = await startDraft();
    world.engineControl.copyFailure = { kind: "no-room", message: "full" };
    world.registry.markDraining(source.id, "draining");
    await world.advance(500);
    expect(world.engineControl.copies).toHaveLength(0);
    world.engineControl.copyFailure = undefined;
    await world.advance(200);
    expect(world.engineControl.copies).toHaveLength(1);
    world.endpoints.last.head(200).event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("gives an engine that has just started one prompt at a time", async () => {
    const cold = world.addressOf(4);
    for (const { id } of world.registry.all) {
      world.loadTable.claim(id, 32_000, 0);
    }
    world.announce(ENGINE, 4, 1, 3_000);
    for (let count = 0; count < 4; count++) await world.send("/draft/x");
    const sentToCold = () =>
      world.endpoints.transfers.filter(({ request }) =>
        request.address === cold
      );
    expect(sentToCold()).toHaveLength(1);
    sentToCold()[0]!.head(200).event(1);
    for (let count = 0; count < 4; count++) await world.send("/draft/x");
    await world.advance(50);
    expect(sentToCold()).toHaveLength(2);
  });

  it("frees a copy that came too late", async () => {
    const { exchange, source } = await startDraft();
    world.registry.markDraining(source.id, "draining");
    exchange.disconnect();
    await flushPromises();
    expect(world.engineControl.freedCopies).toEqual(["h1"]);
  });

  it("waits for an engine behind a cut when nothing else can go on", async () => {
    const small = engineService(3_800);
    const services = new Map(configuration(2).services).set(ENGINE, small);
    world.state.apply(configuration(2, { services }), 2);
    const { exchange, transfer } = await startDraft();
    expect(transfer.header("backup")).toBeUndefined();
    world.engineControl.offline.add(transfer.request.address);
    await world.advance(3_000);
    expect(exchange.hasEnded).toBe(false);
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("gives a dark engine up after a while", async () => {
    const small = engineService(3_800);
    const services = new Map(configuration(2).services).set(ENGINE, small);
    world.state.apply(configuration(2, { services }), 2);
    const { exchange, transfer } = await startDraft();
    world.engineControl.offline.add(transfer.request.address);
    await world.advance(12_000);
    expect(exchange.outcome).toBe("broken-off");
  });

  it("leaves a silent connection to an engine that lives", async () => {
    const { transfer } = await startDraft();
    await world.advance(3_500);
    expect(transfer.isAborted).toBe(true);
    expect(world.endpoints.last.header("copy")).toBeDefined();
  });

  it("reads a short prompt anew where the route allows to resume", async () => {
    const exchange = await world.send("/check/x");
    world.endpoints.last.head(200).event(1).breakConnection();
    await flushPromises();
    const next = world.endpoints.last;
    expect(next.header("copy")).toBeUndefined();
    expect(next.header("continue-after")).toBe("1");
    next.head(200).event(2).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("does not deliver a continuation that lacks events", async () => {
    const { exchange, transfer } = await startDraft();
    await world.advance(800);
    transfer.breakConnection();
    await flushPromises();
    world.endpoints.last.head(200).event(4).finish();
    await flushPromises();
    expect(exchange.responseText).not.toContain("id: 4");
    expect(exchange.outcome).toBe("broken-off");
  });

  it("does not take a stream that ends within an event for complete", async () => {
    const exchange = await world.send("/draft/x");
    world.endpoints.last.head(200).event(1).data("id: 2\n").finish();
    await flushPromises();
    expect(exchange.outcome).toBe("broken-off");
  });

  it("says not run only if no engine may have run it", async () => {
    const refused = await world.send("/draft/x");
    for (let count = 0; count < 4 && !refused.hasEnded; count++) {
      world.endpoints.last.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
    }
    expect(refused.status).toBe(503);
    const broken = await world.send("/draft/x");
    world.endpoints.last.breakConnection();
    await flushPromises();
    expect(broken.status).toBe(502);
  });

  it("spreads prompts by the memory and the reading that wait at each engine", async () => {
    const addresses = new Set<string>();
    for (let count = 0; count < 3; count++) {
      await world.send("/draft/x");
      addresses.add(world.endpoints.last.request.address);
    }
    expect(addresses.size).toBe(3);
  });

  it("counts what other daemons have just placed", async () => {
    const [first, second] = world.registry.all;
    for (const endpoint of [first!, second!]) {
      world.loadTable.applyPeerRows("peer" as never, 1, [{
        endpoint: endpoint.id,
        runs: 6,
        memoryTokens: 20_000,
        pendingPrefillTokens: 9_000,
        backupTokens: 0,
      }], false);
    }
    await world.send("/draft/x");
    expect(world.endpoints.last.request.address).toBe(world.addressOf(3));
  });

  it("goes past any number of engines that take no connection", async () => {
    for (let number = 4; number <= 9; number++) world.announce(ENGINE, number);
    for (let number = 1; number <= 8; number++) {
      world.endpoints.unreachable.add(world.addressOf(number));
    }
    const exchange = await world.send("/draft/x");
    await flushPromises();
    expect(world.endpoints.last.request.address).toBe(world.addressOf(9));
    world.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.status).toBe(200);
  });
});
