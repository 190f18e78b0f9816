/** The longest gap between two events of a stream, for the log. */

import type { EndpointId } from "../../../../base/common/ids.ts";

/** Time between two events of a stream, with what preceded the later one. */
export interface EventGap {
  readonly gapMs: number;
  /** Endpoint of the later event. */
  readonly endpoint: EndpointId;
  /** Whether the later event is the first one of another run. */
  readonly isHandover: boolean;
  /** Prompt tokens that the endpoint had yet to prefill, as known here. */
  readonly pendingPrefillTokens: number;
  readonly runs: number;
  readonly memoryTokens: number;
}

/** @returns The fields of the log line for the longest gap of a stream. */
export function gapFields(
  gap: EventGap | undefined,
): Readonly<Record<string, string | number | boolean>> {
  if (!gap) return {};
  return {
    gapMs: Math.round(gap.gapMs),
    gapEndpoint: gap.endpoint,
    gapHandover: gap.isHandover,
    gapRuns: gap.runs,
    gapMemoryTokens: Math.round(gap.memoryTokens),
    gapPendingPrefillTokens: gap.pendingPrefillTokens,
  };
}
