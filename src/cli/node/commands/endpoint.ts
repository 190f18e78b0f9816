/** `ragwort endpoint`. */

import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import { postToFirstDaemon, reportFailures } from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** What `ragwort endpoint` can do. */
export const ENDPOINT_ACTIONS = ["drain", "return"];

const PATH_PART_COUNT = 3;

/** Adds the command. */
export const addEndpointCommand: AddCommand = (cli, shell) => {
  cli.command(
    "endpoint <action> <path>",
    "Let an endpoint leave (drain) or be used again (return)",
  )
    .usage("endpoint drain|return TEAM/SERVICE/ENDPOINT")
    .example("ragwort endpoint drain piel/taller-modelo/tunja-3")
    .action((action: string, path: string, options: GlobalOptions) =>
      shell.run(options, (context) => sendEndpointAction(context, action, path))
    );
};

/**
 * Gives an operator's word to one daemon, which tells the others.
 *
 * @param context - Holds the operator ports.
 * @param action - `drain` or `return`.
 * @param path - The endpoint as `team/service/endpoint`.
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
      reportFailures(context, failed, `no daemon knows the endpoint ${path}`),
    Right: (answer) => {
      const state = action === "drain"
        ? "gets nothing new; what it runs goes on"
        : "is used again";
      printResult(context, answer, `${path} ${state}`);
      return EXIT_CODES.ok;
    },
  });
}
