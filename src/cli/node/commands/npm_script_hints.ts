/** `ragwort demo` and `ragwort bench`: where these programs are found. */

import { EXIT_CODES, printResult } from "../cli_context.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Adds the commands. */
export const addHintCommands: AddCommand = (cli, shell) => {
  const addHint = (name: string, summary: string, line: string): void => {
    cli.command(name, summary).action((options: GlobalOptions) =>
      shell.run(options, (context) => {
        printResult(context, { run: line }, `in a checkout run: ${line}`);
        return EXIT_CODES.ok;
      })
    );
  };
  addHint("demo", "Say how to see the whole path on loopback", "npm run demo");
  addHint("bench", "Say how to measure", "npm run bench -- metrics --json");
};
