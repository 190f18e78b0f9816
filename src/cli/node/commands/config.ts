/** `ragwort config`. */

import { asId, type TeamName } from "../../../base/common/ids.ts";
import { type CliContext, EXIT_CODES, type ExitCode } from "../cli_context.ts";
import { SystemClock } from "../../../base/node/system_clock.ts";
import { applyConfig } from "../config_apply.ts";
import { DEFAULT_WAIT_MS, waitUntilInForce } from "../config_wait.ts";
import { type AddCommand, type GlobalOptions, withFile } from "../shell.ts";
import {
  diffConfig,
  getConfig,
  setConfig,
  showHistory,
} from "./config_actions.ts";

/** What `ragwort config` can do. */
export const CONFIG_ACTIONS = ["get", "set", "apply", "diff", "history"];

const USAGE = `config get TEAM[/PATH]
  $ ragwort config set TEAM/PATH VALUE
  $ ragwort config apply TEAM FILE [--from REVISION] [--wait]
  $ ragwort config diff TEAM FILE
  $ ragwort config history TEAM`;

interface ConfigOptions extends GlobalOptions {
  readonly from?: number;
  readonly wait?: boolean;
}

/** Adds the command. */
export const addConfigCommand: AddCommand = (cli, shell) => {
  cli.command("config <action> [...words]", "Read or change a team's document")
    .usage(USAGE)
    .option("--from <revision>", "Revision that the document was made from")
    .option("--wait", "Wait until every daemon has the change in force")
    .example("ragwort config get taranga/classes")
    .example("ragwort config set taranga/classes/lookup/priority 8")
    .example("ragwort config diff taranga taranga.yaml")
    .example("ragwort config apply taranga taranga.yaml --from 41")
    .action((
      action: string,
      words: readonly string[],
      options: ConfigOptions,
    ) =>
      shell.run(
        options,
        (context) => runConfig(context, action, words, options),
      )
    );
};

async function runConfig(
  context: CliContext,
  action: string,
  words: readonly string[],
  options: ConfigOptions,
): Promise<ExitCode> {
  const [first, second] = words;
  if (first === undefined) return printUsage(context);
  const team = asId<TeamName>(first);
  if (second === undefined) {
    if (action === "get") return await getConfig(context, first);
    if (action === "history") return await showHistory(context, team);
    return printUsage(context);
  }
  switch (action) {
    case "set":
      return await setConfig(context, first, second);
    case "apply":
      return await withFile(context, second, (text) =>
        applyConfig(context, {
          team,
          text,
          source: second,
          ...(options.from === undefined
            ? {}
            : { expectedRevision: Number(options.from) }),
          ...(options.wait
            ? { onAccepted: createRevisionWaiter(context, team) }
            : {}),
        }));
    case "diff":
      return await withFile(
        context,
        second,
        (text) => diffConfig(context, team, text),
      );
    default:
      return printUsage(context);
  }
}

function createRevisionWaiter(context: CliContext, team: TeamName) {
  return (revision: number): Promise<ExitCode> =>
    waitUntilInForce(context, new SystemClock(), {
      team,
      revision,
      waitMs: DEFAULT_WAIT_MS,
    });
}

function printUsage(context: CliContext): ExitCode {
  context.printError(`usage:\n  $ ragwort ${USAGE}`);
  return EXIT_CODES.badInput;
}
