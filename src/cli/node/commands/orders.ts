/** `ragwort orders`. */

import type { CAC } from "cac";
import { showOrders } from "../orders_command.ts";
import type { GlobalOptions, Shell } from "../shell.ts";

/**
 * Adds the command.
 *
 * @param cli - The command line.
 * @param shell - Runs it.
 */
export function addOrdersCommand(cli: CAC, shell: Shell): void {
  cli.command("orders", "Show rollouts of models, versions and adapters")
    .example("ragwort orders --daemons 10.0.0.1:9642,10.0.0.2:9642")
    .action((options: GlobalOptions) => shell.run(options, showOrders));
}
