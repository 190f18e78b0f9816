/** `ragwort status`. */

import type { CAC } from "cac";
import type { GlobalOptions, Shell } from "../shell.ts";
import { showStatus } from "../status_command.ts";

/**
 * Adds the command.
 *
 * @param cli - The command line.
 * @param shell - Runs it.
 */
export function addStatusCommand(cli: CAC, shell: Shell): void {
  cli.command("status", "Show every daemon")
    .example("ragwort status --daemons 10.0.0.1:9642,10.0.0.2:9642")
    .action((options: GlobalOptions) => shell.run(options, showStatus));
}
