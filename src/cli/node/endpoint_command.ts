/** `ragwort drain-endpoint` and `ragwort return-endpoint`. */

import { rightOf } from "../../base/common/result.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";
import { callOperatorPort } from "./status_command.ts";

/** What an operator says of an endpoint. */
export type EndpointWord = "drain" | "return";

/**
 * Gives the word to one daemon, which tells the others.
 *
 * @param context - Holds the operator ports.
 * @param word - What is said.
 * @param name - The endpoint as `team/service/endpoint`.
 */
export async function tellOfEndpoint(
  context: CliContext,
  word: EndpointWord,
  name: string,
): Promise<ExitCode> {
  if (name.split("/").length !== 3) {
    context.printError("name the endpoint as TEAM/SERVICE/ENDPOINT");
    return EXIT_CODES.badInput;
  }
  for (const address of context.daemons) {
    const path = `/endpoints/${name}/${word}`;
    const answer = await callOperatorPort(context, "POST", address, path);
    if (rightOf(answer) === undefined) continue;
    printResult(
      context,
      { endpoint: name, word, told: address },
      `${name}: ${word} (told ${address})`,
    );
    return EXIT_CODES.ok;
  }
  context.printError("no daemon could be reached; name them with --daemons");
  return EXIT_CODES.unreachable;
}
