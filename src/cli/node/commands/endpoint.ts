/** `ragwort endpoint`: drains an endpoint or returns it to service. */

import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import { postToFirstDaemon, reportFailures } from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Actions of `ragwort endpoint`. */
export const ENDPOINT_ACTIONS = ["drain", "return"];

const PATH_PART_COUNT = 3;

/** Registers the command. */
export const addEndpointCommand: AddCommand = (cli, shell) => {
  cli.command(
    "endpoint <action> <path>",
    "Drain an endpoint, or return it to service",
  )
    .usage("endpoint drain|return TEAM/SERVICE/ENDPOINT")
    .example("ragwort endpoint drain piel/taller-modelo/tunja-3")
    .action((action: string, path: string, options: GlobalOptions) =>
      shell.run(options, (context) => sendEndpointAction(context, action, path))
    );
};

/**
 * Sends an action to one daemon, which notifies its peers.
 *
 * @param context - Context with the operator ports of the daemons.
 * @param action - `drain` or `return`.
 * @param path - Path of the endpoint in the form `team/service/endpoint`.
 * @returns The exit code of the command.
 */
export async function sendEndpointAction(
  context: CliContext,
  action: string,
  path: string,
): Promise<ExitCode> {
  const parts = path.split("/").map(encodeURIComponent);
  if (!ENDPOINT_ACTIONS.includes(action) || parts.length !== PATH_PART_COUNT) {
    context.printError(
      "usage: ragwort endpoint drain|return TEAM/SERVICE/ENDPOINT",
    );
    return EXIT_CODES.badInput;
  }
  const response = await postToFirstDaemon<object>(
    context,
    `/endpoints/${parts.join("/")}/${action}`,
  );
  return response.caseOf<ExitCode>({
    Left: (failed) =>
      reportFailures(
        context,
        failed,
        `endpoint ${path} is not configured on any daemon`,
      ),
    Right: (answer) => {
      const state = action === "drain"
        ? "gets nothing new; what it runs goes on"
        : "is back in service";
      printResult(context, answer, `${path} ${state}`);
      return EXIT_CODES.ok;
    },
  });
}
