import { bench } from "./outcomes.ts";

describe("the outcomes benchmark", () => {
  it("finds no lost, doubled or misreported request in a short run", async () => {
    const summary = await bench.run({
      seed: 1,
      args: ["600"],
      printRow: () => undefined,
      printNote: () => undefined,
    });
    expect(summary).toMatchObject({
      requests: 600,
      lost: 0,
      doubled: 0,
      crossed: 0,
      falseNotRun: 0,
    });
  });
});
