/** `ragwort explain`. */

import { rightOf } from "../../../base/common/result.ts";
import {
  type Explanation,
  formatExplanation,
} from "../../common/explanation.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
  withProgress,
} from "../cli_context.ts";
import { queryAllDaemons, reportFailedDaemons } from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Adds the command. */
export const addExplainCommand: AddCommand = (cli, shell) => {
  cli.command(
    "explain <request-id>",
    "Say why a request waited, went where it went, or was refused",
  )
    .example("ragwort explain 0b7e4c1e-6a51-4f0e-9d0b-0d5c1c2f7a10")
    .action((id: string, options: GlobalOptions) =>
      shell.run(options, (context) => explainRequest(context, id))
    );
};

async function explainRequest(
  context: CliContext,
  id: string,
): Promise<ExitCode> {
  const answers = await withProgress(
    context,
    "asking the daemons",
    queryAllDaemons<Explanation>(context, `/explain/${encodeURIComponent(id)}`),
  );
  const explanation = answers.flatMap(({ result }) => rightOf(result) ?? [])[0];
  if (explanation) {
    printResult(
      context,
      explanation,
      formatExplanation(explanation).join("\n"),
    );
    return EXIT_CODES.ok;
  }
  const failed = answers.filter(({ result }) =>
    result.isLeft() && result.extract().kind !== "not-found"
  );
  if (failed.length > 0 || answers.length === 0) {
    reportFailedDaemons(context, failed);
    return EXIT_CODES.unreachable;
  }
  context.printError(
    `no daemon remembers request ${id}; take the x-request-id of the answer. ` +
      "Each daemon remembers its newest 4,096 requests until it stops",
  );
  return EXIT_CODES.failed;
}
