import { flushPromises } from "../../src/base/common/clock.ts";
import { NOT_RUN_HEADERS } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  engineService,
} from "./harness_configuration.ts";

describe("generations", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const number of [1, 2, 3]) harness.announce(ENGINE, number);
  });

  /** Starts a draft and delivers its first two events. */
  async function startDraft() {
    const exchange = await harness.send("/draft/x");
    const transfer = harness.endpoints.last;
    transfer.head(200).event(1).event(2);
    await flushPromises();
    const source = [...harness.registry.all].find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    return { exchange, transfer, source };
  }

  it("delivers only complete events, and none twice", async () => {
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

  it("continues from its backup when its engine fails", async () => {
    const { exchange, transfer } = await startDraft();
    await harness.advance(800);
    const backup = transfer.header("backup")!;
    transfer.breakConnection();
    await flushPromises();
    const next = harness.endpoints.last;
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

  /** Starts a draft whose engine drains once its backup is usable. */
  async function leaveWithBackup() {
    const draft = await startDraft();
    await harness.advance(800);
    harness.registry.markDraining(draft.source.id, "draining");
    await flushPromises();
    expect(harness.endpoints.transfers).toHaveLength(2);
    return { ...draft, next: harness.endpoints.last };
  }

  it("closes the previous run as soon as the next engine has accepted the continuation", async () => {
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

  it("goes on once at an engine with a limit, as soon as a right is free", async () => {
    const { exchange, transfer, source } = await startDraft();
    await harness.advance(800);
    for (const { announcement } of harness.registry.all) {
      harness.limitTable.observe(
        { endpoint: announcement.id, bornMs: announcement.bornMs },
        { kind: "named", requestsPerS: 1 },
        harness.clock.monotonicMs(),
      );
    }
    harness.registry.markDraining(source.id, "draining");
    transfer.breakConnection();
    await harness.advance(2_000);
    expect(harness.endpoints.transfers).toHaveLength(2);
    harness.endpoints.last.head(200).event(3).event(4).finish();
    await flushPromises();
    expect(exchange.responseText.match(/id: \d/g)).toEqual([
      "id: 1",
      "id: 2",
      "id: 3",
      "id: 4",
    ]);
    expect(exchange.outcome).toBe("answered");
  });

  it("keeps a run whose continuation is refused and copies it to another engine", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3);
    expect(harness.engineControl.copies).toHaveLength(1);
    const moved = harness.endpoints.last;
    expect(moved.header("copy")).toBe(`${transfer.request.address}/h1`);
    moved.head(200).event(3).event(4).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("lets a run complete on a draining engine when no other engine accepts it", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    harness.engineControl.copyFailure = { kind: "no-room", message: "full" };
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("never keeps two runs active when the next engine does not answer", async () => {
    const { transfer, next } = await leaveWithBackup();
    await harness.advance(390);
    expect(transfer.isAborted !== next.isAborted).toBe(true);
  });

  it("continues on the next engine when the previous one fails during the handover", async () => {
    const { exchange, transfer, next } = await leaveWithBackup();
    transfer.breakConnection();
    await flushPromises();
    expect(harness.endpoints.transfers).toHaveLength(2);
    next.head(200).event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("waits for an unreachable engine when its backup is missing", async () => {
    const { exchange, transfer } = await startDraft();
    await harness.advance(100);
    harness.engineControl.offline.add(transfer.request.address);
    for (let step = 0; step < 30; step++) {
      if (harness.endpoints.transfers.length === 1) await harness.advance(100);
    }
    const next = harness.endpoints.last;
    expect(next).not.toBe(transfer);
    next.respond(503, "", NOT_RUN_HEADERS);
    await flushPromises();
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("runs a generation once when its last engine is found unreachable while it waits for a placement", async () => {
    for (const { id } of harness.registry.all.slice(1)) {
      harness.loadTable.claim(id, 32_000, 0);
    }
    const [only] = harness.registry.all;
    harness.endpoints.unresponsive.add(only!.announcement.address);
    const exchange = await harness.send("/draft/x");
    const transfer = harness.endpoints.last;
    harness.engineControl.offline.add(only!.announcement.address);
    await harness.advance(400);
    transfer.refuseConnection();
    await harness.advance(2_500);
    expect(harness.endpoints.transfers).toHaveLength(1);
    for (const number of [4, 5]) harness.announce(ENGINE, number);
    await harness.advance(100);
    expect(harness.endpoints.transfers).toHaveLength(2);
    harness.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("runs a request on another engine when it was never sent to an unreachable one", async () => {
    for (const { announcement } of harness.registry.all) {
      harness.endpoints.unresponsive.add(announcement.address);
      harness.engineControl.offline.add(announcement.address);
    }
    const exchange = await harness.send("/draft/x");
    const unreachable = harness.endpoints.last;
    const other = harness.registry.all.find(({ announcement }) =>
      announcement.address !== unreachable.request.address
    )!;
    harness.endpoints.unresponsive.delete(other.announcement.address);
    harness.engineControl.offline.delete(other.announcement.address);
    await harness.advance(4_000);
    expect(harness.endpoints.last).not.toBe(unreachable);
    harness.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("stays with an engine that is silent for a second only", async () => {
    const { exchange, transfer } = await startDraft();
    await harness.advance(1_000);
    const { address } = transfer.request;
    harness.engineControl.silent.add(address);
    await harness.advance(1_100);
    harness.engineControl.silent.delete(address);
    transfer.event(3);
    await harness.advance(1_000);
    transfer.event(4).finish();
    await flushPromises();
    expect(harness.endpoints.transfers).toHaveLength(1);
    expect(exchange.outcome).toBe("answered");
  });

  it("goes on elsewhere when its engine stays silent", async () => {
    const { transfer } = await startDraft();
    await harness.advance(1_000);
    transfer.event(3);
    harness.engineControl.silent.add(transfer.request.address);
    await harness.advance(2_500);
    expect(harness.endpoints.transfers).toHaveLength(2);
    expect(harness.logger.lastFields("stream-continued"))
      .toMatchObject({ cause: "dark" });
  });

  it("takes its run from an engine to which this host has lost its path", async () => {
    const { exchange, transfer } = await startDraft();
    const { address } = transfer.request;
    harness.lostPaths.add(address);
    await harness.advance(1_500);
    expect(harness.engineControl.endedRuns).toHaveLength(1);
    const next = harness.endpoints.last;
    expect(next).not.toBe(transfer);
    expect(next.header("copy")).toBe(`${address}/h1`);
    next.head(200).event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("stays with an engine whose path is lost while its own connection carries events", async () => {
    const { exchange, transfer } = await startDraft();
    harness.lostPaths.add(transfer.request.address);
    for (let id = 3; id < 10; id++) {
      await harness.advance(400);
      transfer.event(id);
    }
    transfer.finish();
    await flushPromises();
    expect(harness.endpoints.transfers).toHaveLength(1);
    expect(exchange.outcome).toBe("answered");
  });

  it("copies a recently started run instead of using a backup that may not be complete", async () => {
    const { transfer, source } = await startDraft();
    harness.registry.markDraining(source.id, "draining");
    await flushPromises();
    expect(harness.engineControl.copies).toHaveLength(1);
    const next = harness.endpoints.last;
    expect(next).not.toBe(transfer);
    expect(next.header("copy")).toBe(`${transfer.request.address}/h1`);
  });

  it("is not rerun from the prompt when its continuation cannot be sent", async () => {
    const { exchange, transfer } = await startDraft();
    await harness.advance(800);
    for (const number of [1, 2, 3]) {
      harness.endpoints.unreachable.add(harness.addressOf(number));
    }
    transfer.breakConnection();
    await flushPromises();
    const withoutCopy = harness.endpoints.transfers.slice(1).filter((sent) =>
      sent.header("copy") === undefined
    );
    expect(withoutCopy).toHaveLength(0);
    expect(exchange.outcome).toBe("broken-off");
  });

  it("migrates a run at its first event when its engine started to drain earlier", async () => {
    const exchange = await harness.send("/draft/x");
    const transfer = harness.endpoints.last;
    const source = harness.registry.all.find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    harness.registry.markDraining(source.id, "removed");
    await flushPromises();
    expect(harness.engineControl.copies).toHaveLength(0);
    transfer.head(200).event(1);
    await flushPromises();
    expect(harness.engineControl.copies).toHaveLength(1);
    harness.endpoints.last.head(200).event(2).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("retries a migration while no engine has free capacity", async () => {
    const { exchange, source } = await startDraft();
    harness.engineControl.copyFailure = { kind: "no-room", message: "full" };
    harness.registry.markDraining(source.id, "draining");
    await harness.advance(500);
    expect(harness.engineControl.copies).toHaveLength(0);
    harness.engineControl.copyFailure = undefined;
    await harness.advance(200);
    expect(harness.engineControl.copies).toHaveLength(1);
    harness.endpoints.last.head(200).event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("sends one prompt at a time to an engine that has just started", async () => {
    const cold = harness.addressOf(4);
    for (const { id } of harness.registry.all) {
      harness.loadTable.claim(id, 32_000, 0);
    }
    harness.announce(ENGINE, 4, 1, 3_000);
    for (let count = 0; count < 4; count++) await harness.send("/draft/x");
    const sentToCold = () =>
      harness.endpoints.transfers.filter(({ request }) =>
        request.address === cold
      );
    expect(sentToCold()).toHaveLength(1);
    sentToCold()[0]!.head(200).event(1);
    for (let count = 0; count < 4; count++) await harness.send("/draft/x");
    await harness.advance(50);
    expect(sentToCold()).toHaveLength(2);
  });

  it("frees a copy that completes after the caller has disconnected", async () => {
    const { exchange, source } = await startDraft();
    harness.registry.markDraining(source.id, "draining");
    exchange.disconnect();
    await flushPromises();
    expect(harness.engineControl.freedCopies).toEqual(["h1"]);
  });

  it("waits for a partitioned engine when no other engine can continue the run", async () => {
    const small = engineService(3_800);
    const services = new Map(configuration(2).services).set(ENGINE, small);
    harness.state.apply(configuration(2, { services }), 2);
    const { exchange, transfer } = await startDraft();
    expect(transfer.header("backup")).toBeUndefined();
    harness.engineControl.offline.add(transfer.request.address);
    await harness.advance(3_000);
    expect(exchange.hasEnded).toBe(false);
    transfer.event(3).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("fails the request when an engine stays unreachable", async () => {
    const small = engineService(3_800);
    const services = new Map(configuration(2).services).set(ENGINE, small);
    harness.state.apply(configuration(2, { services }), 2);
    const { exchange, transfer } = await startDraft();
    harness.engineControl.offline.add(transfer.request.address);
    await harness.advance(12_000);
    expect(exchange.outcome).toBe("broken-off");
  });

  it("abandons a stalled connection to an engine that answers probes", async () => {
    const { transfer } = await startDraft();
    await harness.advance(3_500);
    expect(transfer.isAborted).toBe(true);
    expect(harness.endpoints.last.header("copy")).toBeDefined();
  });

  it("reruns a prompt on a resumable route", async () => {
    const exchange = await harness.send("/check/x");
    harness.endpoints.last.head(200).event(1).breakConnection();
    await flushPromises();
    const next = harness.endpoints.last;
    expect(next.header("copy")).toBeUndefined();
    expect(next.header("continue-after")).toBe("1");
    next.head(200).event(2).finish();
    await flushPromises();
    expect(exchange.outcome).toBe("answered");
  });

  it("does not deliver a continuation with missing events", async () => {
    const { exchange, transfer } = await startDraft();
    await harness.advance(800);
    transfer.breakConnection();
    await flushPromises();
    harness.endpoints.last.head(200).event(4).finish();
    await flushPromises();
    expect(exchange.responseText).not.toContain("id: 4");
    expect(exchange.outcome).toBe("broken-off");
  });

  it("does not treat a stream that ends within an event as complete", async () => {
    const exchange = await harness.send("/draft/x");
    harness.endpoints.last.head(200).event(1).data("id: 2\n").finish();
    await flushPromises();
    expect(exchange.outcome).toBe("broken-off");
  });

  it("answers 503 only if no engine may have run the request", async () => {
    const refused = await harness.send("/draft/x");
    for (let count = 0; count < 4 && !refused.hasEnded; count++) {
      harness.endpoints.last.respond(503, "", NOT_RUN_HEADERS);
      await flushPromises();
    }
    expect(refused.status).toBe(503);
    const broken = await harness.send("/draft/x");
    harness.endpoints.last.breakConnection();
    await flushPromises();
    expect(broken.status).toBe(502);
  });

  it("distributes prompts by the memory in use and the pending prefill of each engine", async () => {
    const addresses = new Set<string>();
    for (let count = 0; count < 3; count++) {
      await harness.send("/draft/x");
      addresses.add(harness.endpoints.last.request.address);
    }
    expect(addresses.size).toBe(3);
  });

  it("accounts for recent placements by other daemons", async () => {
    const [first, second] = harness.registry.all;
    for (const endpoint of [first!, second!]) {
      harness.loadTable.applyPeerRows("peer" as never, 1, [{
        endpoint: endpoint.id,
        runs: 6,
        memoryTokens: 20_000,
        pendingPrefillTokens: 9_000,
        backupTokens: 0,
      }], false);
    }
    await harness.send("/draft/x");
    expect(harness.endpoints.last.request.address).toBe(harness.addressOf(3));
  });

  it("skips any number of engines that accept no connection", async () => {
    for (let index = 4; index <= 9; index++) harness.announce(ENGINE, index);
    for (let number = 1; number <= 8; number++) {
      harness.endpoints.unreachable.add(harness.addressOf(number));
    }
    const exchange = await harness.send("/draft/x");
    await flushPromises();
    expect(harness.endpoints.last.request.address).toBe(harness.addressOf(9));
    harness.endpoints.last.head(200).event(1).finish();
    await flushPromises();
    expect(exchange.status).toBe(200);
  });
});
