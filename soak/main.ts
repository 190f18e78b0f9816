/**
 * Command line of the soak: `npm run soak -- --seed N --seeds K --seconds S`.
 * Exits with 1 if a guarantee was violated.
 */

import { cac } from "cac";
import { handleLostOutput } from "../src/services/log/node/result_output.ts";
import { describeCopies, isCopyTested } from "./copied_answers.ts";
import { FAULT_NAMES, type FaultName } from "./faults.ts";
import { runSoak } from "./soak_run.ts";

const PROGRAM_PATH = "target/ragwortd-platform.cjs";
const LOG_FOLDER = "soak-logs";
const FIRST_PORT = 17_000;
const EXIT_VIOLATIONS = 1;

handleLostOutput("go-on");
const cli = cac("soak");
cli.option("--seed <n>", "First random seed", { default: 1 });
cli.option("--seeds <n>", "Number of seeds to run, one after the other", {
  default: 1,
});
cli.option("--seconds <n>", "Duration of each soak in seconds", {
  default: 20,
});
cli.option("--daemons <n>", "Number of daemons", { default: 4 });
cli.option("--callers <n>", "Number of concurrent callers", { default: 12 });
cli.option("--gap <n>", "Time between the requests of a caller in ms", {
  default: 25,
});
cli.option("--port <n>", "First port of the daemons", { default: FIRST_PORT });
cli.option("--faults <names>", `Faults to inject, of ${FAULT_NAMES.join()}`, {
  default: FAULT_NAMES.join(),
});
cli.option("--program <path>", "Built program of the daemons", {
  default: PROGRAM_PATH,
});
cli.option(
  "--other-program <path>",
  "Built program of every second daemon, as in an upgrade",
);
cli.option("--logs <path>", "Folder for the logs of each seed", {
  default: LOG_FOLDER,
});
cli.option(
  "--require-copies",
  "Exit with 1 if no copy of a refusal was sent ahead of an answer",
);
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const faults = parseFaults(String(options["faults"]));
  const firstSeed = Number(options["seed"]);
  for (
    let seed = firstSeed;
    seed < firstSeed + Number(options["seeds"]);
    seed++
  ) {
    const result = await runSoak({
      seed,
      seconds: Number(options["seconds"]),
      daemonCount: Number(options["daemons"]),
      callerCount: Number(options["callers"]),
      faults,
      gapMs: Number(options["gap"]),
      firstPort: Number(options["port"]),
      programPath: String(options["program"]),
      otherProgramPath: String(options["otherProgram"] ?? options["program"]),
      folder: `${String(options["logs"])}/${seed}`,
    });
    const { sentCount, servedCount, restartCount, violations } = result;
    const { crashCount, limitCount, mostRepeats, resumedCount } = result;
    const { answers, mixedStreams, takeUps } = result;
    const verdict = violations.length === 0 ? "kept" : "BROKEN";
    console.log(
      `seed ${seed}: ${verdict}, ${servedCount} of ${sentCount} served, ${restartCount} restarts, ${crashCount} endpoints crashed, ${limitCount} limits named, ${result.evacuationCount} evacuations (${result.longEvacuationCount} past the bound, ${result.evacuatedCutCount} streams cut beside them), ${resumedCount} streams went on, at most ${mostRepeats} repeats in 10 s`,
    );
    console.log(
      `  ${result.relayedCount} passed on by peers, ${result.refusedCount} refused with a promise`,
    );
    const { copies, reusedAddressCount, shortCount } = result;
    console.log(
      `  ${shortCount} short requests first; ${reusedAddressCount} endpoints returned under other ids; ${
        describeCopies(copies)
      }`,
    );
    const isRequired = options["requireCopies"] === true;
    if (isRequired && !isCopyTested(copies)) process.exitCode = EXIT_VIOLATIONS;
    const { completed, refusedForVersion, refusedOtherwise } = takeUps;
    console.log(
      `  ${takeUps.sent} tries took streams up: ${completed} completed, ${refusedForVersion} refused for the version, ${refusedOtherwise} otherwise; ${mixedStreams.length} streams mixed`,
    );
    const { brokenWhole, calm, endedInside, moved, repeatedWhole, unsized } =
      answers;
    console.log(
      `  ${unsized} answers without a length, of them ${endedInside} ended inside; streams went on from ${moved.moved} copies and ${moved.backup} backups; of ${calm} finished without a disturbance, ${brokenWhole.length} broken off and ${repeatedWhole.length} run again`,
    );
    for (const answer of brokenWhole) console.log(`  broken off: ${answer}`);
    for (const answer of repeatedWhole) console.log(`  run again: ${answer}`);
    for (const stream of mixedStreams) console.log(`  mixed: ${stream}`);
    for (const violation of violations) console.log(`  ${violation}`);
    if (violations.length > 0) process.exitCode = EXIT_VIOLATIONS;
  }
  // Node.js may wait forever, busily, for handles that it closes after the end
  // of the event loop. A failed write is reported before.
  setImmediate(() => process.exit());
}

function parseFaults(text: string): readonly FaultName[] {
  return text.split(",").map((name) => {
    const found = FAULT_NAMES.find((known) => known === name);
    if (!found) throw new Error(`unknown fault ${name}; see --help`);
    return found;
  });
}
