import fc from "fast-check";
import { asId, type EndpointId } from "../../../base/common/ids.ts";
import type { EngineState } from "../../../services/endpoints/common/engine_client.ts";
import type { DesiredState, ObservedEndpoint, RolloutStep } from "./rollout.ts";
import { RolloutPlanner } from "./rollout_planner.ts";

const ROUND_MS = 1_000;
const MAX_REPORT_AGE_MS = 5_000;
const ROUNDS = 400;
const MAX_SPREAD_MS = 2_000;

/** Arrival after the drain, duration of the request, age of reports. */
type ReplicaShape = readonly [number, number, number];

function desiredVersion(version: string): DesiredState {
  return { model: "m", version, adapters: ["a"], canaryObserveMs: 3_000 };
}

/** A replica whose reports lag, and that gets a last request after its drain. */
class FakeReplica {
  readonly id: EndpointId;
  state: EngineState = {
    model: "m",
    version: "1",
    adapters: [],
    role: "serve",
    highestFence: 0,
  };
  isDrained = false;
  drainedMs = 0;
  readonly lastArrivalMs: number;
  readonly busyMs: number;
  readonly reportAgeMs: number;

  constructor(index: number, [arrivalMs, busyMs, ageMs]: ReplicaShape) {
    this.id = asId<EndpointId>(`e${index}`);
    this.lastArrivalMs = arrivalMs;
    this.busyMs = busyMs;
    this.reportAgeMs = ageMs;
  }

  /** A daemon that has not heard of the drain sends one more request. */
  isBusyAt(nowMs: number): boolean {
    const sinceArrivalMs = nowMs - this.drainedMs - this.lastArrivalMs;
    return this.isDrained && sinceArrivalMs >= 0 &&
      sinceArrivalMs < this.busyMs;
  }

  observe(nowMs: number): ObservedEndpoint {
    const running = this.isBusyAt(nowMs - this.reportAgeMs) ? 1 : 0;
    return {
      id: this.id,
      state: this.state,
      load: {
        ageMs: this.reportAgeMs,
        running,
        queued: 0,
        memoryUsedTokens: 0,
        memoryTotalTokens: 1_000,
        preemptions: 0,
        incarnation: "1",
        isLeaving: false,
      },
    };
  }

  apply(step: RolloutStep, nowMs: number): void {
    if (step.kind === "drain") {
      this.isDrained = true;
      this.drainedMs = nowMs;
    } else if (step.kind === "undrain") this.isDrained = false;
    else if (step.kind === "order") this.#carryOut(step, nowMs);
  }

  #carryOut(
    { order }: Extract<RolloutStep, { kind: "order" }>,
    nowMs: number,
  ): void {
    if (order.kind === "load-model") {
      expect(this.isBusyAt(nowMs)).toBe(false);
      this.state = { ...this.state, version: order.version, adapters: [] };
    } else if (order.kind === "load-adapter") {
      this.state = {
        ...this.state,
        adapters: [...this.state.adapters, order.adapter],
      };
    }
  }
}

describe("RolloutPlanner", () => {
  it("changes idle endpoints one after the other until all are as desired", () => {
    const replicas = fc.array(
      fc.tuple(
        fc.nat(MAX_SPREAD_MS),
        fc.nat(30_000),
        fc.nat(MAX_REPORT_AGE_MS),
      ),
      { minLength: 2, maxLength: 5 },
    );
    fc.assert(
      fc.property(replicas, fc.nat(100), (shapes, changeRound) => {
        const fakes = shapes.map((shape, index) =>
          new FakeReplica(index, shape)
        );
        const planner = new RolloutPlanner();
        for (let round = 0; round < ROUNDS; round++) {
          const nowMs = round * ROUND_MS;
          const step = planner.plan({
            nowMs,
            desired: desiredVersion(round < changeRound ? "2" : "3"),
            endpoints: fakes.map((fake) => fake.observe(nowMs)),
            canStartDownload: round % 2 === 0,
            servingInOtherZones: 0,
          });
          if ("endpoint" in step) {
            fakes.find(({ id }) => id === step.endpoint)?.apply(step, nowMs);
          }
          expect(fakes.filter(({ isDrained }) => isDrained).length)
            .toBeLessThan(2);
        }
        expect(planner.stage).toEqual({ kind: "settled" });
        for (const { state } of fakes) {
          expect(state).toMatchObject({ version: "3", adapters: ["a"] });
        }
      }),
      { seed: 11, numRuns: 60 },
    );
  });

  it("never takes the only endpoint that serves", () => {
    const fake = new FakeReplica(0, [0, 0, 0]);
    const planner = new RolloutPlanner();
    const step = planner.plan({
      nowMs: 0,
      desired: desiredVersion("2"),
      endpoints: [fake.observe(0)],
      canStartDownload: true,
      servingInOtherZones: 0,
    });
    expect(step).toEqual({ kind: "none" });
    expect(planner.stage.kind).toBe("waiting");
  });
});
