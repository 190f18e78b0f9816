/**
 * Command line of the scenario runner: `npm run scenario -- FILE...` runs the
 * given scenario files and prints the failed expectations.
 */

import { handleLostOutput } from "../../src/services/log/node/result_output.ts";
import { readScenario } from "./scenario_file.ts";
import { runScenario } from "./scenario_runner.ts";

async function runScenarioFile(path: string): Promise<boolean> {
  const scenario = readScenario(path);
  if (scenario.isLeft()) {
    process.stderr.write(`${scenario.extract()}\n`);
    return false;
  }
  const failures = await runScenario(scenario.unsafeCoerce());
  process.stdout.write(`${failures.length === 0 ? "ok  " : "FAIL"} ${path}\n`);
  for (const { step, detail } of failures) {
    process.stdout.write(`     step ${step}: ${detail}\n`);
  }
  return failures.length === 0;
}

async function runScenarioFiles(paths: readonly string[]): Promise<void> {
  if (paths.length === 0) {
    process.stderr.write(
      "no scenario file given; usage: npm run scenario -- FILE...\n",
    );
    process.exitCode = 2;
  }
  for (const path of paths) {
    if (!await runScenarioFile(path)) process.exitCode = 1;
  }
}

handleLostOutput("go-on");
void runScenarioFiles(process.argv.slice(2));
