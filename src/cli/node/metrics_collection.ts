/** Figures of all daemons. */

import { rightOf } from "../../base/common/result.ts";
import type { DaemonMetricsSnapshot } from "../../services/metrics/common/metrics_snapshot.ts";
import { type CliContext, withProgress } from "./cli_context.ts";
import { queryAllDaemons, reportFailedDaemons } from "./operator_client.ts";

/** Figures, and whether they are those of all daemons. */
export interface CollectedMetrics {
  readonly daemons: readonly DaemonMetricsSnapshot[];
  readonly areComplete: boolean;
}

/**
 * Asks all daemons for their figures and prints which ones gave none.
 *
 * @param context - Holds the daemons.
 * @param query - Query of the call, such as `?class=lookup`.
 */
export async function collectMetrics(
  context: CliContext,
  query = "",
): Promise<CollectedMetrics> {
  const answers = await withProgress(
    context,
    "asking the daemons",
    queryAllDaemons<DaemonMetricsSnapshot>(context, `/figures${query}`),
  );
  const areComplete = reportFailedDaemons(context, answers);
  const daemons = answers.flatMap(({ result }) => rightOf(result) ?? []);
  return { daemons, areComplete };
}
