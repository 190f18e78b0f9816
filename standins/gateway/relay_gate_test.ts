import { ManualClock } from "../../src/base/common/clock.ts";
import type {
  Address,
  EndpointId,
  HostId,
  RequestId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import type { ReportedLoad } from "../../src/features/gateway/common/protocol/gateway_codec.ts";
import { AnswerObserver } from "../../src/features/gateway/common/monitoring/answer_observer.ts";
import { EndpointEligibility } from "../../src/features/gateway/common/endpoints/endpoint_eligibility.ts";
import {
  EndpointRegistry,
  type RegisteredEndpoint,
} from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { GatewayMetrics } from "../../src/features/gateway/common/metrics/gateway_metrics.ts";
import { BodyBudget } from "../../src/services/http/common/body_budget.ts";
import { RelayGate } from "../../src/features/gateway/common/relay/relay_gate.ts";
import {
  decodeRelayResult,
  encodeRelayRequest,
  type RelayFields,
  relayProofText,
  type RelayResult,
} from "../../src/services/relay/common/relay_protocol.ts";
import { FakeCallerExchange } from "./fake_caller_exchange.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { FakeGatewayCodec } from "./fake_gateway_codec.ts";
import { RecordingLogger } from "./gateway_harness.ts";

const ENDPOINT = "e-1" as EndpointId;
const ADDRESS = "10.0.0.1:80" as Address;
const FIELDS: RelayFields = {
  from: "host-1" as HostId,
  to: "host-2" as HostId,
  endpoint: ENDPOINT,
  address: ADDRESS,
  purpose: "request",
  requestId: "r-1" as RequestId,
  remainingMs: 800,
};

describe("RelayGate", () => {
  let clock: ManualClock;
  let endpoints: FakeEndpoints;
  let registry: EndpointRegistry;
  let gate: RelayGate;
  let budget: BodyBudget;
  let isEvacuated: boolean;
  let isLost: boolean;
  let connectTimeouts: RegisteredEndpoint[];
  let heldMs: number[];
  let leavingMarks: RegisteredEndpoint[];
  let reportedLoads: ReportedLoad[];

  beforeEach(() => {
    clock = new ManualClock();
    endpoints = new FakeEndpoints();
    budget = new BodyBudget(() => 1_000_000);
    const logger = new RecordingLogger();
    registry = new EndpointRegistry(clock, logger);
    isLost = false;
    isEvacuated = false;
    connectTimeouts = [];
    heldMs = [];
    leavingMarks = [];
    reportedLoads = [];
    registry.announce({
      id: ENDPOINT,
      service: "app" as ServiceId,
      address: ADDRESS,
      zone: "zone-a" as ZoneName,
      slots: 8,
      bornMs: 1,
      isDraining: false,
      warmUpRemainingMs: 0,
    });
    gate = new RelayGate({
      self: "host-2" as HostId,
      clock,
      logger,
      metrics: new GatewayMetrics(),
      signer: {
        sign: (text) => `proof of ${text}`,
        verify: (text, proof) => proof === `proof of ${text}`,
      },
      registry,
      eligibility: new EndpointEligibility(clock, registry, {
        isEvacuated: () => isEvacuated,
        regionOf: () => undefined,
      }),
      codec: new FakeGatewayCodec(),
      client: endpoints,
      bodies: budget,
      observer: new AnswerObserver({
        holds: { hold: (_endpoint, forMs) => heldMs.push(forMs) },
        leavingMarks: { mark: (endpoint) => leavingMarks.push(endpoint) },
        limits: {
          observe: () => undefined,
          observeBrittleness: () => undefined,
        },
        paths: { recordAnswer: () => undefined },
        loads: { recordLoad: (_endpoint, load) => reportedLoads.push(load) },
      }),
      paths: {
        isLost: () => isLost,
        recordTimeout: (endpoint) => connectTimeouts.push(endpoint),
      },
    });
  });

  async function handle(
    changes: Partial<RelayFields> = {},
    proof?: string,
    body?: Uint8Array,
  ): Promise<FakeCallerExchange> {
    const fields = { ...FIELDS, ...changes };
    const text = relayProofText(fields, "POST", "/x");
    const exchange = new FakeCallerExchange({
      target: "/x",
      headers: encodeRelayRequest(
        ["left", "800"],
        fields,
        proof ?? `proof of ${text}`,
      ),
      receivedMs: clock.monotonicMs(),
      ...(body && { body }),
    });
    void gate.handle(exchange);
    await clock.advanceAsync(1);
    return exchange;
  }

  function resultOf(exchange: FakeCallerExchange): RelayResult | undefined {
    return decodeRelayResult(exchange.responseHeaders);
  }

  async function expectRefusal(
    refusal: string,
    changes: Partial<RelayFields> = {},
  ): Promise<void> {
    const exchange = await handle(changes);
    expect(resultOf(exchange)).toMatchObject({ kind: "not-sent", refusal });
    expect(endpoints.transfers).toHaveLength(0);
  }

  it("sends a request once, to the endpoint that the peer has chosen", async () => {
    const exchange = await handle();
    expect(endpoints.transfers).toHaveLength(1);
    expect(endpoints.last.request).toMatchObject({
      address: ADDRESS,
      method: "POST",
      target: "/x",
    });
    expect(exchange.isAcknowledged).toBe(true);
    endpoints.last.respond(200, "ok");
    expect(exchange.status).toBe(200);
    expect(exchange.responseText).toBe("ok");
    expect(resultOf(exchange)).toEqual({ kind: "passed-on" });
  });

  it("refuses a body that does not fit beside those of callers, as not sent", async () => {
    budget.reserve().tryGrowTo(800_000);
    const exchange = await handle({}, undefined, Buffer.alloc(200_000));
    expect(resultOf(exchange))
      .toMatchObject({ kind: "not-sent", refusal: "busy" });
    expect(endpoints.transfers).toHaveLength(0);
    await handle({}, undefined, Buffer.alloc(1_000));
    expect(endpoints.transfers).toHaveLength(1);
    expect(budget.usedBytes).toBe(801_000);
  });

  it("passes on only the time that is left", async () => {
    const exchange = handle();
    await clock.advanceAsync(40);
    await exchange;
    expect(Number(endpoints.last.header("left"))).toBeLessThan(800);
  });

  it("refuses what no host of the fleet has asked for, or what was meant for another host", async () => {
    const forged = await handle({}, "forged");
    expect(resultOf(forged)).toMatchObject({ refusal: "forbidden" });
    await expectRefusal("forbidden", { to: "host-3" as HostId });
  });

  // Guards against callers that get 502 although no endpoint got their request: a
  // peer that cannot read what to pass on has sent nothing.
  it.each([
    ["no endpoint", { endpoint: "" as EndpointId }],
    ["no address", { address: "" as Address }],
    ["no time", { remainingMs: NaN }],
  ])("states that it has sent nothing of a request with %s", async (
    _what,
    changes,
  ) => {
    await expectRefusal("unreadable", changes);
  });

  it("never asks another peer, so that requests cannot go round in a circle", async () => {
    isLost = true;
    await expectRefusal("unreachable");
  });

  it("sends nothing to an endpoint that leaves, but its control requests", async () => {
    registry.markDraining(ENDPOINT, "answer");
    await expectRefusal("no-endpoint");
    await handle({ purpose: "control" });
    expect(endpoints.transfers).toHaveLength(1);
  });

  // Guards against requests of peers that do not know of the evacuation.
  it("sends nothing to an endpoint of an evacuated zone, but its control requests", async () => {
    isEvacuated = true;
    await expectRefusal("held");
    await handle({ purpose: "control" });
    expect(endpoints.transfers).toHaveLength(1);
  });

  it("sends nothing to another process at the address", async () => {
    await expectRefusal("no-endpoint", { address: "10.0.0.9:80" as Address });
    await expectRefusal("no-endpoint", { endpoint: "e-2" as EndpointId });
  });

  it("sends nothing to an endpoint that has turned this host away", async () => {
    registry.get(ENDPOINT)!.heldUntilMs = clock.monotonicMs() + 500;
    const exchange = await handle();
    expect(resultOf(exchange)).toEqual({
      kind: "not-sent",
      refusal: "held",
      retryAfterMs: 500,
    });
    expect(endpoints.transfers).toHaveLength(0);
  });

  it("sends nothing whose response was due before", async () => {
    await expectRefusal("late", { remainingMs: 0 });
  });

  it("takes nothing more while it stops, and ends what it has taken", async () => {
    const taken = await handle();
    gate.stopAdmitting();
    const exchange = await handle();
    expect(resultOf(exchange)).toMatchObject({ refusal: "stopping" });
    endpoints.last.respond(200, "ok");
    expect(taken.status).toBe(200);
  });

  it("refuses when it passes on as much as it may", async () => {
    for (let count = 0; count < 210; count++) await handle();
    const exchange = await handle();
    expect(resultOf(exchange)).toMatchObject({ refusal: "busy" });
    expect(endpoints.transfers.length).toBeLessThan(210);
  });

  it("ends the run when the peer closes its connection", async () => {
    const exchange = await handle();
    exchange.disconnect();
    expect(endpoints.last.isAborted).toBe(true);
    expect(gate.activeCount).toBe(0);
  });

  it("sends nothing for a peer that has left meanwhile, as while this process paused", async () => {
    const text = relayProofText(FIELDS, "POST", "/x");
    const exchange = new FakeCallerExchange({
      target: "/x",
      headers: encodeRelayRequest([], FIELDS, `proof of ${text}`),
    });
    void gate.handle(exchange);
    exchange.disconnect();
    await clock.advanceAsync(10);
    expect(endpoints.transfers).toHaveLength(0);
  });

  it("proves that nothing was sent when the connection does not open", async () => {
    endpoints.unresponsive.add(ADDRESS);
    const exchange = await handle();
    await clock.advanceAsync(200);
    expect(endpoints.last.isAborted).toBe(true);
    expect(resultOf(exchange)).toMatchObject({ refusal: "unreachable" });
    expect(connectTimeouts).toHaveLength(1);
  });

  it("claims no proof when the connection breaks after the request was sent", async () => {
    const exchange = await handle();
    endpoints.last.breakConnection();
    expect(resultOf(exchange)).toEqual({ kind: "broken" });
  });

  it("breaks off a response that the endpoint breaks off", async () => {
    const exchange = await handle();
    endpoints.last.head(200).data("o").breakConnection();
    expect(exchange.outcome).toBe("broken-off");
  });

  // Guards against old answers that arrive where the next one is due.
  it.each([["another request", ["id", "r-0"]], ["none", []]])(
    "learns no time, load or limit from an answer that names %s",
    async (_name, names) => {
      await handle();
      const headers = [...names, "retry-after", "2", "load", "3,1,6,55"];
      endpoints.last.respond(503, "", headers);
      expect(heldMs).toEqual([]);
      expect(reportedLoads).toEqual([]);
    },
  );

  // Guards against an answer that is still due, for the next request to get.
  it.each([["another request", ["id", "r-0"]], ["none", []]])(
    "uses no connection again on which an answer named %s",
    async (_name, names) => {
      const exchange = await handle();
      endpoints.last.respond(503, "", [...names, "x-not-executed", "1"]);
      expect(endpoints.last.isAborted).toBe(true);
      expect(exchange.outcome).toBe("broken-off");
    },
  );

  it("learns from the answers what the endpoint tells this host", async () => {
    await handle();
    endpoints.last.respond(503, "", [
      "id",
      "r-1",
      "x-not-executed",
      "1",
      "retry-after",
      "2",
    ]);
    expect(heldMs).toEqual([2_000]);
    await handle();
    endpoints.last.respond(200, "ok", [
      "id",
      "r-1",
      "leaving",
      "1",
      "load",
      "3,1,6,55",
      "x-response-stamp",
      "s",
    ]);
    expect(leavingMarks).toHaveLength(1);
    expect(reportedLoads).toEqual([
      { running: 3, waiting: 1, slots: 6, pacePercent: 55 },
    ]);
  });
});
