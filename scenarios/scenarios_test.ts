import { findScenarioFiles, readScenario } from "./runner/scenario_file.ts";
import { runScenario } from "./runner/scenario_runner.ts";

describe("scenarios", () => {
  for (const path of findScenarioFiles("scenarios")) {
    it(path, async () => {
      const scenario = readScenario(path);
      if (scenario.isLeft()) throw new Error(scenario.extract());
      expect(await runScenario(scenario.unsafeCoerce())).toEqual([]);
    });
  }
});
