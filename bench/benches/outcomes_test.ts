import { bench } from "./outcomes.ts";

describe("the outcomes bench", () => {
  it("sees no broken promise in a short run over real sockets", async () => {
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
