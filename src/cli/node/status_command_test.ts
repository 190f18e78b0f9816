import { formatHedging } from "./status_command.ts";

describe("ragwort status", () => {
  it("shows the limits of hedged calls, and nothing where they are off", () => {
    const limits = { maxExtraShare: 0.05, maxExtraPerS: 20 };
    expect(formatHedging(undefined)).toEqual([]);
    expect(formatHedging({ services: {} })).toEqual([]);
    expect(formatHedging({ default: limits, services: { app: limits } }))
      .toEqual([
        "hedging default 0.05 of calls, 20/s; app 0.05 of calls, 20/s",
      ]);
  });
});
