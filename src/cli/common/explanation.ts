/** The decisions about a request, in sentences. */

import { assertNever } from "../../base/common/errors.ts";
import type { TimedDecision } from "../../features/explain/common/decision_log.ts";

/** What a daemon knows of a request. */
export interface Explanation {
  readonly host: string;
  readonly requestId: string;
  readonly decisions: readonly TimedDecision[];
}

/**
 * @param explanation - What a daemon knows of a request.
 * @returns One line a decision, each with the time since the first one.
 */
export function formatExplanation(
  { host, requestId, decisions }: Explanation,
): string[] {
  const startMs = decisions[0]?.atMs ?? 0;
  const startTime = new Date(startMs).toISOString();
  const lines = decisions.map((decision) => {
    const sinceMs = Math.round(decision.atMs - startMs);
    return `${`+${sinceMs} ms`.padStart(12)}  ${describeDecision(decision)}`;
  });
  const heading = `request ${requestId} at ${host}, from ${startTime}`;
  return [heading, ...lines, ...describePending(decisions.at(-1))];
}

/** What a request that has not ended is waiting for. */
function describePending(last: TimedDecision | undefined): string[] {
  switch (last?.kind) {
    case "asked":
      return ["it waits for an endpoint now"];
    case "granted":
      return ["it waits for the endpoint's answer now"];
    case "started":
    case "resumed":
      return ["it is being streamed now"];
    case "refused":
    case "released":
    case "caller-gone":
    case "ended":
    case undefined:
      return [];
    default:
      return assertNever(last);
  }
}

function describeDecision(decision: TimedDecision): string {
  switch (decision.kind) {
    case "asked":
      return describeRequest(decision);
    case "granted":
      return `granted ${decision.endpoint} (${decision.address}) ` +
        `at priority ${decision.priority} after ${
          Math.round(decision.waitMs)
        } ms in the queue`;
    case "refused":
      return `refused: ${decision.reason}: ${decision.detail}`;
    case "released":
      return `${decision.endpoint} given back: ${decision.end}, ` +
        `${decision.generatedTokens} tokens generated`;
    case "started":
      return `the endpoint started generation ${decision.generation}`;
    case "resumed":
      return `the caller resumed ${decision.generation} ` +
        `at token ${decision.fromOffset}`;
    case "caller-gone":
      return "the caller went away";
    case "ended":
      return `ended as ${decision.outcome}: ${decision.detail}, ` +
        `${decision.deliveredTokens} tokens delivered`;
    default:
      return assertNever(decision);
  }
}

function describeRequest(decision: TimedDecision & { kind: "asked" }): string {
  const { service, workspace, className, excludedEndpoints } = decision;
  const exclusions = excludedEndpoints.length === 0
    ? ""
    : `, without ${excludedEndpoints.join(", ")} that failed it before`;
  return `${workspace} asked for ${service} as ${className} ` +
    `(${decision.sizeBytes} bytes, at most ${decision.maxTokens} tokens)` +
    exclusions;
}
