/** The hedge of a call, for the log. */

/** A second attempt that was sent while the first one was in progress. */
export interface HedgeRecord {
  /** Time from the start of the first attempt to the hedge, in milliseconds. */
  readonly delayMs: number;
  /** Attempt whose answer the caller gets; absent if both failed. */
  wonBy?: "first" | "hedge";
}

/** @returns The fields of the log line for the hedge of a call. */
export function hedgeFields(
  hedge: HedgeRecord | undefined,
): Readonly<Record<string, string | number | boolean | undefined>> {
  if (!hedge) return {};
  const { delayMs, wonBy } = hedge;
  return { hedged: true, hedgeDelayMs: Math.round(delayMs), wonBy };
}
