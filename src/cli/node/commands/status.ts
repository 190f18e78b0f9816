/** `ragwort status`: prints the status of all daemons. */

import type { AddCommand, GlobalOptions } from "../shell.ts";
import { showStatus } from "../status_command.ts";

/** Registers the command. */
export const addStatusCommand: AddCommand = (cli, shell) => {
  cli.command("status", "Show the status of all daemons")
    .example("ragwort status --daemons 10.0.0.1:9642,10.0.0.2:9642")
    .action((options: GlobalOptions) => shell.run(options, showStatus));
};
