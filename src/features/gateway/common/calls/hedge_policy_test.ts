import {
  decideHedge,
  type HedgeableCall,
  type HedgeConditions,
} from "./hedge_policy.ts";

const CALL: HedgeableCall = {
  kind: "idempotent",
  startedMs: 100,
  delayMs: 20,
  objectiveEndMs: 250,
  canSendTwice: true,
  hasSendLeft: true,
};
const CONDITIONS: HedgeConditions = {
  isStopping: false,
  isSuspect: false,
  hasFreeSlot: true,
  hasEndpoint: true,
  isWithinBudget: true,
};

describe("decideHedge", () => {
  it("waits until nearly all calls of the kind are answered, then sends", () => {
    const unused = (): HedgeConditions => {
      throw new Error("the endpoints are compared before the hedge is due");
    };
    expect(decideHedge(CALL, 100, unused)).toEqual({
      kind: "wait",
      untilMs: 120,
    });
    expect(decideHedge(CALL, 120, () => CONDITIONS)).toEqual({ kind: "send" });
  });

  it.each<[string, Partial<HedgeableCall>]>([
    ["not-idempotent", { kind: "non-idempotent" }],
    ["not-idempotent", { kind: "generation" }],
    ["single-send-body", { canSendTwice: false }],
    ["attempts-used", { hasSendLeft: false }],
    ["few-samples", { delayMs: undefined }],
    ["past-objective", { delayMs: 150 }],
  ])("sends none: %s %j", (reason, change) => {
    const decide = (nowMs: number) =>
      decideHedge({ ...CALL, ...change }, nowMs, () => CONDITIONS);
    expect(decide(100)).toEqual({ kind: "suppressed", reason });
    expect(decide(120)).toEqual({ kind: "suppressed", reason });
  });

  it.each<[string, Partial<HedgeConditions>]>([
    ["stopping", { isStopping: true }],
    ["suspected", { isSuspect: true }],
    ["no-free-slot", { hasFreeSlot: false }],
    ["no-endpoint", { hasEndpoint: false }],
    ["budget", { isWithinBudget: false }],
  ])("sends none when due: %s", (reason, change) => {
    expect(decideHedge(CALL, 120, () => ({ ...CONDITIONS, ...change })))
      .toEqual({ kind: "suppressed", reason });
  });

  it("sends without another wait when a timer is slightly early", () => {
    expect(decideHedge(CALL, 120 - 1e-9, () => CONDITIONS))
      .toEqual({ kind: "send" });
  });

  it("sends none at the end of the objective, when a timer is late", () => {
    expect(decideHedge(CALL, 250, () => CONDITIONS)).toEqual({
      kind: "suppressed",
      reason: "past-objective",
    });
  });
});
