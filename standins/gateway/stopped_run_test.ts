import { flushPromises } from "../../src/base/common/clock.ts";
import { Left } from "../../src/base/common/result.ts";
import type { CopyFailure } from "../../src/features/gateway/common/protocol/engine_control.ts";
import type { FakeTransfer } from "./fake_endpoints.ts";
import type { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import {
  configuration,
  ENGINE,
  engineService,
} from "./harness_configuration.ts";

const CHUNKED_HEADERS = [
  "X-Response-Stamp",
  "stamp",
  "transfer-encoding",
  "chunked",
];

describe("a run that was to be stopped at its source", () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.create();
    for (const number of [1, 2, 3]) harness.announce(ENGINE, number);
    // Leaves no room for a backup.
    const services = new Map(configuration(2).services)
      .set(ENGINE, engineService(3_800));
    harness.state.apply(configuration(2, { services }), 2);
  });

  const idsOf = ({ responseText }: FakeCallerExchange) =>
    [...responseText.matchAll(/id: ?(\S+)\n/g)].map(([, id]) => id).join();

  /**
   * Starts a draft whose path is lost, so that its run is to be stopped.
   *
   * @param failure - How the request to stop it fails.
   * @param headers - Head of the run.
   */
  async function startStopped(
    failure: CopyFailure["kind"],
    headers?: readonly string[],
  ): Promise<{ exchange: FakeCallerExchange; transfer: FakeTransfer }> {
    const { engineControl } = harness;
    engineControl.copyRun = (_source, _target, id, endsRun) => {
      if (endsRun) engineControl.endedRuns.push(id);
      return Promise.resolve(Left({ kind: failure, message: failure }));
    };
    const exchange = await harness.send("/draft/x");
    const transfer = harness.endpoints.last.head(200, headers)
      .event(1).event(2);
    harness.lostPaths.add(transfer.request.address);
    await harness.advance(1_500);
    expect(engineControl.endedRuns).not.toEqual([]);
    return { exchange, transfer };
  }

  // The source may have stopped the run although its answer was lost.
  it.each<CopyFailure["kind"]>([
    "unreachable",
    "busy",
    "no-room",
    "no-such-run",
  ])(
    "does not look complete when its connection ends after the answer %s",
    async (failure) => {
      const { exchange, transfer } = await startStopped(failure);
      transfer.finish();
      await harness.advance(5_000);
      expect(idsOf(exchange)).toBe("1,2");
      expect(exchange.outcome).not.toBe("answered");
    },
  );

  it("does not look complete when its connection ends long after the answer was lost and more events", async () => {
    const { exchange, transfer } = await startStopped("unreachable");
    harness.lostPaths.clear();
    transfer.event(3);
    await harness.advance(300);
    if (!exchange.hasEnded) transfer.event(4).finish();
    await harness.advance(5_000);
    expect(exchange.outcome).not.toBe("answered");
  });

  it("ends as complete when its chunks end after the answer was lost", async () => {
    const { exchange, transfer } = await startStopped(
      "unreachable",
      CHUNKED_HEADERS,
    );
    expect(exchange.hasEnded).toBe(false);
    transfer.event(3).finish();
    await flushPromises();
    expect(idsOf(exchange)).toBe("1,2,3");
    expect(exchange.outcome).toBe("answered");
  });

  // Guards against doubt about runs that were only copied.
  it("is told from one that was only to be copied, which ends as complete", async () => {
    harness.engineControl.copyFailure = {
      kind: "unreachable",
      message: "no answer",
    };
    const exchange = await harness.send("/draft/x");
    const transfer = harness.endpoints.last.head(200).event(1).event(2);
    const source = harness.registry.all.find(({ announcement }) =>
      announcement.address === transfer.request.address
    )!;
    harness.registry.markDraining(source.id, "draining");
    await harness.advance(300);
    transfer.event(3).finish();
    await flushPromises();
    expect(idsOf(exchange)).toBe("1,2,3");
    expect(exchange.outcome).toBe("answered");
  });
});
