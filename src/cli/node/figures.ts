/** Figures of all daemons. */

import { rightOf } from "../../base/common/result.ts";
import type { DaemonFigures } from "../../services/metrics/common/figures.ts";
import { type CliContext, withProgress } from "./cli_context.ts";
import { askAllDaemons, reportSilentDaemons } from "./operator_client.ts";

/** Figures, and whether they are those of all daemons. */
export interface CollectedFigures {
  readonly daemons: readonly DaemonFigures[];
  readonly areComplete: boolean;
}

/**
 * Asks all daemons for their figures and prints which ones gave none.
 *
 * @param context - Holds the daemons.
 * @param query - Query of the call, such as `?class=lookup`.
 */
export async function collectFigures(
  context: CliContext,
  query = "",
): Promise<CollectedFigures> {
  const answers = await withProgress(
    context,
    "asking the daemons",
    askAllDaemons<DaemonFigures>(context, `/figures${query}`),
  );
  const areComplete = reportSilentDaemons(context, answers);
  const daemons = answers.flatMap(({ result }) => rightOf(result) ?? []);
  return { daemons, areComplete };
}
