/**
 * `ragwort demo` and `ragwort bench`: print the npm scripts of these programs,
 * which are not part of the command line.
 */

import { EXIT_CODES, printResult } from "../cli_context.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Registers the commands. */
export const addHintCommands: AddCommand = (cli, shell) => {
  const addHint = (name: string, summary: string, line: string): void => {
    cli.command(name, summary).action((options: GlobalOptions) =>
      shell.run(options, (context) => {
        printResult(context, { run: line }, `in a checkout run: ${line}`);
        return EXIT_CODES.ok;
      })
    );
  };
  addHint(
    "demo",
    "Print how to run the demo on the loopback interface",
    "npm run demo",
  );
  addHint(
    "bench",
    "Print how to run the benchmarks",
    "npm run bench -- metrics --json",
  );
};
