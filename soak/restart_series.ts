/**
 * Command line of a soak in which all daemons are killed in series while the
 * endpoints turn most requests away: `tsx soak/restart_series.ts --daemons N`.
 * Exits with 1 if a guarantee was violated.
 */

import { setTimeout as wait } from "node:timers/promises";
import { cac } from "cac";
import { SeededRandom } from "../src/base/common/random.ts";
import { CallerPool } from "./caller_pool.ts";
import { InvariantChecker } from "./invariant_checker.ts";
import {
  MAX_REVOCATION_MS,
  SoakDeployment,
  WORKSPACE_BY_KEY,
} from "./soak_deployment.ts";

const STARTUP_MS = 2_500;
const RESTART_DELAY_MS = 40;
const REJECTED_OF_FIVE = 4;

const cli = cac("restart_series");
cli.option("--seed <n>", "Random seed of the callers", { default: 1 });
cli.option("--seconds <n>", "Duration in seconds", { default: 14 });
cli.option("--daemons <n>", "Number of daemons", { default: 6 });
cli.option("--callers <n>", "Number of concurrent callers", { default: 30 });
cli.option("--gap <n>", "Time between the requests of a caller in ms", {
  default: 400,
});
cli.option("--period <n>", "Time between two kills in ms", { default: 1_500 });
cli.option("--port <n>", "First port of the daemons", { default: 25_000 });
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const invariants = new InvariantChecker(
    WORKSPACE_BY_KEY,
    MAX_REVOCATION_MS,
  );
  const deployment = new SoakDeployment({
    programPath: "target/ragwortd-platform.cjs",
    folder: "soak-logs/restart-series",
    daemonCount: Number(options["daemons"]),
    firstPort: Number(options["port"]),
    seed: Number(options["seed"]),
    versions: ["v1", "v2"],
    hasUnprovenAnswers: true,
    hasOddAnswers: false,
    copiedAnswers: undefined,
    reusesAddresses: false,
    invariants,
  });
  await deployment.start();
  await wait(STARTUP_MS);
  const callers = new CallerPool(
    new SeededRandom(Number(options["seed"])),
    deployment.daemons,
    invariants,
    Number(options["gap"]),
  );
  const callersStopped = callers.run(Number(options["callers"]));
  const endMs = Date.now() + Number(options["seconds"]) * 1_000;
  while (Date.now() < endMs) {
    for (const { replica } of deployment.endpoints) {
      replica.rejectedOfFive = REJECTED_OF_FIVE;
    }
    await wait(Number(options["period"]));
    for (const daemon of deployment.daemons) daemon.kill();
    await wait(RESTART_DELAY_MS);
    for (const daemon of deployment.daemons) daemon.start();
  }
  callers.stop();
  await callersStopped;
  const violations = invariants.findViolations();
  await deployment.stop();
  const { mostRepeats } = invariants.retryRules;
  console.log(
    `${
      violations.length === 0 ? "kept" : "BROKEN"
    }, ${invariants.servedCount()} of ${invariants.sentCount} served, at most ${mostRepeats} repeats in 10 s`,
  );
  for (const violation of violations) console.log(`  ${violation}`);
  process.exit(violations.length > 0 ? 1 : 0);
}
