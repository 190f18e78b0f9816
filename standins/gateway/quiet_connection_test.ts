import type {
  CopyFailure,
  GenerationCopy,
} from "../../src/features/gateway/common/protocol/engine_control.ts";
import { type Either, Left } from "../../src/base/common/result.ts";
import type { FakeCallerExchange } from "./fake_caller_exchange.ts";
import type { FakeTransfer } from "./fake_endpoints.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  engineService,
} from "./harness_configuration.ts";

/** Time after which a run without events goes on from its backup. */
const GIVE_UP_MS = 3_500;
/** Time after which a close may not arrive. */
const QUIET_MS = 300;

describe("a run whose connection carries no data", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const number of [1, 2, 3]) harness.announce(ENGINE, number);
  });

  /** @returns A stream with two events, the second one a moment ago. */
  async function startStream(
    target = "/draft/x",
  ): Promise<{ exchange: FakeCallerExchange; transfer: FakeTransfer }> {
    const exchange = await harness.send(target);
    const transfer = harness.endpoints.last.head(200).event(1);
    await harness.advance(800);
    transfer.event(2);
    return { exchange, transfer };
  }

  /** Leaves no room for backups. */
  function forbidBackups(canMigrate = true): void {
    const service = engineService(3_800);
    const services = new Map(configuration(2).services).set(ENGINE, {
      ...service,
      engine: { ...service.engine!, canMigrate },
    });
    harness.state.apply(configuration(2, { services }), 2);
  }

  /** Lets some requests to stop a run fail. */
  function failCopies(failure: CopyFailure, count = Infinity): void {
    const { engineControl } = harness;
    const copyRun = engineControl.copyRun.bind(engineControl);
    let left = count;
    engineControl.copyRun = (
      ...args
    ): Promise<Either<CopyFailure, GenerationCopy>> => {
      if (left-- <= 0) return copyRun(...args);
      engineControl.endedRuns.push(args[2]);
      return Promise.resolve(Left(failure));
    };
  }

  const stopped = () => harness.engineControl.endedRuns;
  const stopResult = () => harness.logger.lastFields("run-stopped")?.["result"];

  it("is stopped at its source once it goes on from its backup", async () => {
    const { exchange, transfer } = await startStream();
    await harness.advance(GIVE_UP_MS);
    const next = harness.endpoints.last;
    expect(next).not.toBe(transfer);
    next.head(200).event(3);
    await harness.advance(10);
    expect(transfer.isAborted).toBe(true);
    expect(stopped()).toEqual(["r1"]);
    expect(harness.engineControl.copies.map(({ source }) => source))
      .toEqual([transfer.request.address]);
    next.finish();
    await harness.advance(10);
    expect(exchange.outcome).toBe("answered");
    expect(stopResult()).toBe("stopped");
  });

  it("leaves no copy behind when it is stopped", async () => {
    await startStream();
    await harness.advance(GIVE_UP_MS);
    harness.endpoints.last.head(200).event(3);
    await harness.advance(10);
    expect(harness.engineControl.freedCopies).toEqual(["h1"]);
  });

  it("is stopped once however often the request goes on", async () => {
    const { exchange } = await startStream();
    await harness.advance(GIVE_UP_MS);
    const next = harness.endpoints.last.head(200).event(3);
    await harness.advance(10);
    next.event(4).breakConnection();
    await harness.advance(10);
    exchange.disconnect();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
  });

  it("is stopped at its source when the caller leaves", async () => {
    const { exchange, transfer } = await startStream();
    await harness.advance(QUIET_MS);
    exchange.disconnect();
    await harness.advance(10);
    expect(transfer.isAborted).toBe(true);
    expect(stopped()).toEqual(["r1"]);
  });

  it("is stopped if its source was out of reach only before the latest event", async () => {
    forbidBackups();
    const { exchange, transfer } = await startStream();
    const { silent } = harness.engineControl;
    silent.add(transfer.request.address);
    await harness.advance(GIVE_UP_MS);
    silent.delete(transfer.request.address);
    transfer.event(3);
    await harness.advance(QUIET_MS);
    exchange.disconnect();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
  });

  it("is only closed when the caller leaves while events arrive", async () => {
    const { exchange, transfer } = await startStream();
    await harness.advance(40);
    transfer.event(3);
    exchange.disconnect();
    await harness.advance(500);
    expect(transfer.isAborted).toBe(true);
    expect(stopped()).toEqual([]);
  });

  it("is stopped at its source when its connection times out", async () => {
    const { transfer } = await startStream();
    transfer.timeOut();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
  });

  it("is stopped and sent to another endpoint when its connection times out before the first event", async () => {
    await harness.send("/check/x");
    const transfer = harness.endpoints.last;
    transfer.timeOut();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
    const next = harness.endpoints.last;
    expect(next.request.address).not.toBe(transfer.request.address);
  });

  it("is only closed when its connection is broken", async () => {
    const { transfer } = await startStream();
    await harness.advance(QUIET_MS);
    transfer.breakConnection();
    await harness.advance(500);
    expect(stopped()).toEqual([]);
  });

  it("is not stopped again when it was stopped for its copy", async () => {
    forbidBackups();
    const { transfer } = await startStream();
    harness.lostPaths.add(transfer.request.address);
    await harness.advance(1_500);
    const next = harness.endpoints.last;
    expect(next).not.toBe(transfer);
    next.head(200).event(3);
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
  });

  it.each<CopyFailure["kind"]>(["busy", "unreachable"])(
    "is to be stopped again after the answer %s",
    async (kind) => {
      const { exchange } = await startStream();
      failCopies({ kind, message: "again" }, 2);
      await harness.advance(QUIET_MS);
      exchange.disconnect();
      await harness.advance(500);
      expect(stopped()).toEqual(["r1", "r1", "r1"]);
      expect(stopResult()).toBe("stopped");
    },
  );

  it("has ended when its source does not know it", async () => {
    const { exchange } = await startStream();
    failCopies({ kind: "no-such-run", message: "status 404" });
    await harness.advance(QUIET_MS);
    exchange.disconnect();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
    expect(stopResult()).toBe("ended");
  });

  it("is stopped when the target has no room and its source keeps the state", async () => {
    const { exchange } = await startStream();
    failCopies({
      kind: "no-room",
      message: "status 503",
      keptCopy: { name: "kept" },
    });
    await harness.advance(QUIET_MS);
    exchange.disconnect();
    await harness.advance(500);
    expect(stopped()).toEqual(["r1"]);
    expect(harness.engineControl.freedCopies).toEqual(["kept"]);
    expect(stopResult()).toBe("stopped");
  });

  it("is only closed when its service cannot stop runs", async () => {
    forbidBackups(false);
    const { exchange } = await startStream();
    await harness.advance(QUIET_MS);
    exchange.disconnect();
    await harness.advance(500);
    expect(stopped()).toEqual([]);
  });
});
