/** Collects the metrics of all daemons. */

import { rightOf } from "../../base/common/result.ts";
import type { DaemonMetricsSnapshot } from "../../services/metrics/common/metrics_snapshot.ts";
import { type CliContext, withProgress } from "./cli_context.ts";
import { queryAllDaemons, reportFailedDaemons } from "./operator_client.ts";

/** Snapshots of the daemons that responded. */
export interface CollectedMetrics {
  readonly daemons: readonly DaemonMetricsSnapshot[];
  /** Whether all daemons responded. */
  readonly areComplete: boolean;
}

/**
 * Requests the metrics of all daemons and prints which daemons failed.
 *
 * @param context - Context with the operator ports of the daemons.
 * @param query - Query string, such as `?class=lookup`.
 */
export async function collectMetrics(
  context: CliContext,
  query = "",
): Promise<CollectedMetrics> {
  const answers = await withProgress(
    context,
    "querying the daemons",
    queryAllDaemons<DaemonMetricsSnapshot>(context, `/figures${query}`),
  );
  const areComplete = reportFailedDaemons(context, answers);
  const daemons = answers.flatMap(({ result }) => rightOf(result) ?? []);
  return { daemons, areComplete };
}
