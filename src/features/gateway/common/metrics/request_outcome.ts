/** How requests end, for the log, the metrics and operators. */

/** Outcome of a request, as it appears in the log and in the metrics. */
export type RequestOutcome =
  | "served"
  | "failed-by-endpoint"
  | "not-run"
  | "unknown"
  | "interrupted"
  | "caller-left";
