/** Registers all commands of `ragwort` and runs a command line. */

import { type CAC, cac } from "cac";
import { toErrorMessage } from "../../base/common/errors.ts";
import { addCheckCommand } from "./commands/check.ts";
import { addCompletionCommand } from "./commands/completion.ts";
import { addConfigCommand } from "./commands/config.ts";
import { addDrainCommand } from "./commands/drain.ts";
import { addEndpointCommand } from "./commands/endpoint.ts";
import { addEvacuationsCommand } from "./commands/evacuations.ts";
import { addExplainCommand } from "./commands/explain.ts";
import { addHintCommands } from "./commands/npm_script_hints.ts";
import { addHistogramCommand } from "./commands/histogram.ts";
import { addLimitsCommand } from "./commands/limits.ts";
import { addOrdersCommand } from "./commands/orders.ts";
import { addQuarantineCommand } from "./commands/quarantine.ts";
import { addReportCommand } from "./commands/report.ts";
import { addStatusCommand } from "./commands/status.ts";
import { addTopCommand } from "./commands/top.ts";
import { type ProcessEnvironment, Shell } from "./shell.ts";

const EXIT_CODE_HELP = `  0  success
  1  the command failed, or the named object does not exist
  2  the command line or a document is invalid
  3  the document was changed concurrently
  4  the store or a daemon is unreachable`;

const ENVIRONMENT_HELP = `  RAGWORT_STORE         addresses of the store
  RAGWORT_DAEMONS       operator ports of the daemons
  RAGWORT_OPERATOR_KEY  key of the operator ports
  NO_COLOR              disables colors on a terminal`;

/**
 * Runs a command line.
 *
 * @param argv - Arguments in the form of `process.argv`.
 * @param processEnvironment - Environment variables and output of the process.
 */
export async function runCommandLine(
  argv: readonly string[],
  processEnvironment: ProcessEnvironment,
): Promise<void> {
  const shell = new Shell(processEnvironment);
  try {
    const cli = createCli(shell);
    cli.parse([...argv], { run: false });
    if (cli.options["help"]) return;
    if (cli.matchedCommand) {
      await cli.runMatchedCommand();
      return;
    }
    const [name] = cli.args;
    if (name === "help" || name === undefined) printHelp(cli, cli.args[1]);
    if (name !== "help") {
      shell.fail(
        `expected a command but got ${name ?? "none"}; see: ragwort help`,
      );
    }
  } catch (thrown) {
    shell.fail(`${toErrorMessage(thrown)}; see: ragwort help`);
  }
}

function createCli(shell: Shell): CAC {
  const cli = cac("ragwort");
  cli.option("--json", "Print one JSON object per line");
  cli.option("--store <addresses>", "Addresses of the key-value store");
  cli.option("--daemons <addresses>", "Operator ports of the daemons");
  addConfigCommand(cli, shell);
  addStatusCommand(cli, shell);
  addTopCommand(cli, shell);
  addHistogramCommand(cli, shell);
  addExplainCommand(cli, shell);
  addDrainCommand(cli, shell);
  addEndpointCommand(cli, shell);
  addQuarantineCommand(cli, shell);
  addLimitsCommand(cli, shell);
  addEvacuationsCommand(cli, shell);
  addOrdersCommand(cli, shell);
  addCheckCommand(cli, shell);
  addReportCommand(cli, shell);
  addHintCommands(cli, shell);
  addCompletionCommand(cli, shell);
  cli.help((sections) => [
    ...sections,
    { title: "Environment", body: ENVIRONMENT_HELP },
    { title: "Exit codes", body: EXIT_CODE_HELP },
  ]);
  return cli;
}

function printHelp(cli: CAC, name: string | undefined): void {
  const command = cli.commands.find((candidate) => candidate.name === name);
  if (command) command.outputHelp();
  else cli.outputHelp();
}
