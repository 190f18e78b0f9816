/** `npm run soak -- --seed N --seeds K --seconds S`: soaks by hand. */

import { cac } from "cac";
import { runSoak } from "./soak_run.ts";

const PROGRAM = "target/ragwortd-platform.cjs";
const FIRST_PORT = 17_000;
const EXIT_BROKEN = 1;

const cli = cac("soak");
cli.option("--seed <n>", "First seed", { default: 1 });
cli.option("--seeds <n>", "How many seeds, one after the other", {
  default: 1,
});
cli.option("--seconds <n>", "Length of each soak", { default: 20 });
cli.option("--daemons <n>", "Daemons", { default: 4 });
cli.option("--callers <n>", "Callers", { default: 12 });
cli.option("--port <n>", "First port", { default: FIRST_PORT });
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const first = Number(options["seed"]);
  for (let seed = first; seed < first + Number(options["seeds"]); seed++) {
    const result = await runSoak({
      seed,
      seconds: Number(options["seconds"]),
      daemonCount: Number(options["daemons"]),
      callerCount: Number(options["callers"]),
      firstPort: Number(options["port"]),
      programPath: PROGRAM,
      folder: `soak-logs/${seed}`,
    });
    const {
      violations: broken,
      sentCount: sent,
      servedCount: served,
      restartCount: starts,
    } = result;
    const verdict = broken.length === 0 ? "kept" : "BROKEN";
    console.log(
      `seed ${seed}: ${verdict}, ${served} of ${sent} served, ${starts} restarts`,
    );
    for (const line of broken) console.log(`  ${line}`);
    if (broken.length > 0) process.exitCode = EXIT_BROKEN;
  }
}
