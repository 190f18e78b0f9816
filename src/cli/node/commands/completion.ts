/** `ragwort completion`. */

import type { CAC } from "cac";
import {
  type CompletedCommand,
  createCompletion,
  SHELLS,
} from "../../common/completion.ts";
import { EXIT_CODES, printResult } from "../cli_context.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";
import { CONFIG_ACTIONS } from "./config.ts";
import { ENDPOINT_ACTIONS } from "./endpoint.ts";
import { QUARANTINE_ACTIONS } from "./quarantine.ts";

const ACTIONS: Readonly<Record<string, readonly string[]>> = {
  config: CONFIG_ACTIONS,
  endpoint: ENDPOINT_ACTIONS,
  quarantine: QUARANTINE_ACTIONS,
  completion: SHELLS,
};

/** Adds the command. */
export const addCompletionCommand: AddCommand = (cli, shell) => {
  cli.command("completion <shell>", "Print a completion script: bash or zsh")
    .example("ragwort completion bash > /etc/bash_completion.d/ragwort")
    .example(`eval "$(ragwort completion zsh)"`)
    .action((name: string, options: GlobalOptions) =>
      shell.run(options, (context) => {
        const shellName = SHELLS.find((candidate) => candidate === name);
        if (!shellName) {
          context.printError(`the shell must be ${SHELLS.join(" or ")}`);
          return EXIT_CODES.badInput;
        }
        const script = createCompletion(shellName, toCompletedCommands(cli));
        printResult(context, { shell: shellName, script }, script);
        return EXIT_CODES.ok;
      })
    );
};

function toCompletedCommands(cli: CAC): CompletedCommand[] {
  const globalOptions = getOptionNames(cli.globalCommand.options);
  return cli.commands.map(({ name, description, options }) => ({
    name,
    description,
    actions: ACTIONS[name] ?? [],
    options: [...getOptionNames(options), ...globalOptions],
  }));
}

function getOptionNames(options: readonly { readonly rawName: string }[]) {
  return options.flatMap(({ rawName }) => rawName.match(/--[a-z-]+/g) ?? []);
}
