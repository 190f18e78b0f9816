/** `ragwort orders`: prints the rollouts of all zones. */

import { showOrders } from "../orders_command.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Registers the command. */
export const addOrdersCommand: AddCommand = (cli, shell) => {
  cli.command("orders", "Show rollouts of models, versions and adapters")
    .example("ragwort orders --daemons 10.0.0.1:9642,10.0.0.2:9642")
    .action((options: GlobalOptions) => shell.run(options, showOrders));
};
